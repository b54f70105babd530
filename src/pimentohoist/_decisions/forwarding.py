"""Choice of the daemon to which a request is forwarded."""

from __future__ import annotations

import random
from collections.abc import Collection, Sequence
from dataclasses import dataclass

_COMPARED = 2
"""Daemons drawn at random, of which the less busy one is chosen: many daemons that lost
their links with the same view of the others don't all choose the same one."""

MAX_UNREACHED = 2
"""Endpoints that a request finds unreachable before it is forwarded."""


@dataclass(frozen=True, slots=True)
class Forwarder:
    """A daemon that could send a request on.

    Attributes
    ----------
    in_flight : int
        Its requests in flight, those that this daemon forwards to it included.
    is_version_behind : bool
        Whether it has an older configuration than this daemon.
    """

    member: str
    in_flight: int
    is_version_behind: bool = False


def choose_forwarder(forwarders: Sequence[Forwarder]) -> str | None:
    """Return the daemon to forward a request to; None without any."""
    current = [entry for entry in forwarders if not entry.is_version_behind]
    eligible = current or list(forwarders)
    if not eligible:
        return None
    compared = random.sample(eligible, min(_COMPARED, len(eligible)))
    return min(compared, key=lambda entry: entry.in_flight).member


def reaches_any(endpoint_ids: Collection[str], lost_ids: Collection[str]) -> bool:
    """Return whether a daemon that has lost some endpoints reaches one of these."""
    return not set(endpoint_ids).issubset(lost_ids)


def granted_executions(executions_left: int) -> int:
    """Return how many executions a forwarded request may take.

    One is kept back, if there are two, for the case that the other daemon is lost.
    """
    return max(1, executions_left - 1)
