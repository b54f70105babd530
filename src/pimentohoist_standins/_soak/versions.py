"""Which configurations may be in force, and what each of them allows."""

from __future__ import annotations

import math
from collections.abc import Iterator
from dataclasses import dataclass

from pimentohoist_standins._soak.history import History, is_success
from pimentohoist_standins._soak.records import (
    CallerRecord,
    ConfigurationRecord,
    Observations,
    RunRecord,
)

_REFUSED_KEY = frozenset((401, 403))
_NO_ROUTE = 404


@dataclass(frozen=True, slots=True)
class Handling:
    """How a request was dealt with; None for what wasn't seen, status 0 if served."""

    route: str
    key: str
    group: str | None = None
    workspace: str | None = None
    status: int = 0

    def fits(self, configuration: ConfigurationRecord) -> bool:
        """Return whether a configuration allows it."""
        is_key_known = not self.key or self.key in configuration.keys
        if self.status in _REFUSED_KEY:
            return not self.key or not is_key_known
        if self.status == _NO_ROUTE:
            return self.route not in configuration.routes
        is_place_allowed = self.fits_group(configuration)
        return is_key_known and is_place_allowed and self.fits_workspace(configuration)

    def fits_group(self, configuration: ConfigurationRecord) -> bool:
        """Return whether the route exists and leads to the group, if that is known."""
        group = configuration.groups.get(self.route, self.group)
        return self.route in configuration.routes and self.group in {None, group}

    def fits_workspace(self, configuration: ConfigurationRecord) -> bool:
        """Return whether the workspace holds the key, or is empty without a key."""
        workspace = configuration.keys.get(self.key) if self.key else ''
        return self.workspace is None or self.workspace == workspace


class Versions:
    """The valid configurations of one run."""

    def __init__(self, observations: Observations) -> None:
        self.bound_s = observations.bounds.configuration_s
        self.configurations = sorted(
            (one for one in observations.configurations if one.is_valid),
            key=lambda one: one.version,
        )

    def sent_before(self, at: float) -> list[ConfigurationRecord]:
        """Return the configurations that were sent before a moment."""
        return [one for one in self.configurations if one.sent_at <= at]

    def in_force(self, sent_at: float, ended_at: float) -> list[ConfigurationRecord]:
        """Return the configurations by which a request may have been handled.

        Empty unless one was acknowledged long enough before the request.
        """
        binding = [
            one.version
            for one in self.configurations
            if one.acknowledged_at is not None
            and one.acknowledged_at + self.bound_s < sent_at
        ]
        newest = max(binding, default=math.inf)
        return [one for one in self.sent_before(ended_at) if one.version >= newest]


def handling_of_run(caller: CallerRecord, run: RunRecord) -> Handling:
    """Return what an endpoint saw of a request."""
    return Handling(caller.route, caller.key, run.group, run.workspace)


def handlings(history: History, caller: CallerRecord) -> Iterator[Handling]:
    """Yield how endpoints and the caller saw a request handled."""
    for run in history.runs(caller):
        yield handling_of_run(caller, run)
    is_own_refusal = caller.status in _REFUSED_KEY or caller.status == _NO_ROUTE
    if is_own_refusal and not caller.has_seal:
        yield Handling(caller.route, caller.key, status=caller.status)
    elif is_success(caller.status):
        yield Handling(caller.route, caller.key)
