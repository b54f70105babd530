"""Steps on witnesses and fenced views, checked over generated histories."""

from __future__ import annotations

import itertools
import random
import sys
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path

from behave import then
from behave.runner import Context

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from limit_shares import for_all  # noqa: E402
from hypothesis import strategies as st  # noqa: E402

from pimentohoist._decisions.shares import DRIFT  # noqa: E402
from pimentohoist._decisions.freshness import FreshnessTracker  # noqa: E402
from pimentohoist._decisions.ownership_terms import (  # noqa: E402
    MAX_FRESH_AGE_S,
    TakeoverDelays,
    OwnershipHistory,
    takeover_allowed_at,
)
from pimentohoist._decisions.witnesses import (  # noqa: E402
    MAX_LOG_READ_AGE_S,
    MAX_WITNESSES,
    FencedViews,
    choose_witnesses,
    is_confirmed,
    can_witnesses_replace_log,
)
from pimentohoist._view_fold import View  # noqa: E402
from pimentohoist.models import Member  # noqa: E402

_RESOURCE_KEYS = ('a', 'b', 'c', 'd')
_DAEMON_COUNT = 5
_STEP_S = 0.3
_STREAM = 'view'
_FINE_STEP_S = 0.001
_FINE_STEPS = 4000


@dataclass
class ViewReader:
    """A daemon that reads the log or asks witnesses.

    Attributes
    ----------
    read_times : dict of str to dict of int to float
        By daemon and offset: time at which that daemon was first seen to have read so far.
    """

    name: str
    history: OwnershipHistory = field(
        default_factory=lambda: OwnershipHistory(is_complete=True)
    )
    fenced_views: FencedViews = field(default_factory=FencedViews)
    freshness: FreshnessTracker = field(default_factory=FreshnessTracker)
    fenced_at: dict = field(default_factory=dict)
    views_read: int = 0
    has_log: bool = True
    partition: int = 0
    is_frozen: bool = False
    read_times: dict = field(default_factory=dict)

    def record_read(self, other: ViewReader, time: float) -> None:
        """Record how far another daemon has read; it reports its pins along with that."""
        self.read_times.setdefault(other.name, {}).setdefault(other.offset, time)

    def passed_at(self, epoch: int) -> dict:
        """Return by daemon the time at which it was first seen to have read a view."""
        times = {
            name: [time for offset, time in offsets.items() if offset >= epoch]
            for name, offsets in self.read_times.items()
        }
        return {name: min(found) for name, found in times.items() if found}

    @property
    def offset(self) -> int:
        return self.history.views[-1].epoch if self.history.views else 0


class ViewWorld:
    """Daemons, each connected to the log or not, in one of two network partitions."""

    def __init__(self) -> None:
        self.time: float = 0
        self.views = [View(1, ())]
        self.readers = [ViewReader(f's{number}') for number in range(_DAEMON_COUNT)]
        self.actions = 0
        for reader in self.readers:
            self.change({*self.present(), reader.name})

    def present(self) -> set[str]:
        return set(self.views[-1].incarnations)

    def change(self, names: set[str]) -> None:
        members = tuple(
            Member(name, '', '', f'domain-{name[-1]}') for name in sorted(names)
        )
        self.views.append(View(len(self.views) + 1, members))

    def step(self, rng: random.Random) -> None:
        self.time += rng.choice((0.05, _STEP_S, _STEP_S, 1))
        reader = rng.choice(self.readers)
        match rng.randrange(12):
            case 0:
                reader.has_log = not reader.has_log
            case 1:
                reader.partition = 1 - reader.partition
            case 2:
                reader.is_frozen = not reader.is_frozen
            case 3:
                self.change(self.present() ^ {reader.name})
            case 4:
                self.heal()
            case 5:
                self.cut_off(rng.sample(self.readers, 2))
        for other in self.readers:
            if not other.is_frozen and rng.randrange(4):
                self.tick(other)

    def heal(self) -> None:
        for reader in self.readers:
            reader.partition = 0
            reader.has_log = True
            reader.is_frozen = False
        self.change({other.name for other in self.readers})

    def cut_off(self, pair: list[ViewReader]) -> None:
        """Cut two daemons off from the log and from the others, which expire them."""
        for reader in pair:
            reader.partition = 1
            reader.has_log = False
        self.change(self.present() - {other.name for other in pair})

    def tick(self, reader: ViewReader) -> None:
        if reader.has_log:
            for view in self.views[reader.views_read :]:
                reader.history.add(view)
                reader.fenced_views.add(view, self.time)
            reader.views_read = len(self.views)
            reader.freshness.confirm(self.time, self.time)
        reader.fenced_views.record_offset(reader.name, reader.offset)
        reached = [other for other in self.readers if self.can_ask(reader, other)]
        for witness in reached:
            reader.record_read(witness, self.time)
            reader.fenced_views.record_offset(witness.name, witness.offset)
            reader.fenced_views.raise_epoch(witness.fenced_views.epoch)
        replies = {other.name: {_STREAM: other.offset} for other in reached}
        held = {_STREAM: reader.offset}
        if reader.history.views and is_confirmed(
            reader.history.views[-1], reader.name, held, replies
        ):
            reader.freshness.confirm(self.time, self.time)
        for view in reader.history.views:
            if view.epoch <= reader.fenced_views.epoch:
                reader.fenced_at.setdefault(view.epoch, self.time)

    def can_ask(self, reader: ViewReader, other: ViewReader) -> bool:
        is_reached = other.partition == reader.partition and not other.is_frozen
        return is_reached and other is not reader

    def acting_owners(self, may_act: ActPredicate, resource_key: str) -> list[str]:
        """Return the daemons that would act as owner of a resource now."""
        return [
            reader.name
            for reader in self.readers
            if may_act(self, reader, resource_key)
        ]


ActPredicate = Callable[[ViewWorld, ViewReader, str], bool]


def may_grant(world: ViewWorld, reader: ViewReader, resource_key: str) -> bool:
    """Return whether a daemon grants tokens as a share's owner, without pulled state."""
    term = reader.history.term(resource_key)
    if term is None or term.owner != reader.name:
        return False
    begins_at = reader.fenced_at.get(term.epoch, float('inf')) + MAX_FRESH_AGE_S
    has_begun = term.former is None or world.time >= begins_at
    return has_begun and reader.freshness.is_fresh(world.time)


def may_order(world: ViewWorld, reader: ViewReader, resource_key: str) -> bool:
    """Return whether a daemon sends orders to an engine that ignores fencing."""
    term = reader.history.term(resource_key)
    if term is None or term.owner != reader.name:
        return False
    proofs = OwnerProofs(reader.fenced_at, reader.passed_at(term.epoch))
    wait = TakeoverDelays(after_fence_s=MAX_FRESH_AGE_S, after_end_s=0)
    has_begun = takeover_allowed_at(term, proofs, wait) <= world.time
    return has_begun and reader.freshness.is_fresh(world.time)


@dataclass(frozen=True)
class OwnerProofs:
    """A daemon's proofs that former owners no longer act."""

    fenced_at: dict
    inactive_since: dict


def check_one_owner(context: Context, may_act: ActPredicate, number: int) -> None:
    rng = random.Random(number)
    world = ViewWorld()
    for _ in range(rng.randint(40, 120)):
        world.step(rng)
        for resource_key in _RESOURCE_KEYS:
            acting_owners = world.acting_owners(may_act, resource_key)
            context.actions += len(acting_owners)
            assert len(acting_owners) <= 1, (world.time, resource_key, acting_owners)


def run_one_owner(context: Context, may_act: ActPredicate, count: int) -> None:
    context.actions = 0
    for_all(
        count,
        lambda number: check_one_owner(context, may_act, number),
        st.integers(0, 2**32),
    )
    assert context.actions > 1000, context.actions


@then(
    'in {count:d} generated histories of outages, freezes and network partitions no '
    'resource has two owners'
)
def run_share_owners(context: Context, count: int) -> None:
    run_one_owner(context, may_grant, count)


@then('in {count:d} more no engine that ignores fencing gets orders from two owners')
def run_engine_owners(context: Context, count: int) -> None:
    run_one_owner(context, may_order, count)


@then("each view's witnesses are at most 7, spread over the failure domains")
def run_spread(context: Context) -> None:
    for size in range(1, 40):
        members = tuple(
            Member(f'm{number}', '', '', f'domain-{number % 3 if number < 30 else 0}')
            for number in range(size)
        )
        chosen = choose_witnesses(View(1, members))
        assert len(set(chosen)) == min(size, MAX_WITNESSES)
        counts = [
            len(
                [
                    member
                    for member in chosen
                    if member.failure_domain == f'domain-{domain}'
                ]
            )
            for domain in range(min(3, size))
        ]
        assert max(counts) - min(counts) <= 1, counts


@then(
    'whatever the clock rates no view is fenced by its age while witnesses may replace '
    'the log in it'
)
def check_no_age_overlap(context: Context) -> None:
    for speeds in itertools.product((1 - DRIFT, 1, 1 + DRIFT), repeat=2):
        for tick in range(_FINE_STEPS):
            elapsed_s = MAX_LOG_READ_AGE_S - 1 + tick * _FINE_STEP_S
            assert not (
                may_replace_log(elapsed_s, speeds[0])
                and is_fenced_by_age(elapsed_s, speeds[1])
            )


@then('a view whose witnesses are gone is fenced by its age after {limit_s:d} s')
def check_fenced_by_age(context: Context, limit_s: int) -> None:
    assert not is_fenced_by_age(limit_s - 10, 1)
    assert is_fenced_by_age(limit_s, 1 - DRIFT)
    assert not may_replace_log(limit_s, 1 - DRIFT)


def may_replace_log(elapsed_s: float, speed: float) -> bool:
    """Return whether witnesses may replace the log this long after its last read."""
    return can_witnesses_replace_log(0, elapsed_s * speed)


def is_fenced_by_age(elapsed_s: float, speed: float) -> bool:
    """Return whether a view is fenced this long after the record that ended it."""
    fenced_views = FencedViews()
    members = tuple(Member(f'm{number}', '', '', '') for number in range(3))
    fenced_views.add(View(1, members), 0)
    fenced_views.add(View(2, members[:1]), 0)
    fenced_views.fence_old(elapsed_s * speed)
    return fenced_views.epoch == 2
