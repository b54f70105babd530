"""What an engine holds, as its home knows it, and which load may be ordered there.

The home's own orders go before the engine's reports, which are late: for `REPORT_LAG_S`
after an order a report that contradicts it is not believed.
"""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass

from pimentohoist._decisions.placement import DecayedFrequency, choose_victim
from pimentohoist.models import AdapterVersion

REPORT_LAG_S = 2.0
BACKOFF_S = 1.0
"""Pause after the first failure of a load; doubled by each further one."""

MAX_BACKOFF_S = 30.0


@dataclass(frozen=True, slots=True)
class _Failures:
    count: int
    until: float


class Residency:
    """Adapters of one engine.

    Attributes
    ----------
    resident : dict of AdapterVersion to float
        When each one's load had ended.
    loading : set of AdapterVersion
        Ordered and not answered yet.
    suspects : set of AdapterVersion
        Failed a request: not used until a report has named them.
    frequency : DecayedFrequency
        Of all adapters asked for, resident or not.
    """

    def __init__(self, slots: int) -> None:
        self.slots = slots
        self.resident: dict[AdapterVersion, float] = {}
        self.loading: set[AdapterVersion] = set()
        self.suspects: set[AdapterVersion] = set()
        self.frequency = DecayedFrequency()
        self._evicted: dict[AdapterVersion, float] = {}
        self._failures: dict[AdapterVersion, _Failures] = {}

    def is_ready(self, adapter: AdapterVersion | None) -> bool:
        """Return whether requests on the adapter may be sent now."""
        if adapter is None:
            return True
        return adapter in self.resident and adapter not in self.suspects

    def is_held(self, adapter: AdapterVersion) -> bool:
        """Return whether the adapter is resident or being loaded."""
        return adapter in self.resident or adapter in self.loading

    def record_request(self, adapter: AdapterVersion, now: float) -> None:
        """Count a request; a miss while slots are free, as after a restart, tells nothing."""
        is_resident = adapter in self.resident or self.free_slots() > 0
        self.frequency.record(adapter, now, is_resident=is_resident)

    def free_slots(self) -> int:
        """Return how many loads fit in without an eviction."""
        return self.slots - len(self.resident) - len(self.loading)

    def victim(
        self, needed: Collection[AdapterVersion], now: float
    ) -> AdapterVersion | None:
        """Return what to evict for a load; None if all is needed."""
        evictable = (adapter for adapter in self.resident if adapter not in needed)
        return choose_victim(evictable, self.frequency, now)

    def begin_load(
        self, adapter: AdapterVersion, victim: AdapterVersion | None, now: float
    ) -> None:
        """Note that `victim` is evicted, if any, and `adapter` loaded in its place."""
        if victim is not None:
            self.resident.pop(victim)
            self.suspects.discard(victim)
            self._evicted[victim] = now
        self.loading.add(adapter)

    def end_load(self, adapter: AdapterVersion, *, is_loaded: bool, now: float) -> None:
        """Note how a load ended."""
        self.loading.discard(adapter)
        if is_loaded:
            self.resident[adapter] = now
            self.suspects.discard(adapter)
            self._failures.pop(adapter, None)
            return
        earlier = self._failures.get(adapter)
        count = earlier.count + 1 if earlier else 1
        pause_s = min(MAX_BACKOFF_S, BACKOFF_S * 2 ** (count - 1))
        self._failures[adapter] = _Failures(count, now + pause_s)

    def backoff_s(self, adapter: AdapterVersion, now: float) -> float:
        """Return for how long the adapter is not loaded here after failures."""
        failures = self._failures.get(adapter)
        return max(0, failures.until - now) if failures else 0

    def apply_report(self, reported: Collection[AdapterVersion], now: float) -> None:
        """Take over an engine's report where no order of late speaks against it."""
        since = now - REPORT_LAG_S
        self._evicted = {
            adapter: evicted_at
            for adapter, evicted_at in self._evicted.items()
            if evicted_at > since
        }
        self.suspects.difference_update(reported)
        for adapter, loaded_at in tuple(self.resident.items()):
            if adapter not in reported and loaded_at <= since:
                self.resident.pop(adapter)
                self.suspects.discard(adapter)
        for adapter in reported:
            if not self.is_held(adapter) and adapter not in self._evicted:
                self.resident[adapter] = float('-inf')
