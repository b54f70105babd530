"""Steps on requests charged to shares that are between two owners."""

from __future__ import annotations

import threading
import time
from collections import Counter
from concurrent.futures import Future, ThreadPoolExecutor
from types import SimpleNamespace
from typing import Any

from behave import given, then, when
from behave.runner import Context
from callers import wait_for

from pimentohoist._controllers.limits import LimitsController
from pimentohoist._controllers.owned_shares import OwnedShares
from pimentohoist._decisions.grants import ShareOwner
from pimentohoist._decisions.share_placement import share_owner
from pimentohoist._decisions.shares import SHARES_PER_WORKSPACE, Grant, GrantOrder
from pimentohoist._decisions.ownership_terms import ShareId
from pimentohoist._view_fold import View
from pimentohoist.configuration import Workspace
from pimentohoist.exceptions import LimitExceededError, UnavailableError
from pimentohoist.models import Member

_WORKSPACE = Workspace('house', rate_tokens_per_s=1, burst_tokens=30)
_GRANT_S = 3.0


class FakeTaker:
    """Takes grants from shares that are between two owners for `missed` requests."""

    def __init__(self, missed: int, tokens: int) -> None:
        self.missed = missed
        self.tokens = tokens
        self.requested: Counter[int] = Counter()
        self.failures = 0
        self._lock = threading.Lock()

    def owner(self, name: ShareId) -> ShareOwner:
        return ShareOwner(name.share, 'owner')

    def take(
        self, name: ShareId, owner: ShareOwner, order: GrantOrder, uses: Any
    ) -> Grant:
        with self._lock:
            self.requested[name.share] += 1
            if sum(self.requested.values()) <= self.missed:
                raise UnavailableError('not begun', step='test')
        granted = min(self.tokens, order.need_tokens + order.extra_tokens)
        return Grant(order.grant_id, granted, _GRANT_S)


def start_limit(context: Context, missed: int, tokens: int) -> None:
    context.now = 0
    context.limits = LimitsController(None, None, None, None, lambda: context.now)  # type: ignore[arg-type]
    context.limits.share_client = FakeTaker(missed, tokens)


@given(
    'a limit whose shares are between two owners for the first {count:d} grant requests'
)
def start_moving(context: Context, count: int) -> None:
    start_limit(context, count, 10)


@given('a limit whose shares have owners and no tokens')
def start_empty(context: Context) -> None:
    start_limit(context, 0, 0)


@when('a request of {tokens:d} tokens is charged')
def charge(context: Context, tokens: int) -> None:
    try:
        context.outcome = context.limits.charge(_WORKSPACE, tokens)
    except LimitExceededError as error:
        context.outcome = error


@then('it is admitted')
def check_admitted(context: Context) -> None:
    assert not isinstance(context.outcome, LimitExceededError), context.outcome
    charged = [charge.tokens for charge in context.outcome]
    assert sum(charged) == 10, charged


@then('it is refused and no share got more than two grant requests')
def check_refused(context: Context) -> None:
    assert isinstance(context.outcome, LimitExceededError), context.outcome
    assert max(context.limits.share_client.requested.values()) <= 2, (
        context.limits.share_client.requested
    )


@when('{count:d} requests of {tokens:d} tokens are charged at the same time')
def charge_many(context: Context, count: int, tokens: int) -> None:
    pool = context.stack.enter_context(ThreadPoolExecutor(count))
    context.pending = [
        pool.submit(context.limits.charge, _WORKSPACE, tokens) for _ in range(count)
    ]


@then('{refused:d} of them are refused while {waiting:d} still wait')
def check_flood(context: Context, refused: int, waiting: int) -> None:
    wait_for(
        lambda: len(ended(context.pending)) >= refused, 'the other requests are refused'
    )
    requested = sum(context.limits.share_client.requested.values())
    wait_for(
        lambda: sum(context.limits.share_client.requested.values()) > 2 * requested,
        'further grant requests',
    )
    assert len(ended(context.pending)) == refused
    assert len(context.pending) == refused + waiting


@when('{passed_s:g} s have passed for the limit')
def pass_time(context: Context, passed_s: float) -> None:
    context.now += passed_s


@then('all of them are refused')
def check_all_refused(context: Context) -> None:
    for future in context.pending:
        assert isinstance(future.exception(), LimitExceededError)


@then('another request is refused after at most two more grant requests per share')
def check_next_refused(context: Context) -> None:
    context.now += 1
    context.limits.share_client.requested.clear()
    charge(context, 10)
    check_refused(context)


def ended(pending: list[Future]) -> list[Future]:
    return [future for future in pending if future.done()]


def member(name: str) -> Member:
    return Member(name, '', '', 'a')


@given('a member that has not read the declaration of the workspace yet')
def start_member(context: Context) -> None:
    first, second = member('first'), member('second')
    views = (View(1, (first,)), View(2, (first, second)))
    context.known = {}
    view = SimpleNamespace(
        incarnation='first',
        epoch=2,
        recent_views=lambda: (views, True),
        is_fresh=lambda: True,
        fresh_since=time.monotonic,
    )
    configuration = SimpleNamespace(workspace=context.known.get)
    proofs = SimpleNamespace(fenced_at={}, inactive_since={})
    context.owners = OwnedShares(view, configuration, proofs, time.monotonic)
    names = [ShareId(_WORKSPACE.name, share) for share in range(SHARES_PER_WORKSPACE)]
    owners = [share_owner(name.resource_key, views[1]) for name in names]
    context.name = names[owners.index('second')]


@when("the share's next owner pulls it, before and after the member has read that")
def pull_twice(context: Context) -> None:
    context.pulls = []
    for _ in range(2):
        try:
            context.pulls.append(context.owners.close(context.name, 2))
        except UnavailableError as error:
            context.pulls.append(error)
        context.known[_WORKSPACE.name] = _WORKSPACE


@then('the first pull is refused and the second one hands the whole burst over')
def check_pulls(context: Context) -> None:
    first, second = context.pulls
    assert isinstance(first, UnavailableError), first
    assert second.state is not None, second
    assert (
        second.state.level_tokens == _WORKSPACE.burst_tokens / SHARES_PER_WORKSPACE
    ), second
