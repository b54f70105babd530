"""Adapters of one engine as recorded by its owner, and the victims of loads.

The owner's own orders take precedence over the engine's reports, which are late: for
`REPORT_LAG_S` after an order a report that contradicts it is ignored.
"""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass

from pimentohoist._decisions.placement import DecayedFrequency, choose_victim
from pimentohoist.models import AdapterVersion

REPORT_LAG_S = 2.0
INITIAL_BACKOFF_S = 1.0
"""Pause after the first failure of a load; each further one doubles it."""

MAX_BACKOFF_S = 30.0


@dataclass(frozen=True, slots=True)
class _Failures:
    count: int
    retry_at: float


class Residency:
    """Adapters of one engine.

    Attributes
    ----------
    resident : dict of AdapterVersion to float
        When the load of each one ended.
    loading : set of AdapterVersion
        Ordered and not answered yet.
    unconfirmed : set of AdapterVersion
        Adapters on which a request failed; they are not used until a report names them.
    frequency : DecayedFrequency
        Of all requested adapters, resident or not.
    """

    def __init__(self, slots: int) -> None:
        self.slots = slots
        self.resident: dict[AdapterVersion, float] = {}
        self.loading: set[AdapterVersion] = set()
        self.unconfirmed: set[AdapterVersion] = set()
        self.frequency = DecayedFrequency()
        self._evicted_at: dict[AdapterVersion, float] = {}
        self._failures: dict[AdapterVersion, _Failures] = {}

    def is_ready(self, adapter: AdapterVersion | None) -> bool:
        """Return whether requests for the adapter may be sent now."""
        if adapter is None:
            return True
        return adapter in self.resident and adapter not in self.unconfirmed

    def is_held(self, adapter: AdapterVersion) -> bool:
        """Return whether the adapter is resident or being loaded."""
        return adapter in self.resident or adapter in self.loading

    def record_request(self, adapter: AdapterVersion, now: float) -> None:
        """Count a request.

        A miss while slots are free, as after a restart, is no sign of a shift in
        popularity and counts as a hit.
        """
        is_resident = adapter in self.resident or self.free_slots() > 0
        self.frequency.record(adapter, now, is_resident=is_resident)

    def free_slots(self) -> int:
        """Return how many adapters can be loaded without an eviction."""
        return self.slots - len(self.resident) - len(self.loading)

    def victim(
        self, needed: Collection[AdapterVersion], now: float
    ) -> AdapterVersion | None:
        """Return the adapter to evict for a load; None if all are needed."""
        evictable = (adapter for adapter in self.resident if adapter not in needed)
        return choose_victim(evictable, self.frequency, now)

    def begin_load(
        self, adapter: AdapterVersion, victim: AdapterVersion | None, now: float
    ) -> None:
        """Record that `adapter` is being loaded and `victim`, if any, evicted."""
        if victim is not None:
            self.resident.pop(victim)
            self.unconfirmed.discard(victim)
            self._evicted_at[victim] = now
        self.loading.add(adapter)

    def end_load(self, adapter: AdapterVersion, *, is_loaded: bool, now: float) -> None:
        """Record how a load ended."""
        self.loading.discard(adapter)
        if is_loaded:
            self.resident[adapter] = now
            self.unconfirmed.discard(adapter)
            self._failures.pop(adapter, None)
            return
        previous = self._failures.get(adapter)
        count = previous.count + 1 if previous else 1
        backoff_s = min(MAX_BACKOFF_S, INITIAL_BACKOFF_S * 2 ** (count - 1))
        self._failures[adapter] = _Failures(count, now + backoff_s)

    def backoff_s(self, adapter: AdapterVersion, now: float) -> float:
        """Return for how long the adapter is not loaded here after failed loads."""
        failures = self._failures.get(adapter)
        return max(0, failures.retry_at - now) if failures else 0

    def apply_report(self, reported: Collection[AdapterVersion], now: float) -> None:
        """Apply an engine's report where no recent order contradicts it."""
        lag_start = now - REPORT_LAG_S
        self._evicted_at = {
            adapter: evicted_at
            for adapter, evicted_at in self._evicted_at.items()
            if evicted_at > lag_start
        }
        self.unconfirmed.difference_update(reported)
        for adapter, loaded_at in tuple(self.resident.items()):
            if adapter not in reported and loaded_at <= lag_start:
                self.resident.pop(adapter)
                self.unconfirmed.discard(adapter)
        for adapter in reported:
            if not self.is_held(adapter) and adapter not in self._evicted_at:
                self.resident[adapter] = float('-inf')
