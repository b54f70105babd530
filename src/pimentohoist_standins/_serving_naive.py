"""Naive router, the baseline for the daemons' decisions."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field

from pimentohoist.models import AdapterVersion
from pimentohoist_standins._serving_runs import (
    Simulation,
    Outcome,
    Router,
    requested_adapter,
)
from pimentohoist_standins._serving_workload import SERVICE_S


@dataclass
class NaiveEngine:
    """An engine's adapters and requests, as the naive router tracks them."""

    resident: OrderedDict[AdapterVersion, None] = field(default_factory=OrderedDict)
    loading: set[AdapterVersion] = field(default_factory=set)
    queued: list[Outcome] = field(default_factory=list)
    running: list[Outcome] = field(default_factory=list)
    crash_count: int = 0
    is_down: bool = False

    @property
    def connection_count(self) -> int:
        """Return the number of connections: queued and running requests."""
        return len(self.queued) + len(self.running)

    def ensure_free_slot(self, slots: int) -> bool:
        """Return whether a slot is free, evicting an unused adapter if necessary.

        The victim is the least recently used adapter that no running request uses.
        """
        if len(self.resident) + len(self.loading) < slots:
            return True
        used = {requested_adapter(outcome.arrival) for outcome in self.running}
        for adapter in self.resident:
            if adapter not in used:
                self.resident.pop(adapter)
                return True
        return False


class NaiveRouter(Router):
    """Routes to the engine with the fewest connections.

    Engines load on demand, evict the least recently used adapter and serve requests in
    the order of arrival.
    """

    def __init__(self, simulation: Simulation) -> None:
        super().__init__(simulation)
        self.engines = [NaiveEngine() for _ in range(self.deployment.engines)]

    def arrive(self, outcome: Outcome) -> None:
        """Send the request to the engine with the fewest connections."""
        engine = min(
            (engine for engine in self.engines if not engine.is_down),
            key=lambda candidate: candidate.connection_count,
        )
        is_resident = requested_adapter(outcome.arrival) in engine.resident
        outcome.has_stalled = outcome.has_stalled or not is_resident
        engine.queued.append(outcome)
        self._serve(engine)

    def tick(self) -> None:
        """Refuse queued requests that are past their deadline."""
        for engine in self.engines:
            for outcome in tuple(engine.queued):
                if outcome.arrival.deadline <= self.loop.now:
                    engine.queued.remove(outcome)
                    outcome.refused_at = self.loop.now

    def crash(self, engine: int) -> None:
        """Take an engine down and retry its requests on the other engines."""
        crashed = self.engines[engine]
        self.engines[engine] = NaiveEngine(
            crash_count=crashed.crash_count + 1, is_down=True
        )
        for outcome in (*crashed.running, *crashed.queued):
            outcome.started_at = None
            self.arrive(outcome)

    def restart(self, engine: int) -> None:
        """Bring a crashed engine back with no adapter loaded."""
        self.engines[engine].is_down = False

    def _serve(self, engine: NaiveEngine) -> None:
        for outcome in tuple(engine.queued):
            adapter = requested_adapter(outcome.arrival)
            if adapter in engine.resident:
                engine.resident.move_to_end(adapter)
                engine.queued.remove(outcome)
                self._start_request(engine, outcome)
            elif adapter not in engine.loading:
                if engine.ensure_free_slot(self.deployment.slots):
                    self._start_load(engine, adapter)

    def _start_load(self, engine: NaiveEngine, adapter: AdapterVersion) -> None:
        engine.loading.add(adapter)
        self.simulation.store.start(lambda: self._end_load(engine, adapter))

    def _end_load(self, engine: NaiveEngine, adapter: AdapterVersion) -> None:
        if any(engine is present for present in self.engines):
            engine.loading.discard(adapter)
            engine.resident[adapter] = None
            self._serve(engine)

    def _start_request(self, engine: NaiveEngine, outcome: Outcome) -> None:
        outcome.started_at = self.loop.now
        engine.running.append(outcome)
        slowdown = max(1, len(engine.running) / self.deployment.knee_requests)
        end = self.loop.now + SERVICE_S * slowdown
        self.loop.schedule(end, lambda: self._end_request(engine, outcome))

    def _end_request(self, engine: NaiveEngine, outcome: Outcome) -> None:
        if any(engine is present for present in self.engines):
            engine.running.remove(outcome)
            outcome.ended_at = self.loop.now
            self._serve(engine)
