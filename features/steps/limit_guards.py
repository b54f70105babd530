"""Steps on single guards of the limit's decisions, each a history found to matter."""

from __future__ import annotations

import sys
from pathlib import Path

from behave import given, then, when
from behave.runner import Context

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from limit_shares import find_overshoot  # noqa: E402
from limit_daemons import SimulatedDaemon  # noqa: E402
from limit_takers import RecoveringTaker  # noqa: E402
from limit_world import LimitWorld  # noqa: E402

from pimentohoist._decisions.grants import GrantPool, ShareOwner  # noqa: E402
from pimentohoist._decisions.share_places import (  # noqa: E402
    share_owner,
    share_resource_key,
)
from pimentohoist._decisions.shares import (  # noqa: E402
    DRIFT,
    GRANT_S,
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
from pimentohoist._view_fold import JoinRecord, LeaveRecord, ViewFold  # noqa: E402
from pimentohoist.exceptions import LimitExceededError  # noqa: E402
from pimentohoist.models import LogRecord  # noqa: E402

_NAME = ShareId('house', 0)
_LIMIT = ShareLimit(1, 30)
_CONTEXT = TakeoverContext(0, 0, {}, {})
_EARLY = float('-inf')


@given(
    'a limit of {rate:d} token/s and a burst of 30 with one home that has read the log'
)
def start_owner(context: Context, rate: int) -> None:
    context.world = LimitWorld(rate, 30, 1)
    for _ in range(3):
        assert context.world.admit(context.world.daemons[0], 1, 1)


@when('another daemon joins and the first home is cut off from the log')
def join_unseen(context: Context) -> None:
    context.world.start(1)


@when('at {time:f} s daemon {place:d} sends what it can')
def drain_at(context: Context, time: float, place: int) -> None:
    world = context.world
    while world.time < time:
        world.time = min(time, world.time + 1)
        world.see(1, 0)
    for _ in range(3):
        world.drain(place, 0)


@when('at {time:f} s the second daemon has expired and the first reads the log')
def expire_second(context: Context, time: float) -> None:
    world = context.world
    world.time = time
    name = world.daemons[0].name
    world.change_view(lambda _: (name,))
    world.see(0, 0)


@when('another daemon takes a grant from each share and the first home is killed')
def take_and_kill(context: Context) -> None:
    world = context.world
    taker = SimulatedDaemon('taker', 1, 0)
    first = world.daemons[0]
    taker.see(world.views, 0, 0)
    for share in range(SHARES_PER_WORKSPACE):
        world.take(taker, share, GrantOrder(f'kept-{share}', 30), 0)
    world.daemons = [first, taker]
    world.change_view(lambda _: (taker.name,))
    world.daemons[0] = SimulatedDaemon('nobody', 1, 0, is_frozen=True)


@when(
    'at {time:f} s the second daemon knows that the first has ended and begins if it may'
)
def probe_first(context: Context, time: float) -> None:
    context.world.time = time
    context.world.probe(1, 0)
    begin_second(context, time)


@when('at {time:f} s the second daemon begins if it may')
def begin_second(context: Context, time: float) -> None:
    world = context.world
    world.time = time
    world.see(1, 0)
    second = world.daemons[1]
    context.begun = [
        world.bucket(second, share) is not None for share in range(SHARES_PER_WORKSPACE)
    ]


@then('the second daemon has begun with all shares before the time of a fence')
def check_begun(context: Context) -> None:
    assert all(context.begun), context.begun
    assert context.world.time < TAKEOVER_AFTER_FENCE_S


@then('no window is over the limit, and the second daemon was admitted something')
def check_world(context: Context) -> None:
    world = context.world
    assert find_overshoot(world.admitted, world.rate, world.burst) <= 0
    assert world.daemons[1].running


@then('a grant spent just before its end leaves nothing accrued up to that time')
def check_late_end(context: Context) -> None:
    bucket = ShareBucket(_LIMIT, ShareState(30), 0)
    bucket.advance(0, _EARLY)
    assert bucket.grant(GrantOrder('g', 30), 0).tokens == 30
    bucket.advance(5, _EARLY)
    assert bucket.level_tokens == 0
    bucket.advance(6, _EARLY)
    assert 0 < bucket.level_tokens <= 1


@then('a home whose clock runs fast accrues no more than the rate in true time')
def check_drift(context: Context) -> None:
    limit = ShareLimit(1000, 100)
    bucket = ShareBucket(limit, ShareState(100), 0)
    granted = 0
    for tick in range(1, 2001):
        now = tick / 20 * (1 + DRIFT)
        bucket.advance(now, _EARLY)
        granted += bucket.grant(GrantOrder(str(tick), 100), now).tokens
        bucket.record_uses((), now)
        bucket.open_tokens = 0
    assert 0 < granted <= 1000 * 100 + 100, granted


@then("a grant's time runs from before its request was sent")
def check_asked_at(context: Context) -> None:
    pool = GrantPool()
    pool.add(Grant('g', 5, GRANT_S), ShareOwner(0, 'home'), asked_at=0, now=GRANT_S)
    assert pool.charge(1, GRANT_S) is None
    assert pool.available(GRANT_S / 2) == 5


@then('a tenure that was closed does not begin again, nor give its state twice')
def check_closed(context: Context) -> None:
    keeper = OwnedShareStore()
    own = OwnershipTerm('me', 1)
    assert keeper.bucket(_NAME, own, _LIMIT, _CONTEXT) is not None
    first = keeper.close(_NAME, 1, 2, _CONTEXT)
    again = keeper.close(_NAME, 1, 2, _CONTEXT)
    assert first.state == ShareState(30)
    assert (again.state, again.has_never_begun) == (None, False)
    assert keeper.bucket(_NAME, own, _LIMIT, _CONTEXT) is None


@then('a tenure that never began does not pass on the state of one before')
def check_older(context: Context) -> None:
    keeper = OwnedShareStore()
    keeper.bucket(_NAME, OwnershipTerm('me', 1), _LIMIT, _CONTEXT)
    last = keeper.close(_NAME, 3, 4, _CONTEXT)
    assert (last.state, last.has_never_begun) == (None, True)


@then('a tenure that never began says so as often as it is asked')
def check_never_begun_again(context: Context) -> None:
    keeper = OwnedShareStore()
    # The home before it may not have answered yet, so its successor asks the chain again.
    for before_epoch in (4, 4, 6):
        last = keeper.close(_NAME, 3, before_epoch, _CONTEXT)
        assert (last.state, last.has_never_begun) == (None, True), before_epoch
    later = OwnershipTerm('me', 7, OwnershipTerm('other', 4, OwnershipTerm('me', 3)))
    begun = PulledState(ShareState(30), 0)
    keeper.adopt(_NAME, later, _LIMIT, begun)
    assert keeper.close(_NAME, 7, 8, _CONTEXT).state == ShareState(30)


@then(
    'a daemon that took the view from a snapshot knows the same former homes as one that '
    'read every record'
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
    book = OwnershipHistory(is_complete=fold.is_from_start, owner_of=share_owner)
    for view in fold.recent:
        book.add(view)
    return [
        [(term.owner, term.epoch) for term in book.term(resource_key).chain()]
        for resource_key in resource_keys
    ]


@then(
    'a request waits for a home that is silent instead of being refused as over its rate'
)
def check_silent_owner(context: Context) -> None:
    taker = RecoveringTaker(silent_asks=3 * SHARES_PER_WORKSPACE)
    assert taker.charge(tokens=3), 'refused'
    assert taker.asks > 3 * SHARES_PER_WORKSPACE


@then('a request waits for a home whose reply was lost')
def check_lost_reply(context: Context) -> None:
    assert RecoveringTaker(lost_replies=3 * SHARES_PER_WORKSPACE).charge(tokens=3), (
        'refused'
    )


@then("a workspace that was refused a moment ago doesn't wait for a silent home")
def check_flood(context: Context) -> None:
    taker = RecoveringTaker(silent_asks=1000)
    for _ in range(2):
        try:
            taker.charge(tokens=3)
        except LimitExceededError as error:
            assert error.retry_after_s
        else:
            raise AssertionError('admitted without a grant')
    # One wait of the longest length for both.
    assert taker.waited_ms < 1500, taker.waited_ms


@then(
    'tokens given back to a share never fill it above its new burst, nor are they '
    'granted again'
)
def check_lowered(context: Context) -> None:
    bucket = ShareBucket(_LIMIT, ShareState(30), 0)
    bucket.advance(0, _EARLY)
    assert bucket.grant(GrantOrder('g', 30), 0).tokens == 30
    bucket.advance(1, _EARLY)
    bucket.resize(ShareLimit(1, 3))
    bucket.record_uses((GrantUse('g', 0, is_closed=True),), 1)
    assert bucket.total_tokens <= 3
    assert bucket.grant(GrantOrder('h', 30), 1).tokens <= 3
