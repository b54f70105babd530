"""Steps on single guards of the limit's decisions, each with a history that needs it."""

from __future__ import annotations

import sys
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from contextlib import suppress
from pathlib import Path
from types import SimpleNamespace
from typing import Any
from unittest.mock import Mock

from behave import given, then, when
from behave.runner import Context

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from limit_shares import find_overshoot  # noqa: E402
from limit_daemons import SimulatedDaemon  # noqa: E402
from limit_takers import RecoveringTaker  # noqa: E402
from limit_world import LimitWorld  # noqa: E402

from pimentohoist._controllers.limits import LimitsController  # noqa: E402
from pimentohoist._decisions.grants import GrantPool, ShareOwner  # noqa: E402
from pimentohoist._decisions.share_placement import (  # noqa: E402
    share_owner,
    share_resource_key,
)
from pimentohoist._decisions.shares import (  # noqa: E402
    DRIFT,
    GRANT_LIFETIME_S,
    SHARES_PER_WORKSPACE,
    Grant,
    GrantOrder,
    GrantUse,
    ShareBucket,
    ShareLimit,
    ShareState,
)
from pimentohoist._decisions.ownership_terms import (  # noqa: E402
    TAKEOVER_AFTER_FENCE_S,
    PulledState,
    OwnedShareStore,
    ShareId,
    TakeoverContext,
    OwnershipTerm,
    OwnershipHistory,
)
from pimentohoist._generated import peer_pb2  # noqa: E402
from pimentohoist._view_fold import JoinRecord, LeaveRecord, ViewFold  # noqa: E402
from pimentohoist.configuration import Workspace  # noqa: E402
from pimentohoist.exceptions import (  # noqa: E402
    LimitExceededError,
    PeerTimeoutError,
)
from pimentohoist.models import LogRecord  # noqa: E402

_SHARE_ID = ShareId('house', 0)
_LIMIT = ShareLimit(1, 30)
_CONTEXT = TakeoverContext(0, 0, {}, {})
_FRESH_SINCE = float('-inf')


@given(
    'a limit of {rate:d} token/s and a burst of 30 with one owner that has read the log'
)
def start_owner(context: Context, rate: int) -> None:
    context.world = LimitWorld(rate, 30, 1)
    for _ in range(3):
        assert context.world.admit(context.world.daemons[0], 1, 1)


@when('another daemon joins and the first owner is cut off from the log')
def join_unseen(context: Context) -> None:
    context.world.start(1)


@when('at {time:f} s daemon {place:d} sends as many requests as it can')
def exhaust_at(context: Context, time: float, place: int) -> None:
    world = context.world
    while world.time < time:
        world.time = min(time, world.time + 1)
        world.read_log(1, 0)
    for _ in range(3):
        world.exhaust(place, 0)


@when('at {time:f} s the second daemon has expired and the first reads the log')
def expire_second(context: Context, time: float) -> None:
    world = context.world
    world.time = time
    name = world.daemons[0].name
    world.change_view(lambda _: (name,))
    world.read_log(0, 0)


@when('another daemon takes a grant from each share and the first owner is killed')
def take_and_kill(context: Context) -> None:
    world = context.world
    taker = SimulatedDaemon('taker', 1, 0)
    first = world.daemons[0]
    taker.read_log(world.views, 0, 0)
    for share in range(SHARES_PER_WORKSPACE):
        world.take_grant(taker, share, GrantOrder(f'kept-{share}', 30), 0)
    world.daemons = [first, taker]
    world.change_view(lambda _: (taker.name,))
    world.daemons[0] = SimulatedDaemon('nobody', 1, 0, is_frozen=True)


@when(
    'at {time:f} s the second daemon finds that the first has ended and begins if it may'
)
def probe_first(context: Context, time: float) -> None:
    context.world.time = time
    context.world.probe(1, 0)
    begin_second(context, time)


@when('at {time:f} s the second daemon begins if it may')
def begin_second(context: Context, time: float) -> None:
    world = context.world
    world.time = time
    world.read_log(1, 0)
    second = world.daemons[1]
    context.begun = [
        world.bucket(second, share) is not None for share in range(SHARES_PER_WORKSPACE)
    ]


@then('the second daemon has begun with all shares before a fence would allow it')
def check_begun(context: Context) -> None:
    assert all(context.begun), context.begun
    assert context.world.time < TAKEOVER_AFTER_FENCE_S


@then('no window is over the limit, and the second daemon has admitted a request')
def check_limit_kept(context: Context) -> None:
    world = context.world
    assert find_overshoot(world.admitted, world.rate, world.burst) <= 0
    assert world.daemons[1].running


@then('a grant spent just before it expires leaves no tokens accrued up to that time')
def check_late_end(context: Context) -> None:
    bucket = ShareBucket(_LIMIT, ShareState(30), 0)
    bucket.advance(0, _FRESH_SINCE)
    assert bucket.grant(GrantOrder('g', 30), 0).tokens == 30
    bucket.advance(5, _FRESH_SINCE)
    assert bucket.level_tokens == 0
    bucket.advance(6, _FRESH_SINCE)
    assert 0 < bucket.level_tokens <= 1


@then('an owner whose clock runs fast accrues no more than the rate in true time')
def check_drift(context: Context) -> None:
    limit = ShareLimit(1000, 100)
    bucket = ShareBucket(limit, ShareState(100), 0)
    granted = 0
    for tick in range(1, 2001):
        now = tick / 20 * (1 + DRIFT)
        bucket.advance(now, _FRESH_SINCE)
        granted += bucket.grant(GrantOrder(str(tick), 100), now).tokens
        bucket.record_uses((), now)
        bucket.open_tokens = 0
    assert 0 < granted <= 1000 * 100 + 100, granted


@then("a grant's validity is counted from the time at which its request was sent")
def check_asked_at(context: Context) -> None:
    pool = GrantPool()
    pool.add(
        Grant('g', 5, GRANT_LIFETIME_S),
        ShareOwner(0, 'owner'),
        asked_at=0,
        now=GRANT_LIFETIME_S,
    )
    assert pool.charge(1, GRANT_LIFETIME_S) is None
    assert pool.available(GRANT_LIFETIME_S / 2) == 5


@then(
    'an ownership term that was closed neither begins again nor returns its state twice'
)
def check_closed(context: Context) -> None:
    store = OwnedShareStore()
    own = OwnershipTerm('me', 1)
    assert store.bucket(_SHARE_ID, own, _LIMIT, _CONTEXT) is not None
    first = store.close(_SHARE_ID, 1, 2, _CONTEXT)
    again = store.close(_SHARE_ID, 1, 2, _CONTEXT)
    assert first.state == ShareState(30)
    assert (again.state, again.has_never_begun) == (None, False)
    assert store.bucket(_SHARE_ID, own, _LIMIT, _CONTEXT) is None


@then(
    "an ownership term that never began doesn't hand over the state of an earlier one"
)
def check_earlier_state_kept(context: Context) -> None:
    store = OwnedShareStore()
    store.bucket(_SHARE_ID, OwnershipTerm('me', 1), _LIMIT, _CONTEXT)
    final = store.close(_SHARE_ID, 3, 4, _CONTEXT)
    assert (final.state, final.has_never_begun) == (None, True)


@then('an ownership term that never began is reported as such each time')
def check_never_begun_again(context: Context) -> None:
    store = OwnedShareStore()
    # A successor asks again if an earlier owner in the chain didn't answer at first.
    for before_epoch in (4, 4, 6):
        final = store.close(_SHARE_ID, 3, before_epoch, _CONTEXT)
        assert (final.state, final.has_never_begun) == (None, True), before_epoch
    later = OwnershipTerm('me', 7, OwnershipTerm('other', 4, OwnershipTerm('me', 3)))
    begun = PulledState(ShareState(30), 0)
    store.adopt(_SHARE_ID, later, _LIMIT, begun)
    assert store.close(_SHARE_ID, 7, 8, _CONTEXT).state == ShareState(30)


@then(
    'a daemon that restored the view from a snapshot has the same ownership terms as one '
    'that read every record'
)
def check_snapshot_of_view(context: Context) -> None:
    fold = ViewFold()
    joins = [
        JoinRecord(
            incarnation=f'entry-{number}',
            peer_address='peer',
            callers_address='callers',
            failure_domain='abc'[number % 3],
        )
        for number in range(6)
    ]
    for offset, record in enumerate((*joins, LeaveRecord(incarnation='entry-2'))):
        fold.apply(LogRecord(offset, record.model_dump_json().encode()))
    restored = ViewFold()
    restored.restore(fold.snapshot())
    resource_keys = [
        share_resource_key(f'house-{number}', share)
        for number in range(9)
        for share in (0, 1, 2)
    ]
    assert terms(restored, resource_keys) == terms(fold, resource_keys)
    assert restored.snapshot() == fold.snapshot()


def terms(fold: ViewFold, resource_keys: list[str]) -> list[list[tuple[str, int]]]:
    history = OwnershipHistory(is_complete=fold.is_from_start, owner_of=share_owner)
    for view in fold.recent:
        history.add(view)
    return [
        [(term.owner, term.epoch) for term in history.term(resource_key).chain()]
        for resource_key in resource_keys
    ]


@then(
    'a request waits for an owner that is silent instead of being refused as over its rate'
)
def check_silent_owner(context: Context) -> None:
    taker = RecoveringTaker(silent_lookups=3 * SHARES_PER_WORKSPACE)
    assert taker.charge(tokens=3), 'refused'
    assert taker.lookups > 3 * SHARES_PER_WORKSPACE


@then('a request waits for an owner whose reply was lost')
def check_lost_reply(context: Context) -> None:
    assert RecoveringTaker(lost_replies=3 * SHARES_PER_WORKSPACE).charge(tokens=3), (
        'refused'
    )


@then("a workspace that was refused just before doesn't wait for a silent owner")
def check_refused_workspace(context: Context) -> None:
    taker = RecoveringTaker(silent_lookups=1000)
    for _ in range(2):
        try:
            taker.charge(tokens=3)
        except LimitExceededError as error:
            assert error.retry_after_s
        else:
            raise AssertionError('admitted without a grant')
    # Both requests together wait the longest time only once.
    assert taker.waited_ms < 1500, taker.waited_ms


@then(
    'tokens returned to a share never fill it above its new burst, nor are they granted '
    'again'
)
def check_lowered(context: Context) -> None:
    bucket = ShareBucket(_LIMIT, ShareState(30), 0)
    bucket.advance(0, _FRESH_SINCE)
    assert bucket.grant(GrantOrder('g', 30), 0).tokens == 30
    bucket.advance(1, _FRESH_SINCE)
    bucket.resize(ShareLimit(1, 3))
    bucket.record_uses((GrantUse('g', 0, is_closed=True),), 1)
    assert bucket.total_tokens <= 3
    assert bucket.grant(GrantOrder('h', 30), 1).tokens <= 3


@given('a daemon whose calls to the owners of shares time out')
def start_silent_owners(context: Context) -> None:
    context.calls = []

    def call(address: str, method: str, request: object, *, timeout_s: float) -> None:
        context.calls.append(address)
        time.sleep(timeout_s)
        raise PeerTimeoutError('no reply', step='test')

    context.limits = make_controller(call)


@given(
    'a daemon whose calls to the owners of shares take {call_s:g} s and grant nothing'
)
def start_slow_owners(context: Context, call_s: float) -> None:
    def call(
        address: str, method: str, request: Any, *, timeout_s: float
    ) -> peer_pb2.GrantReply:
        time.sleep(call_s)
        return peer_pb2.GrantReply(grant_id=request.grant_id)

    context.limits = make_controller(call)


def make_controller(call: Callable[..., Any]) -> LimitsController:
    """Return a controller of three shares, whose owners are called by `call`."""
    peers: Any = SimpleNamespace(call=call)
    controller = LimitsController(Mock(), Mock(), peers, Mock())
    owners = [SimpleNamespace(incarnation=name, peer_address=name) for name in 'abc']
    client: Any = controller.share_client
    client.view = SimpleNamespace(incarnation='own', epoch=1, members=lambda: owners)
    client.owned_shares = SimpleNamespace(
        term=lambda share_id: SimpleNamespace(owner='abc'[share_id.share]),
        clock=time.monotonic,
    )
    return controller


@then('a request is refused within {limit_s:g} s, after a call to each owner')
def check_silent_owners(context: Context, limit_s: float) -> None:
    workspace = Workspace('calm', rate_tokens_per_s=60, burst_tokens=90)
    started_at = time.monotonic()
    with suppress(LimitExceededError):
        context.limits.charge(workspace, 1)
        raise AssertionError('the request was admitted')
    took_s = time.monotonic() - started_at
    assert took_s < limit_s, took_s
    assert set(context.calls) == set('abc'), context.calls


@then('{count:d} requests at once are each refused within {limit_s:g} s')
def check_refusals_at_once(context: Context, count: int, limit_s: float) -> None:
    def measure_refusal(number: int) -> float:
        # A request of many tokens isn't covered by the refusal of one with fewer.
        workspace = Workspace('calm', rate_tokens_per_s=60, burst_tokens=90)
        started_at = time.monotonic()
        try:
            context.limits.charge(workspace, count - number)
        except LimitExceededError:
            return time.monotonic() - started_at
        raise AssertionError('the request was admitted')

    with ThreadPoolExecutor(count) as pool:
        took_s = max(pool.map(measure_refusal, range(count)))
    assert took_s < limit_s, took_s
