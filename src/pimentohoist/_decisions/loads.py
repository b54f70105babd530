"""Loads from the weight store over the whole fleet, shared between workspaces.

The home of the store's budget gives permits. The load that frees most waiting goes first,
but not for a workspace that is too far ahead of its share while others wait.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass
from functools import partial

from pimentohoist._decisions.load_shares import LoadShares
from pimentohoist.models import AdapterVersion

ASK_LIFE_S = 1.5
"""Time for which an endpoint's wishes count after it last asked."""

GRANT_LIFE_S = 15.0
"""Time after which a load of an endpoint that no longer reports counts as ended."""

_URGENT_WEIGHT = 4.0
_LATE_URGENT_WEIGHT = 36.0
_LATE_S = 4.0
"""Age from which on urgent requests, which have little time, weigh more."""


@dataclass(frozen=True, slots=True)
class LoadRequest:
    """An adapter that requests at an endpoint wait for.

    Attributes
    ----------
    workspace : str
        The one that has waited longest for it.
    waiting_requests, urgent_requests : int
        How many wait, and how many of them are urgent.
    waited_s : float
        Sum of the times that they have waited.
    """

    adapter: AdapterVersion
    workspace: str
    waiting_requests: int
    urgent_requests: int = 0
    waited_s: float = 0

    @property
    def freed_work(self) -> float:
        """Waiting that the load would end; grows with requests and with their age.

        The root keeps adapters with one request from waiting until their deadline behind
        popular ones.
        """
        mean_age_s = self.waited_s / max(1, self.waiting_requests)
        urgent_weight = _LATE_URGENT_WEIGHT if mean_age_s >= _LATE_S else _URGENT_WEIGHT
        weight = self.waiting_requests + (urgent_weight - 1) * self.urgent_requests
        return math.sqrt(weight) * (1 + mean_age_s)


@dataclass(frozen=True, slots=True)
class StoreLimits:
    """What the weight store allows over the whole fleet."""

    loads_per_s: float
    loads_at_once: int


@dataclass(frozen=True, slots=True)
class _Asked:
    load_requests: tuple[LoadRequest, ...]
    asked_at: float


LoadKey = tuple[str, AdapterVersion]


class LoadBudget:
    """The state of the store's budget at its home.

    Parameters
    ----------
    weight_of : callable
        Returns the weight of a workspace's share, its granted rate.
    silent_until : float
        Before this time nothing is granted, since loads that a former home has granted
        may not have been reported yet.
    """

    def __init__(
        self, weight_of: Callable[[str], float], silent_until: float = 0
    ) -> None:
        self.shares = LoadShares(weight_of)
        self.silent_until = silent_until
        self.open: dict[LoadKey, float] = {}
        self._asked: dict[str, _Asked] = {}
        self._tokens = float(0)
        self._counted_at = silent_until

    def ask(
        self,
        endpoint: str,
        load_requests: Iterable[LoadRequest],
        loading: Iterable[AdapterVersion],
        now: float,
    ) -> None:
        """Replace what an endpoint wishes for and what it is loading."""
        self._asked[endpoint] = _Asked(tuple(load_requests), now)
        self.open = {
            place: lapses_at
            for place, lapses_at in self.open.items()
            if place[0] != endpoint
        }
        for adapter in loading:
            self.open[(endpoint, adapter)] = now + GRANT_LIFE_S

    def grant(self, limits: StoreLimits, now: float) -> tuple[str, LoadRequest] | None:
        """Return the next load that may start now; it counts as open from then on."""
        self._accrue(limits, now)
        self._drop_lapsed(now)
        candidates = tuple(self.candidates())
        self.shares.record_backlogs(
            Counter(load_request.workspace for _, load_request in candidates)
        )
        is_full = len(self.open) >= limits.loads_at_once
        if is_full or self._tokens < 1 or now < self.silent_until or not candidates:
            return None
        within_bounds = self.shares.within_bounds(limits.loads_per_s)
        endpoint, load_request = max(candidates, key=partial(_rank, within_bounds))
        self._tokens -= 1
        self.open[(endpoint, load_request.adapter)] = now + GRANT_LIFE_S
        self.shares.record_load(load_request.workspace)
        return endpoint, load_request

    def candidates(self) -> Iterator[tuple[str, LoadRequest]]:
        """Yield all wishes that no open load serves."""
        for endpoint, asked in self._asked.items():
            for load_request in asked.load_requests:
                if (endpoint, load_request.adapter) not in self.open:
                    yield endpoint, load_request

    def retry_after_s(self, limits: StoreLimits) -> float:
        """Return after how long a grant may be possible again."""
        return max(0, 1 - self._tokens) / limits.loads_per_s

    def _accrue(self, limits: StoreLimits, now: float) -> None:
        elapsed_s = max(0, now - self._counted_at)
        self._counted_at = max(now, self._counted_at)
        loads = elapsed_s * limits.loads_per_s
        self._tokens = min(limits.loads_at_once, self._tokens + loads)

    def _drop_lapsed(self, now: float) -> None:
        self.open = {
            place: lapses_at
            for place, lapses_at in self.open.items()
            if lapses_at > now
        }
        self._asked = {
            endpoint: asked
            for endpoint, asked in self._asked.items()
            if asked.asked_at + ASK_LIFE_S > now
        }


def _rank(
    within_bounds: frozenset[str], candidate: tuple[str, LoadRequest]
) -> tuple[bool, float, AdapterVersion, str]:
    endpoint, load_request = candidate
    is_within = load_request.workspace in within_bounds
    return (is_within, load_request.freed_work, load_request.adapter, endpoint)
