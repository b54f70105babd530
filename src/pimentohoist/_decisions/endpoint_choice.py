"""Choice of the endpoint for a request."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from pimentohoist._rendezvous import rank_names

_REMOTE_COST_FACTOR = 1.05
"""Breaks ties in favour of the own failure domain, whose traffic is cheaper."""

_COLD_COST_FACTOR = 6
"""A cold endpoint, of which no latency is known yet, is used once the warm ones have queues."""

_UNKNOWN_LATENCY_SHARE = 0.5
"""Share of the least known latency that is assumed of an endpoint that has not answered
yet, so that it is tried soon."""

_MAX_PREFERRED_LOAD = 0.6
"""Load above which another engine gets a copy; up to it batches hardly slow down."""

_FAILING_COST_FACTOR = 2.5
"""Cost factor of an endpoint of whose last responses about one in five failed."""


@dataclass(frozen=True, slots=True)
class Candidate:
    """An endpoint that may take a request.

    Attributes
    ----------
    in_flight : int
        Requests on the endpoint, of all daemons.
    cost_factor : float
        At least 1; grows with the endpoint's failures.
    has_adapter : bool
        Whether the request's adapter is loaded there.
    free_adapter_slots : int
        Adapter slots that are free or hold an evictable adapter.
    is_limited : bool
        Whether it limits the requests of all daemons.
    is_better_elsewhere : bool
        Whether prompts of this length are read at other engines first.
    is_cold : bool
        Whether it has just started and serves few requests yet.
    """

    endpoint_id: str
    slots: int
    in_flight: int
    latency_s: float
    cost_factor: float
    is_in_own_domain: bool
    has_adapter: bool = False
    free_adapter_slots: int = 0
    is_limited: bool = False
    is_better_elsewhere: bool = False
    is_cold: bool = False

    @property
    def load(self) -> float:
        """Return the share of slots in use with this request, times `cost_factor`."""
        return (self.in_flight + 1) / max(1, self.slots) * self.cost_factor


def rank_services(candidates: Sequence[Candidate], jitter: float) -> list[str]:
    """Return the endpoints by the expected cost of a request, the lowest first.

    Parameters
    ----------
    jitter : float
        Random number from 0 to 1, so that daemons in the same state don't all choose
        the same endpoint.
    """
    count = len(candidates)
    offset = int(jitter * count)
    rotated = [*candidates[offset:], *candidates[:offset]]
    known = (candidate.latency_s for candidate in candidates if candidate.latency_s)
    assumed_s = min(known, default=1) * _UNKNOWN_LATENCY_SHARE
    ranked = sorted(rotated, key=lambda entry: _expected_cost(entry, assumed_s))
    return [candidate.endpoint_id for candidate in ranked]


def choose_engines(adapter: str, candidates: Sequence[Candidate]) -> list[str]:
    """Return the engines to ask for an adapter, the best first.

    The order comes from rendezvous hashing, so that an engine gets the same adapters
    again and finds them in its host memory. Of the engines that hold the adapter the
    first that isn't overloaded is used: further copies stay unused until their adapter
    slots are needed, since adapter slots are scarcer than request slots.
    """
    by_id = {candidate.endpoint_id: candidate for candidate in candidates}
    ranked = [by_id[name] for name in rank_names(adapter, by_id)]
    ordered = sorted(ranked, key=_drawbacks)
    return [candidate.endpoint_id for candidate in ordered]


def _drawbacks(candidate: Candidate) -> tuple[int, ...]:
    """Return the reasons to prefer other engines, the most serious first."""
    is_failing = candidate.cost_factor > _FAILING_COST_FACTOR
    is_overloaded = candidate.load > _MAX_PREFERRED_LOAD
    # An owner without a free adapter slot would have to wait for a request to end.
    has_no_free_slot = not candidate.has_adapter and candidate.free_adapter_slots <= 0
    # Its few requests are for the adapters that it has.
    is_reserved = candidate.is_limited and not candidate.has_adapter
    drawbacks = [
        is_failing,
        is_reserved,
        is_overloaded,
        # The requests that it takes are kept for those that no warm engine has room for.
        candidate.is_cold,
        candidate.is_better_elsewhere,
    ]
    return (*drawbacks, (not candidate.has_adapter) + has_no_free_slot)


def _expected_cost(candidate: Candidate, assumed_latency_s: float) -> float:
    queue_factor = 1 + candidate.in_flight / max(1, candidate.slots)
    domain_factor = 1 if candidate.is_in_own_domain else _REMOTE_COST_FACTOR
    latency_s = candidate.latency_s or assumed_latency_s
    cold_factor = _COLD_COST_FACTOR if candidate.is_cold else 1
    cost = queue_factor**2 * latency_s * candidate.cost_factor
    return cost * domain_factor * cold_factor
