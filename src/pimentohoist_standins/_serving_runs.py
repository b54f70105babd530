"""Runs a case in virtual time: one weight store and some engines, no processes."""

from __future__ import annotations

import heapq
import itertools
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial

from pimentohoist._decisions.admission import Reason
from pimentohoist._decisions.endpoint import EndpointState
from pimentohoist._decisions.loads import LoadBudget, StoreLimits
from pimentohoist._decisions.placement import CopyTable, order_endpoints
from pimentohoist._decisions.queue import Waiting
from pimentohoist._view_fold import rank_names
from pimentohoist.models import AdapterVersion
from pimentohoist_standins._serving_workload import (
    FAULT_AT_S,
    FAULT_S,
    OUTAGE_S,
    SERVICE_S,
    SHARES,
    Arrival,
    Case,
    Fault,
    arrivals,
)

_TICK_S = 0.1
_DONE = 1e-9


@dataclass(slots=True)
class Outcome:
    """How a request fared."""

    arrival: Arrival
    stalled: bool = False
    started_at: float | None = None
    ended_at: float | None = None
    refused_at: float | None = None

    @property
    def is_served(self) -> bool:
        """Return whether the answer was there in time."""
        return self.ended_at is not None and self.ended_at <= self.arrival.deadline

    @property
    def stall_s(self) -> float:
        """Return how long it waited for a load."""
        end = self.started_at or self.refused_at or self.arrival.deadline
        return min(end, self.arrival.deadline) - self.arrival.at


class Loop:
    """Events in virtual time."""

    def __init__(self) -> None:
        self.now = float(0)
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()

    def at(self, when: float, event: Callable[[], None]) -> None:
        """Run `event` at a time."""
        heapq.heappush(self._events, (when, next(self._numbers), event))

    def run(self, end: float) -> None:
        """Run all events up to a time."""
        while self._events and self._events[0][0] <= end:
            self.now, _, event = heapq.heappop(self._events)
            event()


class Store:
    """The weight store: at full speed up to its concurrency, shared beyond it."""

    def __init__(self, loop: Loop, loads_per_s: float, loads_at_once: int) -> None:
        self.loop = loop
        self.loads_per_s = loads_per_s
        self.loads_at_once = loads_at_once
        self.speed = float(1)
        self.most_in_flight = 0
        self._left: dict[int, tuple[float, Callable[[], None]]] = {}
        self._numbers = itertools.count()
        self._moved_at = float(0)
        self._version = 0

    def load(self, done: Callable[[], None]) -> None:
        """Transfer one adapter, then call `done`."""
        self._move()
        self._left[next(self._numbers)] = (1, done)
        self.most_in_flight = max(self.most_in_flight, len(self._left))
        self._plan()

    def change_speed(self, speed: float) -> None:
        """Change the speed of all loads."""
        self._move()
        self.speed = speed
        self._plan()

    def _per_load(self) -> float:
        sharers = max(len(self._left), self.loads_at_once)
        return self.speed * self.loads_per_s / sharers

    def _move(self) -> None:
        moved = (self.loop.now - self._moved_at) * self._per_load()
        self._moved_at = self.loop.now
        self._left = {
            number: (left - moved, done) for number, (left, done) in self._left.items()
        }

    def _plan(self) -> None:
        self._version += 1
        version = self._version
        if self._left:
            least = min(left for left, _ in self._left.values())
            wait_s = max(0, least) / self._per_load()
            self.loop.at(self.loop.now + wait_s, lambda: self._finish(version))

    def _finish(self, version: int) -> None:
        if version != self._version:
            return
        self._move()
        ended = [number for number, entry in self._left.items() if entry[0] <= _DONE]
        calls = [self._left.pop(number)[1] for number in ended]
        self._plan()
        for done in calls:
            done()


@dataclass
class Bench:
    """What both routers run on."""

    case: Case
    loop: Loop = field(default_factory=Loop)

    def __post_init__(self) -> None:
        deployment = self.case.deployment
        self.store = Store(self.loop, deployment.loads_per_s, deployment.loads_at_once)
        self.outcomes: dict[str, Outcome] = {}

    def start(self, router: Router) -> list[Outcome]:
        """Run the case on a router and return all outcomes."""
        for arrival in arrivals(self.case):
            outcome = Outcome(arrival)
            self.outcomes[str(arrival.number)] = outcome
            self.loop.at(arrival.at, partial(router.arrive, outcome))
        self._plan_faults(router)
        end = max(entry.arrival.deadline for entry in self.outcomes.values())
        for tick in range(int(end / _TICK_S)):
            self.loop.at(tick * _TICK_S, router.tick)
        self.loop.run(end)
        return list(self.outcomes.values())

    def _plan_faults(self, router: Router) -> None:
        if self.case.fault is Fault.CRASH:
            self.loop.at(FAULT_AT_S, lambda: router.crash(0))
            self.loop.at(FAULT_AT_S + OUTAGE_S, lambda: router.restart(0))
        if self.case.fault is Fault.SLOW_STORE:
            self.loop.at(FAULT_AT_S, lambda: self.store.change_speed(0.5))
            self.loop.at(FAULT_AT_S + FAULT_S, lambda: self.store.change_speed(1))


class Router:
    """What decides where a request runs."""

    def __init__(self, bench: Bench) -> None:
        self.bench = bench
        self.loop = bench.loop
        self.deployment = bench.case.deployment

    def arrive(self, outcome: Outcome) -> None:
        """Take a request."""
        raise NotImplementedError

    def tick(self) -> None:
        """Act on time gone on."""

    def crash(self, engine: int) -> None:
        """Lose an engine with all that runs there."""
        raise NotImplementedError

    def restart(self, engine: int) -> None:
        """Get it back, cold."""
        raise NotImplementedError


class HomesRouter(Router):
    """The daemons' decisions: one `EndpointState` an engine, one `LoadBudget`."""

    def __init__(self, bench: Bench) -> None:
        super().__init__(bench)
        deployment = self.deployment
        self.states = {
            f'engine-{index}': EndpointState(deployment.slots, deployment.knee_requests)
            for index in range(deployment.engines)
        }
        self.limits = StoreLimits(deployment.loads_per_s, deployment.loads_at_once)
        self.budget = LoadBudget(lambda workspace: SHARES[workspace])
        self.copies = CopyTable()
        self.runs = dict.fromkeys(self.states, 0)
        self._ranked: dict[int, list[str]] = {}

    def arrive(self, outcome: Outcome) -> None:
        """Ask the homes in order until one takes the request."""
        entry = _waiting(outcome.arrival)
        refused: list[str] = []
        for place, name in enumerate(self._order(outcome.arrival), start=1):
            state = self.states[name]
            refusal = state.offer(entry, self.loop.now)
            if refusal is None:
                self._accepted(outcome, name)
                return
            if refusal.reason is Reason.BUSY and entry.adapter is not None:
                self.copies.note_busy(entry.adapter, place, self.loop.now)
                refused.append(name)
        for name in refused:
            state = self.states[name]
            if state.offer(entry, self.loop.now, must_queue=True) is None:
                self._accepted(outcome, name)
                return
        outcome.refused_at = self.loop.now

    def tick(self) -> None:
        """Decide at every engine."""
        for name in self.states:
            self._decide(name)
        self._load()

    def crash(self, engine: int) -> None:
        """Lose an engine; its requests are sent again elsewhere."""
        name = f'engine-{engine}'
        state = self.states[name]
        self.runs[name] += 1
        lost = [*state.pins, *(refusal.request_id for refusal in state.mark_down())]
        for request_id in lost:
            state.release(request_id, 0, has_failed=True)
            outcome = self.bench.outcomes[request_id]
            outcome.started_at = None
            self.arrive(outcome)

    def restart(self, engine: int) -> None:
        """Get it back, cold."""
        self.states[f'engine-{engine}'].believe((), self.loop.now)

    def _order(self, arrival: Arrival) -> list[str]:
        if arrival.adapter not in self._ranked:
            name = str(_adapter(arrival))
            self._ranked[arrival.adapter] = rank_names(name, self.states)
        copies = self.copies.copies(_adapter(arrival), self.loop.now)
        in_flight = {name: len(state.pins) for name, state in self.states.items()}
        return order_endpoints(self._ranked[arrival.adapter], copies, in_flight)

    def _accepted(self, outcome: Outcome, name: str) -> None:
        adapter = _adapter(outcome.arrival)
        resident = self.states[name].residency.is_ready(adapter)
        outcome.stalled = outcome.stalled or not resident
        self._decide(name)
        self._load()

    def _decide(self, name: str) -> None:
        state = self.states[name]
        for refusal in state.refuse_hopeless(self.loop.now):
            self.bench.outcomes[refusal.request_id].refused_at = self.loop.now
        for entry in state.dispatch(self.loop.now):
            self.bench.outcomes[entry.request_id].started_at = self.loop.now
            end = partial(self._end, name, entry.request_id, self.runs[name])
            self.loop.at(self.loop.now + SERVICE_S, end)

    def _end(self, name: str, request_id: str, run: int) -> None:
        if run == self.runs[name]:
            self.bench.outcomes[request_id].ended_at = self.loop.now
            self.states[name].release(request_id, SERVICE_S, has_failed=False)
            self._decide(name)

    def _load(self) -> None:
        now = self.loop.now
        for name, state in self.states.items():
            self.budget.ask(name, state.wishes(now), state.residency.loading, now)
        granted = self.budget.grant(self.limits, now)
        while granted is not None:
            self._begin(granted[0], granted[1].adapter)
            granted = self.budget.grant(self.limits, now)

    def _begin(self, name: str, adapter: AdapterVersion) -> None:
        if self.states[name].begin_load(adapter, self.loop.now) is not None:
            run = self.runs[name]
            self.bench.store.load(lambda: self._loaded(name, adapter, run))

    def _loaded(self, name: str, adapter: AdapterVersion, run: int) -> None:
        is_loaded = run == self.runs[name]
        self.states[name].end_load(adapter, is_loaded=is_loaded, now=self.loop.now)
        self._decide(name)
        self._load()


@dataclass
class NaiveEngine:
    """An engine as the naive router uses it."""

    resident: OrderedDict[AdapterVersion, None] = field(default_factory=OrderedDict)
    loading: set[AdapterVersion] = field(default_factory=set)
    waiting: list[Outcome] = field(default_factory=list)
    running: list[Outcome] = field(default_factory=list)
    run: int = 0
    is_down: bool = False

    @property
    def connections(self) -> int:
        """Return what a least-connections router counts."""
        return len(self.waiting) + len(self.running)

    def make_room(self, slots: int) -> bool:
        """Evict the least recently used adapter if need be and if one is unused."""
        if len(self.resident) + len(self.loading) < slots:
            return True
        used = {_adapter(outcome.arrival) for outcome in self.running}
        for adapter in self.resident:
            if adapter not in used:
                self.resident.pop(adapter)
                return True
        return False


class NaiveRouter(Router):
    """Least connections, load on demand, evict least recently used, first come first."""

    def __init__(self, bench: Bench) -> None:
        super().__init__(bench)
        self.engines = [NaiveEngine() for _ in range(self.deployment.engines)]

    def arrive(self, outcome: Outcome) -> None:
        """Send the request to the engine with the fewest connections."""
        engine = min(
            (engine for engine in self.engines if not engine.is_down),
            key=lambda candidate: candidate.connections,
        )
        is_resident = _adapter(outcome.arrival) in engine.resident
        outcome.stalled = outcome.stalled or not is_resident
        engine.waiting.append(outcome)
        self._serve(engine)

    def tick(self) -> None:
        """Give up what is past its deadline."""
        for engine in self.engines:
            for outcome in tuple(engine.waiting):
                if outcome.arrival.deadline <= self.loop.now:
                    engine.waiting.remove(outcome)
                    outcome.refused_at = self.loop.now

    def crash(self, engine: int) -> None:
        """Lose an engine; its requests are sent again elsewhere."""
        lost = self.engines[engine]
        self.engines[engine] = NaiveEngine(run=lost.run + 1, is_down=True)
        for outcome in (*lost.running, *lost.waiting):
            outcome.started_at = None
            self.arrive(outcome)

    def restart(self, engine: int) -> None:
        """Get it back, cold."""
        self.engines[engine].is_down = False

    def _serve(self, engine: NaiveEngine) -> None:
        for outcome in tuple(engine.waiting):
            adapter = _adapter(outcome.arrival)
            if adapter in engine.resident:
                engine.resident.move_to_end(adapter)
                engine.waiting.remove(outcome)
                self._run(engine, outcome)
            elif adapter not in engine.loading:
                if engine.make_room(self.deployment.slots):
                    self._load(engine, adapter)

    def _load(self, engine: NaiveEngine, adapter: AdapterVersion) -> None:
        engine.loading.add(adapter)
        self.bench.store.load(lambda: self._loaded(engine, adapter))

    def _loaded(self, engine: NaiveEngine, adapter: AdapterVersion) -> None:
        if any(engine is present for present in self.engines):
            engine.loading.discard(adapter)
            engine.resident[adapter] = None
            self._serve(engine)

    def _run(self, engine: NaiveEngine, outcome: Outcome) -> None:
        outcome.started_at = self.loop.now
        engine.running.append(outcome)
        crowding = max(1, len(engine.running) / self.deployment.knee_requests)
        end = self.loop.now + SERVICE_S * crowding
        self.loop.at(end, lambda: self._end(engine, outcome))

    def _end(self, engine: NaiveEngine, outcome: Outcome) -> None:
        if any(engine is present for present in self.engines):
            engine.running.remove(outcome)
            outcome.ended_at = self.loop.now
            self._serve(engine)


def _adapter(arrival: Arrival) -> AdapterVersion:
    return AdapterVersion(f'adapter-{arrival.adapter}', 1)


def _waiting(arrival: Arrival) -> Waiting:
    return Waiting(
        str(arrival.number),
        arrival.workspace,
        _adapter(arrival),
        arrival.cost,
        arrival.is_urgent,
        arrival.deadline,
        arrival.at,
    )
