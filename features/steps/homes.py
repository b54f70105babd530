"""Steps on the search for homes and on departed members, over generated histories."""

from __future__ import annotations

import itertools
import random
import sys
from dataclasses import dataclass, field
from pathlib import Path

from behave import then
from behave.runner import Context
from hypothesis import strategies as st

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from limit_shares import for_all  # noqa: E402

from pimentohoist._decisions.admission import Reason  # noqa: E402
from pimentohoist._decisions.departures import (  # noqa: E402
    MIN_REFUSAL_INTERVAL_S,
    DepartedMembers,
    ExitDetector,
)
from pimentohoist._decisions.owner_search import (  # noqa: E402
    MAX_TAKEOVER_S,
    UNREACHABLE,
    OwnerSearch,
)
from pimentohoist.models import Member  # noqa: E402

_PAUSE_S = 0.1
_MAX_QUESTIONS = 9
"""Two rounds over four homes and one question more."""
_MAX_HOLD_S = 20.0
_ENGINE_NOTICES_S = 1.0
_FINAL = (Reason.DEADLINE, Reason.DOWN, Reason.LOAD_FAILED)


class GeneratedOwner:
    """A home that is gone for a while, then gives slots or refuses."""

    def __init__(self, rng: random.Random) -> None:
        self.back_at = max(0, rng.uniform(-MAX_TAKEOVER_S, 2 * MAX_TAKEOVER_S))
        self.gives_slots = bool(rng.randrange(2))
        self.reason = rng.choice((*_FINAL, Reason.BUSY, Reason.SETTLING))
        self.asked: list[float] = []
        self.final_at = float('inf')

    def answer(self, now: float, *, must_queue: bool) -> str:
        """Return the reason for which there is no slot; empty if there is one."""
        assert now < self.final_at, 'asked again after a final answer'
        self.asked.append(now)
        if self.back_at > now:
            return UNREACHABLE
        if self.gives_slots and (must_queue or self.reason in _FINAL):
            return ''
        if self.reason in _FINAL or must_queue:
            self.final_at = now
        return self.reason


def run_search(rng: random.Random) -> tuple[list[GeneratedOwner], float, bool]:
    """Return the homes, the time to give up, and whether a slot was found."""
    owners = [GeneratedOwner(rng) for _ in range(rng.randint(1, 4))]
    now = rng.uniform(0, 5)
    deadline = now + rng.uniform(0.5, 2 * MAX_TAKEOVER_S)
    search = OwnerSearch(len(owners), now, deadline)
    question = search.next(now)
    while question is not None:
        now += _PAUSE_S
        reason = owners[question.number].answer(now, must_queue=question.must_queue)
        if not reason:
            return owners, search.deadline, True
        search.record(question, reason)
        question = search.next(now)
    return owners, search.deadline, False


def check_search(context: Context, number: int) -> None:
    owners, deadline, is_found = run_search(random.Random(number))
    context.found += is_found
    latest = deadline - _MAX_QUESTIONS * _PAUSE_S
    in_time = [
        owner for owner in owners if owner.gives_slots and owner.back_at < latest
    ]
    assert is_found or not in_time
    last = max(time for owner in owners for time in owner.asked)
    assert last <= deadline + _MAX_QUESTIONS * _PAUSE_S


@then(
    'in {count:d} generated searches a slot is found wherever a home gives one in time'
)
def run_searches(context: Context, count: int) -> None:
    context.found = 0
    for_all(count, lambda number: check_search(context, number), st.integers(0, 2**32))
    assert context.found > count // 4, context.found


@then('no home is asked again after a final answer, and none after the time to give up')
def check_ends(context: Context) -> None:
    search = OwnerSearch(2, 0, MAX_TAKEOVER_S * 2)
    first, second = search.next(0), search.next(0)
    search.record(first, Reason.DEADLINE)
    search.record(second, UNREACHABLE)
    again = search.next(1)
    assert (again.number, again.is_repeated) == (1, True)
    search.record(again, UNREACHABLE)
    assert search.next(MAX_TAKEOVER_S) is None


@dataclass
class Process:
    """A daemon's process; `pins` are the deadlines of what it runs at engines."""

    place: int
    name: str
    pins: list[float] = field(default_factory=list)
    ended_at: float = float('inf')
    is_member: bool = True

    @property
    def is_alive(self) -> bool:
        return self.ended_at == float('inf')

    @property
    def address(self) -> str:
        return f'{self.place}:1'

    def is_running(self, now: float) -> bool:
        """Return whether an engine may still run something for it."""
        engine_notices_at = self.ended_at + _ENGINE_NOTICES_S
        return any(min(pin, engine_notices_at) > now for pin in self.pins)


class PinWorld:
    """Processes that join under names, hold pins, end, freeze and join again."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.time: float = 0
        self.processes: list[Process] = []
        self.tracker = DepartedMembers(_MAX_HOLD_S)
        self.ended = ExitDetector()
        self.settled = 0
        self._numbers = itertools.count()
        for place in range(4):
            self.processes.append(Process(place, self.new_name()))

    def new_name(self) -> str:
        return f'n{next(self._numbers)}'

    def members(self) -> list[Member]:
        return [
            Member(process.name, process.address, '', '')
            for process in self.processes
            if process.is_member
        ]

    def step(self) -> None:
        self.time += self.rng.choice((0.1, 0.4, 1, 5))
        process = self.rng.choice(self.processes)
        if self.rng.randrange(2):
            self.probe()
        elif process.is_alive and process.is_member:
            self.change(process)
        elif not process.is_member:
            self.join(process)
        self.tracker.record_members(self.members(), self.time)

    def change(self, process: Process) -> None:
        match self.rng.randrange(3):
            case 0:
                # A frozen one holds its pins until their deadline.
                process.pins.append(self.time + self.rng.uniform(0, _MAX_HOLD_S))
            case 1:
                process.ended_at = self.time
            case _:
                process.is_member = False

    def join(self, process: Process) -> None:
        """Join again under another name, or start anew where one has ended."""
        if process.is_alive:
            process.name = self.new_name()
            process.is_member = True
        elif not self.listening(process.address):
            self.processes.append(Process(process.place, self.new_name()))

    def listening(self, address: str) -> list[str]:
        return [
            process.name
            for process in self.processes
            if process.address == address and process.is_alive
        ]

    def probe(self) -> None:
        for process in self.processes:
            if not process.is_alive:
                process.is_member = False
        for incarnation, (member, _) in self.tracker.departed.items():
            names = self.listening(member.peer_address)
            if not names:
                self.ended.record_refused(incarnation, self.time)
            elif incarnation not in names:
                self.ended.record_replaced(incarnation, self.time)

    def in_use(self) -> list[str]:
        """Return the departed names whose pins an engine may still run."""
        return [
            process.name
            for process in self.processes
            if process.is_running(self.time) and not process.is_member
        ]

    def check(self) -> None:
        unsettled_s = self.tracker.unsettled_s(self.ended.ended_at, self.time)
        if not unsettled_s:
            self.settled += 1
            assert not self.in_use(), (self.time, self.in_use())


def check_pins(context: Context, number: int) -> None:
    rng = random.Random(number)
    world = PinWorld(rng)
    world.tracker.record_members(world.members(), 0)
    for _ in range(rng.randint(10, 60)):
        world.step()
        world.check()
    context.settled += world.settled


@then(
    'in {count:d} generated histories nothing counts as settled while a departed '
    'process may use a pin'
)
def run_pins(context: Context, count: int) -> None:
    context.settled = 0
    for_all(count, lambda number: check_pins(context, number), st.integers(0, 2**32))
    assert context.settled > count, context.settled


@then(
    'a departed member whose connections are refused counts no longer than '
    '{limit_s:f} s more'
)
def check_proved(context: Context, limit_s: float) -> None:
    tracker = DepartedMembers(_MAX_HOLD_S)
    member = Member('a', '1:1', '', '')
    tracker.record_members((member,), 0)
    tracker.record_members((), 1)
    assert tracker.unsettled_s({}, 1) == _MAX_HOLD_S
    assert tracker.unproved({}) == (member,)
    assert _ENGINE_NOTICES_S < tracker.unsettled_s({'a': 2}, 2) <= limit_s
    assert not tracker.unproved({'a': 2})


@then(
    'one refused connection proves nothing, nor do two with an answer or a silence '
    'between'
)
def check_not_proved(context: Context) -> None:
    for interrupt in ('record_answer', 'record_silence'):
        ended = ExitDetector()
        assert not ended.record_refused('a', 0)
        assert not ended.record_refused('a', MIN_REFUSAL_INTERVAL_S / 2)
        getattr(ended, interrupt)('a')
        assert not ended.record_refused('a', MIN_REFUSAL_INTERVAL_S)
        assert not ended.ended_at
        assert not ended.inactive_since


@then(
    'two refused connections in a row prove the end, another incarnation only a new '
    'name'
)
def check_end_proved(context: Context) -> None:
    ended = ExitDetector()
    ended.record_refused('a', 0)
    assert ended.record_refused('a', MIN_REFUSAL_INTERVAL_S)
    ended.record_replaced('b', 1)
    assert ended.ended_at == {'a': MIN_REFUSAL_INTERVAL_S}
    assert ended.inactive_since == {'a': MIN_REFUSAL_INTERVAL_S, 'b': 1}
