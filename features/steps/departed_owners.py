"""Steps on the search for owners and on departed members, over generated histories."""

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

from pimentohoist._decisions.admission import RefusalReason  # noqa: E402
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
_MAX_QUERIES = 9
"""Two rounds over four owners and one more query."""
_MAX_HOLD_S = 20.0
_ENGINE_DETECTION_S = 1.0
_FINAL_REASONS = (RefusalReason.DEADLINE, RefusalReason.DOWN, RefusalReason.LOAD_FAILED)


class GeneratedOwner:
    """An owner that is unreachable for some time, then gives slots or refuses."""

    def __init__(self, rng: random.Random) -> None:
        self.available_at = max(0, rng.uniform(-MAX_TAKEOVER_S, 2 * MAX_TAKEOVER_S))
        self.gives_slots = bool(rng.randrange(2))
        self.reason = rng.choice(
            (*_FINAL_REASONS, RefusalReason.BUSY, RefusalReason.SETTLING)
        )
        self.query_times: list[float] = []
        self.final_at = float('inf')

    def answer(self, now: float, *, must_queue: bool) -> str:
        """Return the reason for which it gives no slot; empty if it gives one."""
        assert now < self.final_at, 'asked again after a final answer'
        self.query_times.append(now)
        if self.available_at > now:
            return UNREACHABLE
        if self.gives_slots and (must_queue or self.reason in _FINAL_REASONS):
            return ''
        if self.reason in _FINAL_REASONS or must_queue:
            self.final_at = now
        return self.reason


def run_search(rng: random.Random) -> tuple[list[GeneratedOwner], float, bool]:
    """Return the owners, the deadline of the search, and whether a slot was found."""
    owners = [GeneratedOwner(rng) for _ in range(rng.randint(1, 4))]
    now = rng.uniform(0, 5)
    deadline = now + rng.uniform(0.5, 2 * MAX_TAKEOVER_S)
    search = OwnerSearch(len(owners), now, deadline)
    query = search.next(now)
    while query is not None:
        now += _PAUSE_S
        reason = owners[query.number].answer(now, must_queue=query.must_queue)
        if not reason:
            return owners, search.deadline, True
        search.record(query, reason)
        query = search.next(now)
    return owners, search.deadline, False


def check_search(context: Context, number: int) -> None:
    owners, deadline, is_found = run_search(random.Random(number))
    context.found += is_found
    latest = deadline - _MAX_QUERIES * _PAUSE_S
    in_time = [
        owner for owner in owners if owner.gives_slots and owner.available_at < latest
    ]
    assert is_found or not in_time
    last = max(time for owner in owners for time in owner.query_times)
    assert last <= deadline + _MAX_QUERIES * _PAUSE_S


@then('in {count:d} generated searches a slot is found if any owner gives one in time')
def run_searches(context: Context, count: int) -> None:
    context.found = 0
    for_all(count, lambda number: check_search(context, number), st.integers(0, 2**32))
    assert context.found > count // 4, context.found


@then(
    "no owner is asked again after a final answer, and none after the search's deadline"
)
def check_final_answers(context: Context) -> None:
    search = OwnerSearch(2, 0, MAX_TAKEOVER_S * 2)
    first, second = search.next(0), search.next(0)
    search.record(first, RefusalReason.DEADLINE)
    search.record(second, UNREACHABLE)
    again = search.next(1)
    assert (again.number, again.is_repeated) == (1, True)
    search.record(again, UNREACHABLE)
    assert search.next(MAX_TAKEOVER_S) is None


@dataclass
class Process:
    """A daemon's process; `pins` are the deadlines of its requests at engines."""

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
        """Return whether an engine may still execute a request for it."""
        exit_detected_at = self.ended_at + _ENGINE_DETECTION_S
        return any(min(pin, exit_detected_at) > now for pin in self.pins)


class PinWorld:
    """Processes that join as incarnations, hold pins, exit, freeze and join again."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.time: float = 0
        self.processes: list[Process] = []
        self.departed_members = DepartedMembers(_MAX_HOLD_S)
        self.exit_detector = ExitDetector()
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
        self.departed_members.record_members(self.members(), self.time)

    def change(self, process: Process) -> None:
        match self.rng.randrange(3):
            case 0:
                # A frozen process holds its pins until their deadline.
                process.pins.append(self.time + self.rng.uniform(0, _MAX_HOLD_S))
            case 1:
                process.ended_at = self.time
            case _:
                process.is_member = False

    def join(self, process: Process) -> None:
        """Join again as another incarnation, or replace a process that has exited."""
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
        for incarnation, (member, _) in self.departed_members.departed.items():
            names = self.listening(member.peer_address)
            if not names:
                self.exit_detector.record_refused(incarnation, self.time)
            elif incarnation not in names:
                self.exit_detector.record_replaced(incarnation, self.time)

    def in_use(self) -> list[str]:
        """Return the departed incarnations whose requests an engine may still execute."""
        return [
            process.name
            for process in self.processes
            if process.is_running(self.time) and not process.is_member
        ]

    def check(self) -> None:
        unsettled_s = self.departed_members.unsettled_s(
            self.exit_detector.ended_at, self.time
        )
        if not unsettled_s:
            self.settled += 1
            assert not self.in_use(), (self.time, self.in_use())


def check_pins(context: Context, number: int) -> None:
    rng = random.Random(number)
    world = PinWorld(rng)
    world.departed_members.record_members(world.members(), 0)
    for _ in range(rng.randint(10, 60)):
        world.step()
        world.check()
    context.settled += world.settled


@then(
    'in {count:d} generated histories departed members never count as settled while one '
    'may use a pin'
)
def run_pins(context: Context, count: int) -> None:
    context.settled = 0
    for_all(count, lambda number: check_pins(context, number), st.integers(0, 2**32))
    assert context.settled > count, context.settled


@then(
    'a departed member whose connections are refused counts as unsettled for at most '
    '{limit_s:f} s more'
)
def check_exited_departure(context: Context, limit_s: float) -> None:
    departed_members = DepartedMembers(_MAX_HOLD_S)
    member = Member('a', '1:1', '', '')
    departed_members.record_members((member,), 0)
    departed_members.record_members((), 1)
    assert departed_members.unsettled_s({}, 1) == _MAX_HOLD_S
    assert departed_members.without_exit_proof({}) == (member,)
    assert _ENGINE_DETECTION_S < departed_members.unsettled_s({'a': 2}, 2) <= limit_s
    assert not departed_members.without_exit_proof({'a': 2})


@then(
    'one refused connection proves nothing, nor do two with an answer or a timeout '
    'between'
)
def check_no_exit_proof(context: Context) -> None:
    for record_method in ('record_response', 'record_silence'):
        exit_detector = ExitDetector()
        assert not exit_detector.record_refused('a', 0)
        assert not exit_detector.record_refused('a', MIN_REFUSAL_INTERVAL_S / 2)
        getattr(exit_detector, record_method)('a')
        assert not exit_detector.record_refused('a', MIN_REFUSAL_INTERVAL_S)
        assert not exit_detector.ended_at
        assert not exit_detector.inactive_since


@then(
    'two refused connections in a row prove the exit, another incarnation only that the '
    'old one is inactive'
)
def check_exit_proof(context: Context) -> None:
    exit_detector = ExitDetector()
    exit_detector.record_refused('a', 0)
    assert exit_detector.record_refused('a', MIN_REFUSAL_INTERVAL_S)
    exit_detector.record_replaced('b', 1)
    assert exit_detector.ended_at == {'a': MIN_REFUSAL_INTERVAL_S}
    assert exit_detector.inactive_since == {'a': MIN_REFUSAL_INTERVAL_S, 'b': 1}
