"""Which adapter an engine gives up, and to which engines a request goes."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from pimentohoist._decisions.popularity import PopularityClock
from pimentohoist.models import AdapterVersion

HALF_LIFE_S = 900.0
"""Time in which the weight of a past request halves."""

_MIN_FREQUENCY = 0.01
_MIN_PRUNED = 4096
COPY_MEMORY_S = 5.0
"""Time after which an entry daemon tries with one copy less."""


class DecayedFrequency:
    """Requests by adapter, each weighing half after every `HALF_LIFE_S`.

    While popularity shifts, the past is forgotten faster.
    """

    def __init__(self) -> None:
        self._clock = PopularityClock()
        self._counts: dict[AdapterVersion, tuple[float, float]] = {}
        self._prune_at = _MIN_PRUNED

    def record(
        self, adapter: AdapterVersion, now: float, *, is_resident: bool = True
    ) -> None:
        """Count one request for an adapter that is resident or not."""
        self._clock.record(now, is_hit=is_resident)
        recorded_at = self._clock.at(now)
        self._counts[adapter] = (self.of(adapter, now) + 1, recorded_at)
        if len(self._counts) > self._prune_at:
            self._prune(now)

    def of(self, adapter: AdapterVersion, now: float) -> float:
        """Return the frequency of an adapter."""
        time = self._clock.at(now)
        count, recorded_at = self._counts.get(adapter, (float(0), time))
        return float(count * 0.5 ** ((time - recorded_at) / HALF_LIFE_S))

    def _prune(self, now: float) -> None:
        self._counts = {
            adapter: entry
            for adapter, entry in self._counts.items()
            if self.of(adapter, now) > _MIN_FREQUENCY
        }
        self._prune_at = max(_MIN_PRUNED, 2 * len(self._counts))


def choose_victim(
    evictable: Iterable[AdapterVersion], frequency: DecayedFrequency, now: float
) -> AdapterVersion | None:
    """Return the adapter that is worth least; None if there is none to evict."""
    return min(
        evictable,
        key=lambda adapter: (frequency.of(adapter, now), adapter),
        default=None,
    )


@dataclass(frozen=True, slots=True)
class _Spread:
    copies: int
    recorded_at: float


class CopyTable:
    """What an entry daemon knows of adapters with more than one copy.

    Homes tell when a copy is busy; an entry daemon then spreads the adapter over one
    endpoint more, and over one less for every `COPY_MEMORY_S` without such word.
    """

    def __init__(self) -> None:
        self._spreads: dict[AdapterVersion, _Spread] = {}

    def copies(self, adapter: AdapterVersion, now: float) -> int:
        """Return over how many endpoints to spread the adapter's requests."""
        spread = self._spreads.get(adapter)
        if spread is None:
            return 1
        lapsed = int((now - spread.recorded_at) / COPY_MEMORY_S)
        if spread.copies - lapsed > 1:
            return spread.copies - lapsed
        self._spreads.pop(adapter)
        return 1

    def record_busy(self, adapter: AdapterVersion, asked: int, now: float) -> None:
        """Note that the copy at place `asked` (from 1) of the ranking was busy."""
        copies = max(asked + 1, self.copies(adapter, now))
        self._spreads[adapter] = _Spread(copies, now)


def order_endpoints(
    ranked: list[str], copies: int, in_flight: dict[str, int]
) -> list[str]:
    """Return the endpoints to ask in order: the least used of the copies first."""
    spread = sorted(ranked[:copies], key=lambda name: in_flight.get(name, 0))
    return spread + ranked[copies:]
