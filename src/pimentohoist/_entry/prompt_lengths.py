"""Long and short prompts of each endpoint group, and the engines that are kept apart."""

from __future__ import annotations

import threading
from collections import defaultdict
from collections.abc import Iterable, Mapping

from pimentohoist import _clock
from pimentohoist._decisions.prompt_separation import (
    PromptReading,
    ReservedCount,
    reserved_engines,
)
from pimentohoist._entry.members import MembersController
from pimentohoist._entry.request_context import RequestContext

_MIN_ANNOUNCED = 0.001
_DIGITS = 3


class PromptLengths:
    """Tells which engines read long prompts, from what all daemons measure.

    Parameters
    ----------
    members : MembersController
        Brings the measurements of the other daemons.
    """

    def __init__(self, members: MembersController) -> None:
        self.members = members
        self._readings: defaultdict[str, PromptReading] = defaultdict(PromptReading)
        self._counts: defaultdict[str, ReservedCount] = defaultdict(ReservedCount)
        self._lock = threading.Lock()

    def is_long(self, context: RequestContext) -> bool:
        """Return whether requests behind the request's prompt would wait for long."""
        group = context.group.name
        with self._lock:
            return self._readings[group].is_long(
                context.request.prompt_tokens,
                context.declaration.shortest_latency_targets_s[group],
            )

    def record_first_event(self, context: RequestContext, first_event_s: float) -> None:
        """Record how long after it was sent a request's first event came, in seconds."""
        is_long = self.is_long(context)
        with self._lock:
            self._readings[context.group.name].record(
                context.request.prompt_tokens,
                first_event_s,
                _clock.now(),
                is_long=is_long,
            )

    def reserved(self, group: str, engine_ids: Iterable[str]) -> frozenset[str]:
        """Return the engines of a group that get long prompts first and others last."""
        ids = tuple(engine_ids)
        busy_engines = self.announced().get(group, 0) + sum(
            heartbeat.long_prompts.get(group, 0) for heartbeat in self.members.live()
        )
        with self._lock:
            count = self._counts[group].update(busy_engines, len(ids))
        return reserved_engines(ids, count)

    def announced(self) -> Mapping[str, float]:
        """Return how many engines this daemon's long prompts keep busy, by group."""
        now = _clock.now()
        with self._lock:
            busy = {
                group: round(reading.busy_engines(now), _DIGITS)
                for group, reading in self._readings.items()
            }
        return {group: count for group, count in busy.items() if count > _MIN_ANNOUNCED}

    def reserved_count(self) -> int:
        """Return how many engines are reserved in all groups."""
        with self._lock:
            return sum(counted.count for counted in self._counts.values())
