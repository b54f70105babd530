"""Adapter slots of one engine, and the decisions of the engine's owner on them."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from enum import StrEnum

from pimentohoist.entry_models import AdapterKey

PIN_S = 0.35
"""A granted adapter stays for a heartbeat and its delay, until its use is reported."""

MAX_CONCURRENT_LOADS = 4
"""Adapters that an engine loads at once, as the platform states."""

_LEAVING_SLOT_S = 3.0
"""A leaving adapter keeps its slot this long, and while it is known to be in use."""

_DEMAND_HALF_LIFE_S = 10.0
"""Demand decays by half in this time, as it changes within seconds to minutes."""

_DEMAND_LIFETIME_S = 60.0
"""Six half-lives, after which less than a fiftieth of a request's weight is left."""


class AdapterSlotState(StrEnum):
    """State of an adapter slot."""

    LOADING = 'loading'
    READY = 'ready'
    LEAVING = 'leaving'


@dataclass(slots=True)
class AdapterSlot:
    """An adapter on the engine.

    Attributes
    ----------
    expires_at : float
        Monotonic time in seconds before which the adapter isn't evicted.
    """

    version: int
    state: AdapterSlotState
    expires_at: float = 0


@dataclass(frozen=True, slots=True)
class SlotLoadPlan:
    """An adapter to load, and the victim to evict before, if any."""

    adapter: AdapterKey
    victim: AdapterKey | None


class AdapterSlots:
    """Adapters of an engine, and which of them requests use.

    Parameters
    ----------
    capacity : int
        Adapters that fit, those being loaded included.
    """

    def __init__(self, capacity: int) -> None:
        self.capacity = capacity
        self.slots: dict[AdapterKey, AdapterSlot] = {}
        self.in_use: dict[str, frozenset[AdapterKey]] = {}
        self._demand: dict[AdapterKey, tuple[float, float]] = {}

    def record_demand(self, adapter: AdapterKey, now: float) -> None:
        """Count a request for an adapter."""
        self._demand[adapter] = (self.demand(adapter, now) + 1, now)

    def demand(self, adapter: AdapterKey, now: float) -> float:
        """Return the decayed number of requests for an adapter."""
        count, recorded_at = self._demand.get(adapter, (0, now))
        return float(count * 0.5 ** ((now - recorded_at) / _DEMAND_HALF_LIFE_S))

    def grant(self, adapter: AdapterKey, version: int, now: float) -> int | None:
        """Keep a ready adapter for a request and return its version.

        Returns
        -------
        int or None
            None if the adapter isn't ready in this version or a newer one.
        """
        slot = self.slots.get(adapter)
        if slot is None or slot.state is not AdapterSlotState.READY:
            return None
        if slot.version < version:
            return None
        slot.expires_at = now + PIN_S
        return slot.version

    def is_outdated(self, adapter: AdapterKey, version: int) -> bool:
        """Return whether a ready adapter is older than `version`."""
        slot = self.slots.get(adapter)
        is_ready = slot is not None and slot.state is AdapterSlotState.READY
        return is_ready and self.slots[adapter].version < version

    def is_loading(self, adapter: AdapterKey) -> bool:
        """Return whether an adapter is being loaded."""
        slot = self.slots.get(adapter)
        return slot is not None and slot.state is AdapterSlotState.LOADING

    def needs_load_order(self, adapter: AdapterKey, version: int) -> bool:
        """Return whether an adapter that has a slot must be ordered again."""
        return self.is_outdated(adapter, version) or self.is_loading(adapter)

    def can_load(self, adapter: AdapterKey, now: float, begun: int) -> bool:
        """Return whether the load of an adapter that has no slot can begin.

        Parameters
        ----------
        begun : int
            Requested loads that have no slot yet.
        """
        if adapter in self.slots:
            return False
        can_start = self._loading_count() + begun < MAX_CONCURRENT_LOADS
        return can_start and self.free_adapter_slots(now) > begun

    def plan(
        self, adapter: AdapterKey, version: int, now: float
    ) -> SlotLoadPlan | None:
        """Return the plan to load a version of an adapter; None if it must wait."""
        slot = self.slots.get(adapter)
        if slot is not None:
            needs_load_order = self.needs_load_order(adapter, version)
            return SlotLoadPlan(adapter, None) if needs_load_order else None
        if self._loading_count() >= MAX_CONCURRENT_LOADS:
            return None
        if len(self.slots) < self.capacity:
            return SlotLoadPlan(adapter, None)
        victim = min(
            self.evictable(now),
            key=lambda held: (self.demand(held, now), str(held)),
            default=None,
        )
        return None if victim is None else SlotLoadPlan(adapter, victim)

    def begin(self, adapter: AdapterKey) -> None:
        """Record that an adapter is being loaded."""
        self.slots[adapter] = AdapterSlot(0, AdapterSlotState.LOADING)

    def leave(self, adapter: AdapterKey, now: float) -> None:
        """Record that an adapter leaves once the requests that use it have ended."""
        expires_at = now + _LEAVING_SLOT_S
        self.slots[adapter] = AdapterSlot(0, AdapterSlotState.LEAVING, expires_at)

    def finish(self, adapter: AdapterKey, version: int, now: float) -> None:
        """Record that an adapter was loaded."""
        expires_at = now + PIN_S
        self.slots[adapter] = AdapterSlot(version, AdapterSlotState.READY, expires_at)

    def drop(self, adapter: AdapterKey) -> None:
        """Record that an adapter is neither loaded nor being loaded."""
        self.slots.pop(adapter, None)

    def reconcile(
        self,
        held: Mapping[AdapterKey, int],
        coming: Iterable[AdapterKey],
        now: float,
    ) -> None:
        """Replace the recorded slots by those that the engine reports."""
        leaving = {
            adapter: slot
            for adapter, slot in self.slots.items()
            if slot.state is AdapterSlotState.LEAVING and slot.expires_at > now
        }
        self.slots = {
            adapter: AdapterSlot(version, AdapterSlotState.READY, now + PIN_S)
            for adapter, version in held.items()
        }
        # A leaving adapter takes up its slot until the last request has ended.
        self.slots.update(leaving)
        for fetched in coming:
            self.slots[fetched] = AdapterSlot(0, AdapterSlotState.LOADING)
        self._demand = {
            adapter: entry
            for adapter, entry in self._demand.items()
            if now - entry[1] < _DEMAND_LIFETIME_S
        }

    def free_adapter_slots(self, now: float) -> int:
        """Return how many adapters could be loaded without waiting for a request."""
        used = self._used()
        for adapter, slot in tuple(self.slots.items()):
            has_expired = slot.expires_at <= now and adapter not in used
            if has_expired and slot.state is AdapterSlotState.LEAVING:
                self.slots.pop(adapter)
        free = self.capacity - len(self.slots)
        return max(0, free) + sum(1 for _ in self.evictable(now))

    def evictable(self, now: float) -> Iterable[AdapterKey]:
        """Return the ready adapters that are neither pinned nor in use."""
        used = self._used()
        return (
            adapter
            for adapter, slot in self.slots.items()
            if slot.state is AdapterSlotState.READY
            and slot.expires_at <= now
            and adapter not in used
        )

    def _used(self) -> frozenset[AdapterKey]:
        return frozenset().union(*self.in_use.values())

    def _loading_count(self) -> int:
        return sum(
            slot.state is AdapterSlotState.LOADING for slot in self.slots.values()
        )
