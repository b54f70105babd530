"""Choice of the adapter that an engine evicts, and of the endpoints for a request."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from pimentohoist._decisions.popularity import PopularityClock
from pimentohoist.models import AdapterVersion

FREQUENCY_HALF_LIFE_S = 900.0
"""The weight of a past request halves in this time."""

_MIN_FREQUENCY = 0.01
_MIN_PRUNE_SIZE = 4096
COPY_LIFETIME_S = 5.0
"""An entry daemon uses one copy less after this time without a busy copy."""


class DecayedFrequency:
    """Request counts by adapter, which halve in every `FREQUENCY_HALF_LIFE_S`.

    While popularity shifts, past requests lose their weight faster.
    """

    def __init__(self) -> None:
        self._clock = PopularityClock()
        self._counts: dict[AdapterVersion, tuple[float, float]] = {}
        self._prune_at = _MIN_PRUNE_SIZE

    def record(
        self, adapter: AdapterVersion, now: float, *, is_resident: bool = True
    ) -> None:
        """Count one request for an adapter, and whether the adapter was resident."""
        self._clock.record(now, is_hit=is_resident)
        recorded_at = self._clock.at(now)
        self._counts[adapter] = (self.of(adapter, now) + 1, recorded_at)
        if len(self._counts) > self._prune_at:
            self._prune(now)

    def of(self, adapter: AdapterVersion, now: float) -> float:
        """Return the frequency of an adapter."""
        clock_time = self._clock.at(now)
        count, recorded_at = self._counts.get(adapter, (float(0), clock_time))
        return float(
            count * 0.5 ** ((clock_time - recorded_at) / FREQUENCY_HALF_LIFE_S)
        )

    def _prune(self, now: float) -> None:
        self._counts = {
            adapter: entry
            for adapter, entry in self._counts.items()
            if self.of(adapter, now) > _MIN_FREQUENCY
        }
        self._prune_at = max(_MIN_PRUNE_SIZE, 2 * len(self._counts))


def choose_victim(
    evictable: Iterable[AdapterVersion], frequency: DecayedFrequency, now: float
) -> AdapterVersion | None:
    """Return the adapter with the least frequency; None if none is evictable."""
    return min(
        evictable,
        key=lambda adapter: (frequency.of(adapter, now), adapter),
        default=None,
    )


@dataclass(frozen=True, slots=True)
class _CopyCount:
    copies: int
    recorded_at: float


class CopyTable:
    """Numbers of copies of adapters that have more than one, at an entry daemon.

    Owners report that a copy is busy; the entry daemon then spreads the adapter over
    one endpoint more, and over one less for every `COPY_LIFETIME_S` without a report.
    """

    def __init__(self) -> None:
        self._copy_counts: dict[AdapterVersion, _CopyCount] = {}

    def copies(self, adapter: AdapterVersion, now: float) -> int:
        """Return over how many endpoints the adapter's requests are spread."""
        recorded = self._copy_counts.get(adapter)
        if recorded is None:
            return 1
        expired_copies = int((now - recorded.recorded_at) / COPY_LIFETIME_S)
        if recorded.copies - expired_copies > 1:
            return recorded.copies - expired_copies
        self._copy_counts.pop(adapter)
        return 1

    def record_busy(self, adapter: AdapterVersion, rank: int, now: float) -> None:
        """Record that the copy at position `rank` (from 1) of the ranking was busy."""
        copies = max(rank + 1, self.copies(adapter, now))
        self._copy_counts[adapter] = _CopyCount(copies, now)


def order_endpoints(
    ranked: list[str], copies: int, in_flight: dict[str, int]
) -> list[str]:
    """Return the endpoints in the order in which to ask them, least used copy first."""
    copies_by_use = sorted(ranked[:copies], key=lambda name: in_flight.get(name, 0))
    return copies_by_use + ranked[copies:]
