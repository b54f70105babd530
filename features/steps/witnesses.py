"""Steps on witnesses and fences: generated histories against a plain invariant."""

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
    FRESH_S,
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
_DAEMONS = 5
_STEP_S = 0.3
_STREAM = 'view'
_FINE_STEP_S = 0.001
_FINE_STEPS = 4000


@dataclass
class Seer:
    """A daemon that reads the log or asks witnesses."""

    name: str
    book: OwnershipHistory = field(
        default_factory=lambda: OwnershipHistory(is_complete=True)
    )
    fences: FencedViews = field(default_factory=FencedViews)
    tracker: FreshnessTracker = field(default_factory=FreshnessTracker)
    fenced_at: dict = field(default_factory=dict)
    seen: int = 0
    has_log: bool = True
    side: int = 0
    is_frozen: bool = False
    heard: dict = field(default_factory=dict)

    def record_heard(self, other: Seer, time: float) -> None:
        """Note what another daemon has read; a member reports its pins with that."""
        self.heard.setdefault(other.name, {}).setdefault(other.offset, time)

    def moved_at(self, epoch: int) -> dict:
        """Return since when other daemons were known to have read a view."""
        times = {
            name: [time for offset, time in offsets.items() if offset >= epoch]
            for name, offsets in self.heard.items()
        }
        return {name: min(found) for name, found in times.items() if found}

    @property
    def offset(self) -> int:
        return self.book.views[-1].epoch if self.book.views else 0


class ViewWorld:
    """Daemons, each connected to the log or not, on one of two sides of the network."""

    def __init__(self) -> None:
        self.time: float = 0
        self.views = [View(1, ())]
        self.seers = [Seer(f's{number}') for number in range(_DAEMONS)]
        self.actions = 0
        for seer in self.seers:
            self.change({*self.present(), seer.name})

    def present(self) -> set[str]:
        return set(self.views[-1].incarnations)

    def change(self, names: set[str]) -> None:
        members = tuple(
            Member(name, '', '', f'domain-{name[-1]}') for name in sorted(names)
        )
        self.views.append(View(len(self.views) + 1, members))

    def step(self, rng: random.Random) -> None:
        self.time += rng.choice((0.05, _STEP_S, _STEP_S, 1))
        seer = rng.choice(self.seers)
        match rng.randrange(12):
            case 0:
                seer.has_log = not seer.has_log
            case 1:
                seer.side = 1 - seer.side
            case 2:
                seer.is_frozen = not seer.is_frozen
            case 3:
                self.change(self.present() ^ {seer.name})
            case 4:
                self.heal()
            case 5:
                self.cut_off(rng.sample(self.seers, 2))
        for one in self.seers:
            if not one.is_frozen and rng.randrange(4):
                self.tick(one)

    def heal(self) -> None:
        for seer in self.seers:
            seer.side = 0
            seer.has_log = True
            seer.is_frozen = False
        self.change({other.name for other in self.seers})

    def cut_off(self, pair: list[Seer]) -> None:
        """Leave two daemons with each other alone; the others expire them."""
        for lonely in pair:
            lonely.side = 1
            lonely.has_log = False
        self.change(self.present() - {other.name for other in pair})

    def tick(self, seer: Seer) -> None:
        if seer.has_log:
            for view in self.views[seer.seen :]:
                seer.book.add(view)
                seer.fences.add(view, self.time)
            seer.seen = len(self.views)
            seer.tracker.confirm(self.time, self.time)
        seer.fences.record_offset(seer.name, seer.offset)
        reached = [other for other in self.seers if self.can_ask(seer, other)]
        for witness in reached:
            seer.record_heard(witness, self.time)
            seer.fences.record_offset(witness.name, witness.offset)
            seer.fences.learn(witness.fences.epoch)
        replies = {other.name: {_STREAM: other.offset} for other in reached}
        held = {_STREAM: seer.offset}
        if seer.book.views and is_confirmed(
            seer.book.views[-1], seer.name, held, replies
        ):
            seer.tracker.confirm(self.time, self.time)
        for view in seer.book.views:
            if view.epoch <= seer.fences.epoch:
                seer.fenced_at.setdefault(view.epoch, self.time)

    def can_ask(self, seer: Seer, other: Seer) -> bool:
        is_reached = other.side == seer.side and not other.is_frozen
        return is_reached and other is not seer

    def actors(self, acts: Acts, resource_key: str) -> list[str]:
        """Return who would act as home of a thing now."""
        return [seer.name for seer in self.seers if acts(self, seer, resource_key)]


Acts = Callable[[ViewWorld, Seer, str], bool]


def grants(world: ViewWorld, seer: Seer, resource_key: str) -> bool:
    """Return whether a daemon grants tokens as the home of a share, pulls aside."""
    term = seer.book.term(resource_key)
    if term is None or term.owner != seer.name:
        return False
    begins_at = seer.fenced_at.get(term.epoch, float('inf')) + FRESH_S
    has_begun = term.former is None or world.time >= begins_at
    return has_begun and seer.tracker.is_fresh(world.time)


def orders(world: ViewWorld, seer: Seer, resource_key: str) -> bool:
    """Return whether a daemon orders something at an engine that ignores fencing."""
    term = seer.book.term(resource_key)
    if term is None or term.owner != seer.name:
        return False
    proofs = Proofs(seer.fenced_at, seer.moved_at(term.epoch))
    wait = TakeoverDelays(after_fence_s=FRESH_S, after_end_s=0)
    has_begun = takeover_allowed_at(term, proofs, wait) <= world.time
    return has_begun and seer.tracker.is_fresh(world.time)


@dataclass(frozen=True)
class Proofs:
    """What a daemon knows of the ends of former homes."""

    fenced_at: dict
    inactive_since: dict


def check_one_owner(context: Context, acts: Acts, number: int) -> None:
    rng = random.Random(number)
    world = ViewWorld()
    for _ in range(rng.randint(40, 120)):
        world.step(rng)
        for resource_key in _RESOURCE_KEYS:
            actors = world.actors(acts, resource_key)
            context.actions += len(actors)
            assert len(actors) <= 1, (world.time, resource_key, actors)


def run_one_owner(context: Context, acts: Acts, count: int) -> None:
    context.actions = 0
    for_all(
        count,
        lambda number: check_one_owner(context, acts, number),
        st.integers(0, 2**32),
    )
    assert context.actions > 1000, context.actions


@then(
    'in {count:d} generated histories of outages, freezes and cuts no thing has '
    'two homes'
)
def run_grants(context: Context, count: int) -> None:
    run_one_owner(context, grants, count)


@then('in {count:d} more no engine that ignores fencing gets orders from two homes')
def run_orders(context: Context, count: int) -> None:
    run_one_owner(context, orders, count)


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
            len([one for one in chosen if one.failure_domain == f'domain-{domain}'])
            for domain in range(min(3, size))
        ]
        assert max(counts) - min(counts) <= 1, counts


@then(
    'by any clocks no view is fenced by its age while witnesses may stand in for the '
    'log in it'
)
def run_age(context: Context) -> None:
    for speeds in itertools.product((1 - DRIFT, 1, 1 + DRIFT), repeat=2):
        for tick in range(_FINE_STEPS):
            since = MAX_LOG_READ_AGE_S - 1 + tick * _FINE_STEP_S
            assert not (is_in_force(since, speeds[0]) and is_aged(since, speeds[1]))


@then('a view whose witnesses vanished is fenced by its age after {limit_s:d} s')
def run_aged(context: Context, limit_s: int) -> None:
    assert not is_aged(limit_s - 10, 1)
    assert is_aged(limit_s, 1 - DRIFT)
    assert not is_in_force(limit_s, 1 - DRIFT)


def is_in_force(since: float, speed: float) -> bool:
    """Return whether witnesses may stand in so long after the last look at the log."""
    return can_witnesses_replace_log(0, since * speed)


def is_aged(since: float, speed: float) -> bool:
    """Return whether a view is fenced so long after the record that ended it."""
    fences = FencedViews()
    members = tuple(Member(f'm{number}', '', '', '') for number in range(3))
    fences.add(View(1, members), 0)
    fences.add(View(2, members[:1]), 0)
    fences.end_old(since * speed)
    return fences.epoch == 2
