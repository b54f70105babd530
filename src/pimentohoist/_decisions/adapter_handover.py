"""Which adapters of an engine that leaves are loaded elsewhere, and where."""

from __future__ import annotations

from collections.abc import Mapping, Sequence

from pimentohoist._decisions.adapter_slots import (
    MAX_CONCURRENT_LOADS,
    AdapterSlots,
    AdapterSlotState,
)
from pimentohoist._decisions.endpoint_choice import Candidate, choose_engines
from pimentohoist.entry_models import AdapterKey

_MIN_POPULAR_DEMAND = 0.5
"""Demand of an adapter that was requested once, a half-life ago."""


def popular_adapters(adapter_slots: AdapterSlots, now: float) -> list[AdapterKey]:
    """Return the ready adapters that were requested lately, most popular first."""
    popular = (
        adapter
        for adapter, slot in adapter_slots.slots.items()
        if slot.state is AdapterSlotState.READY
        and _is_popular(adapter_slots, adapter, now)
    )
    return sorted(
        popular, key=lambda held: (-adapter_slots.demand(held, now), str(held))
    )


def unpopular_slot_count(adapter_slots: AdapterSlots, now: float) -> int:
    """Return how many adapters could be loaded without evicting a popular one."""
    popular_count = sum(
        _is_popular(adapter_slots, held, now) for held in adapter_slots.evictable(now)
    )
    return adapter_slots.free_adapter_slots(now) - popular_count


def choose_new_holder(
    adapter: str, candidates: Sequence[Candidate], requested: Mapping[str, int]
) -> str | None:
    """Return the engine that loads an adapter of an engine that leaves.

    It is the one to which the next request for the adapter would go.

    Parameters
    ----------
    requested : mapping of str to int
        Loads that were requested of each engine since its state was reported.

    Returns
    -------
    str or None
        None if another engine has the adapter, or no engine can begin a load.
    """
    if any(candidate.has_adapter for candidate in candidates):
        return None
    ready = [
        candidate
        for candidate in candidates
        if requested.get(candidate.endpoint_id, 0) < _max_loads(candidate)
    ]
    return next(iter(choose_engines(adapter, ready)), None)


def _max_loads(candidate: Candidate) -> int:
    return min(MAX_CONCURRENT_LOADS, candidate.free_adapter_slots)


def _is_popular(adapter_slots: AdapterSlots, adapter: AdapterKey, now: float) -> bool:
    return adapter_slots.demand(adapter, now) >= _MIN_POPULAR_DEMAND
