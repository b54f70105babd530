"""Budget of loads from the weight store, shared between workspaces.

The owner of the store's budget gives permits over the whole fleet. The load that ends
most waiting goes first, unless its workspace is too far ahead of its share while others
wait.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass
from functools import partial

from pimentohoist._decisions.load_shares import LoadShares
from pimentohoist.models import AdapterVersion

LOAD_REQUEST_LIFETIME_S = 1.5
"""An endpoint's load requests count for this time after it last sent them."""

PERMIT_LIFETIME_S = 15.0
"""A load counts as ended after this time if its endpoint no longer reports."""

_URGENT_WEIGHT = 4.0
_LATE_URGENT_WEIGHT = 36.0
_LATE_AGE_S = 4.0
"""Mean age from which urgent requests, which have little time, weigh more."""


@dataclass(frozen=True, slots=True)
class LoadRequest:
    """An adapter for which requests at an endpoint wait.

    Attributes
    ----------
    workspace : str
        The one whose request has waited longest.
    waiting_requests, urgent_requests : int
        How many wait, and how many of these are urgent.
    waited_s : float
        Sum of the times for which they have waited.
    """

    adapter: AdapterVersion
    workspace: str
    waiting_requests: int
    urgent_requests: int = 0
    waited_s: float = 0

    @property
    def ended_wait(self) -> float:
        """Waiting that the load would end; grows with the requests and their mean age.

        The square root keeps adapters with one request from waiting until the deadline
        behind popular ones.
        """
        mean_age_s = self.waited_s / max(1, self.waiting_requests)
        urgent_weight = (
            _LATE_URGENT_WEIGHT if mean_age_s >= _LATE_AGE_S else _URGENT_WEIGHT
        )
        weight = self.waiting_requests + (urgent_weight - 1) * self.urgent_requests
        return math.sqrt(weight) * (1 + mean_age_s)


@dataclass(frozen=True, slots=True)
class StoreLimits:
    """Limits of the weight store over the whole fleet."""

    loads_per_s: float
    loads_at_once: int


@dataclass(frozen=True, slots=True)
class _EndpointRequests:
    load_requests: tuple[LoadRequest, ...]
    recorded_at: float


LoadKey = tuple[str, AdapterVersion]


class LoadBudget:
    """The state of the store's budget at its owner.

    Parameters
    ----------
    weight_of : callable
        Returns the weight of a workspace's share, its granted rate.
    grants_from : float
        Before this time nothing is granted, since loads that a former owner granted may
        not have been reported yet.
    """

    def __init__(
        self, weight_of: Callable[[str], float], grants_from: float = 0
    ) -> None:
        self.shares = LoadShares(weight_of)
        self.grants_from = grants_from
        self.open: dict[LoadKey, float] = {}
        self._requests: dict[str, _EndpointRequests] = {}
        self._tokens = float(0)
        self._refilled_at = grants_from

    def update_load_requests(
        self,
        endpoint: str,
        load_requests: Iterable[LoadRequest],
        loading: Iterable[AdapterVersion],
        now: float,
    ) -> None:
        """Replace an endpoint's load requests and the adapters that it is loading."""
        self._requests[endpoint] = _EndpointRequests(tuple(load_requests), now)
        self.open = {
            load_key: expires_at
            for load_key, expires_at in self.open.items()
            if load_key[0] != endpoint
        }
        for adapter in loading:
            self.open[(endpoint, adapter)] = now + PERMIT_LIFETIME_S

    def grant(self, limits: StoreLimits, now: float) -> tuple[str, LoadRequest] | None:
        """Return the next load that may start now, which then counts as open."""
        self._refill(limits, now)
        self._drop_expired(now)
        candidates = tuple(self.candidates())
        self.shares.record_backlogs(
            Counter(load_request.workspace for _, load_request in candidates)
        )
        is_full = len(self.open) >= limits.loads_at_once
        if is_full or self._tokens < 1 or now < self.grants_from or not candidates:
            return None
        within_bounds = self.shares.within_bounds(limits.loads_per_s)
        endpoint, load_request = max(candidates, key=partial(_sort_key, within_bounds))
        self._tokens -= 1
        self.open[(endpoint, load_request.adapter)] = now + PERMIT_LIFETIME_S
        self.shares.record_load(load_request.workspace)
        return endpoint, load_request

    def candidates(self) -> Iterator[tuple[str, LoadRequest]]:
        """Yield all load requests, with their endpoints, that no open load serves."""
        for endpoint, recorded in self._requests.items():
            for load_request in recorded.load_requests:
                if (endpoint, load_request.adapter) not in self.open:
                    yield endpoint, load_request

    def retry_after_s(self, limits: StoreLimits) -> float:
        """Return after how long a grant may be possible again."""
        return max(0, 1 - self._tokens) / limits.loads_per_s

    def _refill(self, limits: StoreLimits, now: float) -> None:
        elapsed_s = max(0, now - self._refilled_at)
        self._refilled_at = max(now, self._refilled_at)
        loads = elapsed_s * limits.loads_per_s
        self._tokens = min(limits.loads_at_once, self._tokens + loads)

    def _drop_expired(self, now: float) -> None:
        self.open = {
            load_key: expires_at
            for load_key, expires_at in self.open.items()
            if expires_at > now
        }
        self._requests = {
            endpoint: recorded
            for endpoint, recorded in self._requests.items()
            if recorded.recorded_at + LOAD_REQUEST_LIFETIME_S > now
        }


def _sort_key(
    within_bounds: frozenset[str], candidate: tuple[str, LoadRequest]
) -> tuple[bool, float, AdapterVersion, str]:
    endpoint, load_request = candidate
    is_within = load_request.workspace in within_bounds
    return (is_within, load_request.ended_wait, load_request.adapter, endpoint)
