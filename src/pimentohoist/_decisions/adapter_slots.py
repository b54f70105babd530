"""The adapter places of one engine, as the engine's home decides on them."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from enum import StrEnum

from pimentohoist.entry_models import AdapterKey

GRANT_KEPT_S = 0.35
"""An adapter that was granted stays for one beat and its way, until its use is heard of."""

MAX_ON_THEIR_WAY = 4
"""Adapters that an engine fetches at once, as the platform states."""

_LEAVING_S = 3.0
"""A leaving adapter keeps its place so long, and while a request is known to use it."""

_HALF_LIFE_S = 10.0
"""Demand for an adapter changes within seconds to minutes."""

_DEMAND_KEPT_S = 60.0
"""Six half-lives: what is left of a request then is under a fiftieth."""


class AdapterSlotState(StrEnum):
    """What happens at a place."""

    LOADING = 'loading'
    READY = 'ready'
    LEAVING = 'leaving'


@dataclass(slots=True)
class AdapterSlot:
    """An adapter on the engine.

    Attributes
    ----------
    expires_at : float
        It isn't evicted before.
    """

    version: int
    state: AdapterSlotState
    expires_at: float = 0


@dataclass(frozen=True, slots=True)
class SlotLoadPlan:
    """An adapter to load, after `victim` was evicted if there is one."""

    adapter: AdapterKey
    victim: AdapterKey | None


class AdapterSlots:
    """What an engine holds and who uses it.

    Parameters
    ----------
    capacity : int
        Adapters that fit, those on their way included.
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
        """Return how much an adapter was asked for of late."""
        count, recorded_at = self._demand.get(adapter, (0, now))
        return float(count * 0.5 ** ((now - recorded_at) / _HALF_LIFE_S))

    def grant(self, adapter: AdapterKey, version: int, now: float) -> int | None:
        """Keep a ready adapter for a request; return its version, None if not ready."""
        slot = self.slots.get(adapter)
        if slot is None or slot.state is not AdapterSlotState.READY:
            return None
        if slot.version < version:
            return None
        slot.expires_at = now + GRANT_KEPT_S
        return slot.version

    def is_outdated(self, adapter: AdapterKey, version: int) -> bool:
        """Return whether a ready adapter must be replaced by a newer version."""
        slot = self.slots.get(adapter)
        is_ready = slot is not None and slot.state is AdapterSlotState.READY
        return is_ready and self.slots[adapter].version < version

    def is_coming(self, adapter: AdapterKey) -> bool:
        """Return whether an adapter is on its way to the engine."""
        slot = self.slots.get(adapter)
        return slot is not None and slot.state is AdapterSlotState.LOADING

    def needs_order(self, adapter: AdapterKey, version: int) -> bool:
        """Return whether an adapter that has a place must be asked for again."""
        return self.is_outdated(adapter, version) or self.is_coming(adapter)

    def can_load(self, adapter: AdapterKey, now: float, begun: int) -> bool:
        """Return whether there is room for an adapter that isn't there yet.

        Parameters
        ----------
        begun : int
            Loads that were asked for and have no place yet.
        """
        if adapter in self.slots:
            return False
        is_calm = self._on_their_way() + begun < MAX_ON_THEIR_WAY
        return is_calm and self.free_adapter_slots(now) > begun

    def plan(
        self, adapter: AdapterKey, version: int, now: float
    ) -> SlotLoadPlan | None:
        """Return how to bring an adapter to a version now; None if it must wait."""
        slot = self.slots.get(adapter)
        if slot is not None:
            needs_order = self.needs_order(adapter, version)
            return SlotLoadPlan(adapter, None) if needs_order else None
        if self._on_their_way() >= MAX_ON_THEIR_WAY:
            return None
        if len(self.slots) < self.capacity:
            return SlotLoadPlan(adapter, None)
        victim = min(
            self._evictable(now),
            key=lambda held: (self.demand(held, now), str(held)),
            default=None,
        )
        return None if victim is None else SlotLoadPlan(adapter, victim)

    def begin(self, adapter: AdapterKey) -> None:
        """Note that an adapter is on its way."""
        self.slots[adapter] = AdapterSlot(0, AdapterSlotState.LOADING)

    def leave(self, adapter: AdapterKey, now: float) -> None:
        """Note that an adapter leaves when the requests that use it have ended."""
        expires_at = now + _LEAVING_S
        self.slots[adapter] = AdapterSlot(0, AdapterSlotState.LEAVING, expires_at)

    def finish(self, adapter: AdapterKey, version: int, now: float) -> None:
        """Note that a load has ended well."""
        expires_at = now + GRANT_KEPT_S
        self.slots[adapter] = AdapterSlot(version, AdapterSlotState.READY, expires_at)

    def drop(self, adapter: AdapterKey) -> None:
        """Note that an adapter isn't there, nor on its way."""
        self.slots.pop(adapter, None)

    def reconcile(
        self,
        held: Mapping[AdapterKey, int],
        coming: Iterable[AdapterKey],
        now: float,
    ) -> None:
        """Take over what the engine reports instead of what was believed."""
        leaving = {
            adapter: slot
            for adapter, slot in self.slots.items()
            if slot.state is AdapterSlotState.LEAVING and slot.expires_at > now
        }
        self.slots = {
            adapter: AdapterSlot(version, AdapterSlotState.READY, now + GRANT_KEPT_S)
            for adapter, version in held.items()
        }
        # One that leaves takes its place until the last request has ended.
        self.slots.update(leaving)
        for fetched in coming:
            self.slots[fetched] = AdapterSlot(0, AdapterSlotState.LOADING)
        self._demand = {
            adapter: entry
            for adapter, entry in self._demand.items()
            if now - entry[1] < _DEMAND_KEPT_S
        }

    def free_adapter_slots(self, now: float) -> int:
        """Return how many adapters could be loaded without waiting for a request."""
        used = self._used()
        for adapter, slot in tuple(self.slots.items()):
            is_over = slot.expires_at <= now and adapter not in used
            if is_over and slot.state is AdapterSlotState.LEAVING:
                self.slots.pop(adapter)
        free = self.capacity - len(self.slots)
        return max(0, free) + sum(1 for _ in self._evictable(now))

    def _evictable(self, now: float) -> Iterable[AdapterKey]:
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

    def _on_their_way(self) -> int:
        return sum(
            slot.state is AdapterSlotState.LOADING for slot in self.slots.values()
        )
