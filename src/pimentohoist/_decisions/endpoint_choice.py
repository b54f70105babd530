"""To which endpoint a request goes."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from pimentohoist._rendezvous import rank_names

_REMOTE_COST = 1.05
"""Breaks ties in favour of the own failure domain, whose bytes are cheaper."""

_UNKNOWN_LATENCY_S = 0.001
"""An endpoint that has not answered yet is tried soon."""

_CROWDED_SHARE = 0.75
"""Share of an engine's slots above which another engine gets a copy of the adapter."""

_SPREAD = 1.5
"""How much more work than its even part an engine takes before an adapter spreads."""

_LEAST_SPREAD = 6


@dataclass(frozen=True, slots=True)
class Candidate:
    """An endpoint that may take a request.

    Attributes
    ----------
    in_flight : int
        Requests on it, of all daemons.
    cost_factor : float
        At least 1; grows with its failures.
    holds_adapter : bool
        Whether the request's adapter is there.
    free_places : int
        Adapters for which it has room or that could leave for another.
    """

    endpoint_id: str
    slots: int
    in_flight: int
    latency_s: float
    cost_factor: float
    is_near: bool
    holds_adapter: bool = False
    free_places: int = 0

    @property
    def load(self) -> float:
        """Return the share of its slots that is taken, worse if it fails."""
        return (self.in_flight + 1) / max(1, self.slots) * self.cost_factor


def choose_plain(candidates: Sequence[Candidate], jitter: float) -> list[str]:
    """Return the endpoints in the order of the time that a request would take there.

    Parameters
    ----------
    jitter : float
        Random number from 0 to 1, so that daemons that see the same don't all choose the
        same.
    """
    count = len(candidates)
    shift = int(jitter * count)
    turned = [*candidates[shift:], *candidates[:shift]]
    ranked = sorted(turned, key=_expected_cost)
    return [candidate.endpoint_id for candidate in ranked]


def choose_engines(adapter: str, candidates: Sequence[Candidate]) -> list[str]:
    """Return the engines to ask for an adapter, the best first.

    The adapter's engines come from rendezvous hashing, so that an engine sees the same
    adapters again and finds them in its host memory. Engines that hold it come first, the
    least loaded of them before the others, unless all are crowded.
    """
    by_id = {candidate.endpoint_id: candidate for candidate in candidates}
    ranked = [by_id[name] for name in rank_names(adapter, by_id)]
    limit = _crowded_above(candidates)
    holders = sorted(
        (candidate for candidate in ranked if candidate.holds_adapter),
        key=lambda holder: (holder.load, not holder.is_near),
    )
    others = [candidate for candidate in ranked if not candidate.holds_adapter]
    # A home without room would have to wait for a request to end.
    others.sort(key=lambda other: (other.free_places <= 0, other.load > limit))
    calm = [holder for holder in holders if holder.load <= limit]
    crowded = [holder for holder in holders if holder.load > limit]
    ordered = [*calm, *_spread(crowded, others)]
    return [candidate.endpoint_id for candidate in ordered]


def _spread(crowded: list[Candidate], others: list[Candidate]) -> list[Candidate]:
    if not crowded:
        return others
    lightest = min((other.load for other in others), default=float('inf'))
    if others and lightest < crowded[0].load:
        return [*others, *crowded]
    return [*crowded, *others]


def _crowded_above(candidates: Sequence[Candidate]) -> float:
    if not candidates:
        return 0
    mean = sum(candidate.in_flight for candidate in candidates) / len(candidates)
    slots = min(candidate.slots for candidate in candidates)
    even = max(_LEAST_SPREAD, mean * _SPREAD) / max(1, slots)
    return min(_CROWDED_SHARE, even)


def _expected_cost(candidate: Candidate) -> float:
    queue = 1 + candidate.in_flight / max(1, candidate.slots)
    distance = 1 if candidate.is_near else _REMOTE_COST
    latency_s = candidate.latency_s or _UNKNOWN_LATENCY_S
    return queue**2 * latency_s * candidate.cost_factor * distance
