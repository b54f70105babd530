"""To which endpoint a request goes."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from pimentohoist._rendezvous import rank_names

_REMOTE_COST = 1.05
"""Breaks ties in favour of the own failure domain, whose bytes are cheaper."""

_UNKNOWN_LATENCY_S = 0.001
"""An endpoint that has not answered yet is tried soon."""

_CROWDED_LOAD = 0.6
"""Load above which another engine gets a copy: batches slow down little before."""

_FAILING_COST = 2.5
"""About one in five of its last answers has failed."""


@dataclass(frozen=True, slots=True)
class Candidate:
    """An endpoint that may take a request.

    Attributes
    ----------
    in_flight : int
        Requests on it, of all daemons.
    cost_factor : float
        At least 1; grows with its failures.
    has_adapter : bool
        Whether the request's adapter is there.
    free_adapter_slots : int
        Adapters for which it has room or that could leave for another.
    """

    endpoint_id: str
    slots: int
    in_flight: int
    latency_s: float
    cost_factor: float
    is_near: bool
    has_adapter: bool = False
    free_adapter_slots: int = 0

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

    The order comes from rendezvous hashing, so that an engine sees the same adapters
    again and finds them in its host memory. Of the engines that hold the adapter the
    first that isn't crowded is used: further copies are left alone until their places
    are needed, since places are scarcer than slots.
    """
    by_id = {candidate.endpoint_id: candidate for candidate in candidates}
    ranked = [by_id[name] for name in rank_names(adapter, by_id)]
    ordered = sorted(ranked, key=_preference)
    return [candidate.endpoint_id for candidate in ordered]


def _preference(candidate: Candidate) -> tuple[bool, bool, bool, bool]:
    """Return what puts an engine behind others, the gravest first."""
    is_failing = candidate.cost_factor > _FAILING_COST
    is_crowded = candidate.load > _CROWDED_LOAD
    # A home without room would have to wait for a request to end.
    has_no_room = not candidate.has_adapter and candidate.free_adapter_slots <= 0
    return (is_failing, is_crowded, not candidate.has_adapter, has_no_room)


def _expected_cost(candidate: Candidate) -> float:
    queue = 1 + candidate.in_flight / max(1, candidate.slots)
    distance = 1 if candidate.is_near else _REMOTE_COST
    latency_s = candidate.latency_s or _UNKNOWN_LATENCY_S
    return queue**2 * latency_s * candidate.cost_factor * distance
