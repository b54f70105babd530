"""The naive router that the daemons' decisions are measured against."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field

from pimentohoist.models import AdapterVersion
from pimentohoist_standins._serving_runs import Bench, Outcome, Router, adapter_of
from pimentohoist_standins._serving_workload import SERVICE_S


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
        used = {adapter_of(outcome.arrival) for outcome in self.running}
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
        is_resident = adapter_of(outcome.arrival) in engine.resident
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
            adapter = adapter_of(outcome.arrival)
            if adapter in engine.resident:
                engine.resident.move_to_end(adapter)
                engine.waiting.remove(outcome)
                self._run(engine, outcome)
            elif adapter not in engine.loading:
                if engine.make_room(self.deployment.slots):
                    self._load(engine, adapter)

    def _load(self, engine: NaiveEngine, adapter: AdapterVersion) -> None:
        engine.loading.add(adapter)
        self.bench.store.start(lambda: self._loaded(engine, adapter))

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
