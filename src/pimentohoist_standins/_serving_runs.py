"""Runs a case in virtual time: one weight store and some engines, no processes."""

from __future__ import annotations

from dataclasses import dataclass, field
from functools import partial

from pimentohoist._decisions.admission import Reason
from pimentohoist._decisions.endpoint import EndpointState
from pimentohoist._decisions.loads import LoadBudget, StoreLimits
from pimentohoist._decisions.placement import CopyTable, order_endpoints
from pimentohoist._decisions.queue import QueuedRequest
from pimentohoist._rendezvous import rank_names
from pimentohoist.models import AdapterVersion
from pimentohoist_standins._serving_workload import (
    FAULT_AT_S,
    FAULT_S,
    OUTAGE_S,
    SERVICE_S,
    SHARES,
    SLOW_SPEED,
    Arrival,
    Case,
    Fault,
    arrivals,
)
from pimentohoist_standins._virtual_time import Loop, Server

_TICK_S = 0.1


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
    def refused_after_s(self) -> float | None:
        """Return how long it waited for its refusal; None if it was not refused."""
        if self.refused_at is None:
            return None
        return self.refused_at - self.arrival.at

    @property
    def stall_s(self) -> float:
        """Return how long it waited for a load."""
        end = self.started_at or self.refused_at or self.arrival.deadline
        return min(end, self.arrival.deadline) - self.arrival.at


@dataclass
class Bench:
    """What both routers run on."""

    case: Case
    loop: Loop = field(default_factory=Loop)

    def __post_init__(self) -> None:
        deployment = self.case.deployment
        self.store = Server(self.loop, deployment.loads_per_s, deployment.loads_at_once)
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
            self.loop.at(FAULT_AT_S, lambda: self.store.change_speed(SLOW_SPEED))
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
                self.copies.record_busy(entry.adapter, place, self.loop.now)
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
        self.states[f'engine-{engine}'].apply_report((), self.loop.now)

    def _order(self, arrival: Arrival) -> list[str]:
        if arrival.adapter not in self._ranked:
            name = str(adapter_of(arrival))
            self._ranked[arrival.adapter] = rank_names(name, self.states)
        copies = self.copies.copies(adapter_of(arrival), self.loop.now)
        in_flight = {name: len(state.pins) for name, state in self.states.items()}
        return order_endpoints(self._ranked[arrival.adapter], copies, in_flight)

    def _accepted(self, outcome: Outcome, name: str) -> None:
        adapter = adapter_of(outcome.arrival)
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
            self.budget.ask(
                name, state.load_requests(now), state.residency.loading, now
            )
        granted = self.budget.grant(self.limits, now)
        while granted is not None:
            self._begin(granted[0], granted[1].adapter)
            granted = self.budget.grant(self.limits, now)

    def _begin(self, name: str, adapter: AdapterVersion) -> None:
        if self.states[name].begin_load(adapter, self.loop.now) is not None:
            run = self.runs[name]
            self.bench.store.start(lambda: self._loaded(name, adapter, run))

    def _loaded(self, name: str, adapter: AdapterVersion, run: int) -> None:
        is_loaded = run == self.runs[name]
        self.states[name].end_load(adapter, is_loaded=is_loaded, now=self.loop.now)
        self._decide(name)
        self._load()


def adapter_of(arrival: Arrival) -> AdapterVersion:
    """Return the adapter that a request asks for."""
    return AdapterVersion(f'adapter-{arrival.adapter}', 1)


def _waiting(arrival: Arrival) -> QueuedRequest:
    return QueuedRequest(
        str(arrival.number),
        arrival.workspace,
        adapter_of(arrival),
        arrival.cost,
        arrival.is_urgent,
        arrival.deadline,
        arrival.at,
    )
