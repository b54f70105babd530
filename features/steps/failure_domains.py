"""Steps on the loss of a whole failure domain, over generated views."""

from __future__ import annotations

import random
import signal
import sys
from collections import Counter
from pathlib import Path

from behave import then, when
from behave.runner import Context
from hypothesis import strategies as st

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from limit_shares import for_all  # noqa: E402

from pimentohoist._decisions.share_placement import share_owner, share_resource_key  # noqa: E402
from pimentohoist._decisions.shares import SHARES_PER_WORKSPACE  # noqa: E402
from pimentohoist._decisions.witnesses import (  # noqa: E402
    choose_witnesses,
    is_majority,
)
from pimentohoist._rendezvous import rank_names  # noqa: E402
from pimentohoist._view_fold import View  # noqa: E402
from pimentohoist.models import Member  # noqa: E402

_MIN_MEMBERS = 2


def generated_view(rng: random.Random, domains: int) -> View:
    """Return a view with at least two members in each domain."""
    return View(
        1,
        tuple(
            Member(f'{domain}-{rng.randrange(10**9)}-{number}', '', '', f'd{domain}')
            for domain in range(domains)
            for number in range(rng.randint(_MIN_MEMBERS, 6))
        ),
    )


def without(view: View, members: tuple[Member, ...]) -> View:
    kept = tuple(member for member in view.members if member not in members)
    return View(view.epoch + 1, kept)


def owners(view: View, workspace: str) -> list[Member]:
    by_name = {member.incarnation: member for member in view.members}
    return [
        by_name[share_owner(share_resource_key(workspace, share), view)]
        for share in range(SHARES_PER_WORKSPACE)
    ]


def check_spread(number: int) -> None:
    rng = random.Random(number)
    domains = rng.randint(1, 7)
    view = generated_view(rng, domains)
    chosen = owners(view, str(number))
    members = len(view.members)
    assert len(set(chosen)) == min(SHARES_PER_WORKSPACE, members)
    found = {member.failure_domain for member in chosen}
    assert len(found) == min(SHARES_PER_WORKSPACE, domains)
    alone = View(2, view.members[:1])
    assert set(owners(alone, str(number))) == {view.members[0]}


def check_loss(context: Context, number: int) -> None:
    rng = random.Random(number)
    view = generated_view(rng, rng.randint(3, 7))
    domain = rng.choice(view.members).failure_domain
    lost = tuple(one for one in view.members if one.failure_domain == domain)
    in_domain = Counter(member.failure_domain for member in owners(view, str(number)))
    assert in_domain[domain] <= 1
    context.lost += in_domain[domain]
    left = [one for one in choose_witnesses(view) if one not in lost]
    assert is_majority(len(left), view)
    assert len(set(owners(without(view, lost), str(number)))) == SHARES_PER_WORKSPACE


def check_unmoved(number: int) -> None:
    rng = random.Random(number)
    view = generated_view(rng, rng.randint(3, 7))
    lost = rng.choice(view.members)
    before = owners(view, str(number))
    after = owners(without(view, (lost,)), str(number))
    for former, present in zip(before, after, strict=True):
        assert former.failure_domain == present.failure_domain
        assert former in {lost, present}


@then(
    'in {count:d} generated views the shares are owned by different members, in '
    'different domains if there are 3'
)
def run_spread(context: Context, count: int) -> None:
    context.views = count
    for_all(count, check_spread, st.integers(0, 2**32))


@then(
    'the loss of a whole domain takes at most one share, and leaves a majority of '
    'witnesses'
)
def run_loss(context: Context) -> None:
    context.lost = 0
    for_all(
        context.views,
        lambda number: check_loss(context, number),
        st.integers(0, 2**32),
    )
    assert context.lost > 0


@then('a member that joins or leaves moves no share between the remaining domains')
def run_unmoved(context: Context) -> None:
    for_all(context.views, check_unmoved, st.integers(0, 2**32))


@when(
    'both daemons of the failure domain with the owner of "{engine}" are killed at once'
)
def kill_domain(context: Context, engine: str) -> None:
    members = context.fleet.state(context.daemons[0])['view']['members']
    by_name = {member['incarnation']: member for member in members}
    owner = by_name[rank_names(f'review/{engine}', by_name)[0]]
    lost = [
        name.rpartition('-')[0]
        for name, member in by_name.items()
        if member['failure_domain'] == owner['failure_domain']
    ]
    assert len(lost) == 2, by_name
    for victim in lost:
        context.fleet.processes[victim].signal(signal.SIGKILL)
    context.others = sorted(set(context.daemons) - set(lost))
