"""Simulation of one weight store and several engines in virtual time."""

from __future__ import annotations

from dataclasses import dataclass, field
from functools import partial

from pimentohoist._decisions.admission import RefusalReason
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
    WORKSPACE_SHARES,
    SLOW_STORE_SPEED,
    Arrival,
    Case,
    Fault,
    arrivals,
)
from pimentohoist_standins._virtual_time import EventLoop, ProcessorSharingServer

_TICK_INTERVAL_S = 0.1


@dataclass(slots=True)
class Outcome:
    """The times of a request's execution or refusal, None if it did not happen.

    Attributes
    ----------
    has_stalled : bool
        Whether its adapter was not resident when an engine accepted it.
    """

    arrival: Arrival
    has_stalled: bool = False
    started_at: float | None = None
    ended_at: float | None = None
    refused_at: float | None = None

    @property
    def is_served(self) -> bool:
        """Return whether the request completed by its deadline."""
        return self.ended_at is not None and self.ended_at <= self.arrival.deadline

    @property
    def refused_after_s(self) -> float | None:
        """Return the seconds from arrival to refusal, None if it was not refused."""
        if self.refused_at is None:
            return None
        return self.refused_at - self.arrival.arrived_at

    @property
    def stall_s(self) -> float:
        """Return the seconds until it started, was refused or reached its deadline."""
        end = self.started_at or self.refused_at or self.arrival.deadline
        return min(end, self.arrival.deadline) - self.arrival.arrived_at


@dataclass
class Simulation:
    """The event loop, weight store and outcomes that a router runs on."""

    case: Case
    loop: EventLoop = field(default_factory=EventLoop)

    def __post_init__(self) -> None:
        deployment = self.case.deployment
        self.store = ProcessorSharingServer(
            self.loop, deployment.loads_per_s, deployment.max_parallel_loads
        )
        self.outcomes: dict[str, Outcome] = {}

    def start(self, router: Router) -> list[Outcome]:
        """Run the case on a router and return all outcomes."""
        for arrival in arrivals(self.case):
            outcome = Outcome(arrival)
            self.outcomes[str(arrival.number)] = outcome
            self.loop.schedule(arrival.arrived_at, partial(router.arrive, outcome))
        self._schedule_faults(router)
        end = max(entry.arrival.deadline for entry in self.outcomes.values())
        for tick in range(int(end / _TICK_INTERVAL_S)):
            self.loop.schedule(tick * _TICK_INTERVAL_S, router.tick)
        self.loop.run(end)
        return list(self.outcomes.values())

    def _schedule_faults(self, router: Router) -> None:
        if self.case.fault is Fault.CRASH:
            self.loop.schedule(FAULT_AT_S, lambda: router.crash(0))
            self.loop.schedule(FAULT_AT_S + OUTAGE_S, lambda: router.restart(0))
        if self.case.fault is Fault.SLOW_STORE:
            self.loop.schedule(
                FAULT_AT_S, lambda: self.store.change_speed(SLOW_STORE_SPEED)
            )
            self.loop.schedule(FAULT_AT_S + FAULT_S, lambda: self.store.change_speed(1))


class Router:
    """Base of the routers, which decide on which engine a request runs."""

    def __init__(self, simulation: Simulation) -> None:
        self.simulation = simulation
        self.loop = simulation.loop
        self.deployment = simulation.case.deployment

    def arrive(self, outcome: Outcome) -> None:
        """Handle the arrival of a request."""
        raise NotImplementedError

    def tick(self) -> None:
        """Do the periodic work, such as refusing requests past their deadline."""

    def crash(self, engine: int) -> None:
        """Take an engine down together with its requests and adapters."""
        raise NotImplementedError

    def restart(self, engine: int) -> None:
        """Bring a crashed engine back with no adapter loaded."""
        raise NotImplementedError


class HomesRouter(Router):
    """Routes with the daemons' decisions.

    Each engine has an `EndpointState`; all share one `LoadBudget`.
    """

    def __init__(self, simulation: Simulation) -> None:
        super().__init__(simulation)
        deployment = self.deployment
        self.states = {
            f'engine-{index}': EndpointState(deployment.slots, deployment.knee_requests)
            for index in range(deployment.engines)
        }
        self.limits = StoreLimits(deployment.loads_per_s, deployment.max_parallel_loads)
        self.budget = LoadBudget(lambda workspace: WORKSPACE_SHARES[workspace])
        self.copies = CopyTable()
        self.crash_counts = dict.fromkeys(self.states, 0)
        self._rankings: dict[int, list[str]] = {}

    def arrive(self, outcome: Outcome) -> None:
        """Offer the request to the engines in order until one accepts it."""
        entry = _queued_request(outcome.arrival)
        refused: list[str] = []
        for place, name in enumerate(self._order_engines(outcome.arrival), start=1):
            state = self.states[name]
            refusal = state.enqueue(entry, self.loop.now)
            if refusal is None:
                self._record_accepted(outcome, name)
                return
            if refusal.reason is RefusalReason.BUSY and entry.adapter is not None:
                self.copies.record_busy(entry.adapter, place, self.loop.now)
                refused.append(name)
        for name in refused:
            state = self.states[name]
            if state.enqueue(entry, self.loop.now, must_queue=True) is None:
                self._record_accepted(outcome, name)
                return
        outcome.refused_at = self.loop.now

    def tick(self) -> None:
        """Dispatch and refuse requests at every engine, then grant loads."""
        for name in self.states:
            self._dispatch(name)
        self._grant_loads()

    def crash(self, engine: int) -> None:
        """Take an engine down and retry its requests on the other engines."""
        name = f'engine-{engine}'
        state = self.states[name]
        self.crash_counts[name] += 1
        lost = [*state.pins, *(refusal.request_id for refusal in state.mark_down())]
        for request_id in lost:
            state.release(request_id, 0, has_failed=True)
            outcome = self.simulation.outcomes[request_id]
            outcome.started_at = None
            self.arrive(outcome)

    def restart(self, engine: int) -> None:
        """Bring a crashed engine back with no adapter loaded."""
        self.states[f'engine-{engine}'].apply_report((), self.loop.now)

    def _order_engines(self, arrival: Arrival) -> list[str]:
        if arrival.adapter not in self._rankings:
            name = str(requested_adapter(arrival))
            self._rankings[arrival.adapter] = rank_names(name, self.states)
        copies = self.copies.copies(requested_adapter(arrival), self.loop.now)
        in_flight = {name: len(state.pins) for name, state in self.states.items()}
        return order_endpoints(self._rankings[arrival.adapter], copies, in_flight)

    def _record_accepted(self, outcome: Outcome, name: str) -> None:
        adapter = requested_adapter(outcome.arrival)
        is_resident = self.states[name].residency.is_ready(adapter)
        outcome.has_stalled = outcome.has_stalled or not is_resident
        self._dispatch(name)
        self._grant_loads()

    def _dispatch(self, name: str) -> None:
        state = self.states[name]
        for refusal in state.refuse_late(self.loop.now):
            self.simulation.outcomes[refusal.request_id].refused_at = self.loop.now
        for entry in state.dispatch(self.loop.now):
            self.simulation.outcomes[entry.request_id].started_at = self.loop.now
            end = partial(
                self._end_request, name, entry.request_id, self.crash_counts[name]
            )
            self.loop.schedule(self.loop.now + SERVICE_S, end)

    def _end_request(self, name: str, request_id: str, crash_count: int) -> None:
        if crash_count == self.crash_counts[name]:
            self.simulation.outcomes[request_id].ended_at = self.loop.now
            self.states[name].release(request_id, SERVICE_S, has_failed=False)
            self._dispatch(name)

    def _grant_loads(self) -> None:
        now = self.loop.now
        for name, state in self.states.items():
            self.budget.update_load_requests(
                name, state.load_requests(now), state.residency.loading, now
            )
        granted = self.budget.grant(self.limits, now)
        while granted is not None:
            self._begin_load(granted[0], granted[1].adapter)
            granted = self.budget.grant(self.limits, now)

    def _begin_load(self, name: str, adapter: AdapterVersion) -> None:
        if self.states[name].begin_load(adapter, self.loop.now) is not None:
            crash_count = self.crash_counts[name]
            self.simulation.store.start(
                lambda: self._end_load(name, adapter, crash_count)
            )

    def _end_load(self, name: str, adapter: AdapterVersion, crash_count: int) -> None:
        is_loaded = crash_count == self.crash_counts[name]
        self.states[name].end_load(adapter, is_loaded=is_loaded, now=self.loop.now)
        self._dispatch(name)
        self._grant_loads()


def requested_adapter(arrival: Arrival) -> AdapterVersion:
    """Return the adapter that a request needs."""
    return AdapterVersion(f'adapter-{arrival.adapter}', 1)


def _queued_request(arrival: Arrival) -> QueuedRequest:
    return QueuedRequest(
        str(arrival.number),
        arrival.workspace,
        requested_adapter(arrival),
        arrival.cost_tokens,
        arrival.is_urgent,
        arrival.deadline,
        arrival.arrived_at,
    )
