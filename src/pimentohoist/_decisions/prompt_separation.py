"""Which engines read long prompts, so that short ones don't wait behind them.

An engine reads the prompts of its requests one after the other. Where one request in forty
has a prompt that takes 0.3 s to read, each tenth short one arrives at an engine that is
reading such a prompt, and gets its first event late. A few engines that get the long prompts
first, and the short ones last, avoid that; their number follows from the time that the fleet's
long prompts take.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass

from pimentohoist._rendezvous import rank_names

_HALF_LIFE_S = 10.0
"""Demand changes within seconds to minutes."""

_MAX_DELAY_SHARE = 0.2
"""A prompt is long if reading it takes up this share of the shortest latency target, which
those behind it miss then together with the load of an adapter."""

_MIN_MEASURED_S = 1.0
"""The sums of the first second or so stand for no rate."""

_MIN_SAMPLE_TOKENS = 1000
"""The time of shorter prompts is mostly that of the first event."""

_MAX_RESERVED_BUSY_SHARE = 0.6
"""Reserved engines are busy with long prompts for this share of the time, so that these
hardly wait for one another."""

_MAX_RESERVED_SHARE = 0.2
"""The short prompts need the adapter slots and request slots of the other engines."""

_MIN_ENGINES = 12
"""In a smaller group one engine is too large a part of all adapter slots."""

_MAX_RESERVED_IN_FLIGHT = 3
"""With more requests on a reserved engine, a long prompt is read earlier at another one."""

_MIN_KEPT = 0.5
"""Demand that falls by less than this many engines changes nothing."""

_RANKING_KEY = 'long prompts'


class PromptReading:
    """Time that engines of one group take to read prompts, as one daemon measures it.

    Attributes
    ----------
    long_s : float
        Decayed sum of the reading times of long prompts, in seconds.
    """

    def __init__(self) -> None:
        self.long_s = float(0)
        self._tokens = float(0)
        self._reading_s = float(0)
        self._recorded_at = -math.inf
        self._began_at: float | None = None

    def is_long(self, prompt_tokens: int, latency_target_s: float) -> bool:
        """Return whether a prompt delays others too long; False until times are known.

        Parameters
        ----------
        latency_target_s : float
            The shortest latency target of the group's routes.
        """
        if not self._tokens:
            return False
        reading_s = prompt_tokens * self._reading_s / self._tokens
        return reading_s > _MAX_DELAY_SHARE * latency_target_s

    def record(
        self, prompt_tokens: int, first_event_s: float, now: float, *, is_long: bool
    ) -> None:
        """Record the time from sending a request to its first event, in seconds."""
        self._decay(now)
        if self._began_at is None:
            self._began_at = now - first_event_s
        if prompt_tokens >= _MIN_SAMPLE_TOKENS:
            self._tokens += prompt_tokens
            self._reading_s += first_event_s
        if is_long:
            self.long_s += first_event_s

    def busy_engines(self, now: float) -> float:
        """Return how many engines the long prompts of this daemon keep busy on average."""
        if self._began_at is None:
            return 0
        self._decay(now)
        measured_s = max(_MIN_MEASURED_S, now - self._began_at)
        # The sums have not reached their level yet if measuring has just begun.
        weight_s = _HALF_LIFE_S / math.log(2) * (1 - 0.5 ** (measured_s / _HALF_LIFE_S))
        return float(self.long_s / weight_s)

    def _decay(self, now: float) -> None:
        factor = 0.5 ** (max(0, now - self._recorded_at) / _HALF_LIFE_S)
        self.long_s *= factor
        self._tokens *= factor
        self._reading_s *= factor
        self._recorded_at = now


@dataclass(slots=True)
class ReservedCount:
    """Number of engines of one group that are reserved for long prompts.

    Attributes
    ----------
    count : int
        The number, which falls only if the demand has clearly fallen.
    """

    count: int = 0

    def update(self, busy_engines: float, engines: int) -> int:
        """Return the number for the load of all daemons and the number of engines.

        Parameters
        ----------
        busy_engines : float
            Engines that the long prompts of all daemons keep busy.
        """
        limit = int(engines * _MAX_RESERVED_SHARE) if engines >= _MIN_ENGINES else 0
        needed = busy_engines / _MAX_RESERVED_BUSY_SHARE
        kept = min(self.count, math.ceil(needed + _MIN_KEPT))
        self.count = min(limit, max(math.ceil(needed), kept))
        return self.count


def is_better_elsewhere(
    *, is_long: bool, is_reserved: bool, requests_in_flight: int
) -> bool:
    """Return whether a prompt is better read at engines of the other kind.

    Parameters
    ----------
    is_long : bool
        Whether the prompt is long.
    is_reserved : bool
        Whether the engine is reserved for long prompts.
    requests_in_flight : int
        Requests on the engine, of all daemons.
    """
    if is_long and is_reserved:
        return requests_in_flight >= _MAX_RESERVED_IN_FLIGHT
    return is_long != is_reserved


def reserved_engines(engine_ids: Iterable[str], count: int) -> frozenset[str]:
    """Return the engines that read long prompts; all daemons choose the same ones."""
    return frozenset(rank_names(_RANKING_KEY, engine_ids)[:count])
