"""The state of a request while it is processed, and the response to it."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import Protocol

from pimentohoist._decisions.homes import Homes, request_homes
from pimentohoist._entry.response_head import Framing
from pimentohoist._entry.request_monitor import MonitoredRequest
from pimentohoist.entry_models import (
    EntryRequest,
    Declaration,
    EndpointGroup,
    Route,
    Workspace,
)
from pimentohoist.exceptions import PimentohoistError


_MAX_PRIORITY = 9

RESERVED_STATUSES = frozenset(
    (
        HTTPStatus.REQUEST_TIMEOUT,
        HTTPStatus.MISDIRECTED_REQUEST,
        HTTPStatus.TOO_MANY_REQUESTS,
        HTTPStatus.SERVICE_UNAVAILABLE,
    )
)
"""Statuses that promise the caller that its request has not been executed."""


@dataclass(frozen=True, slots=True)
class EntryResponse:
    """A response to the caller.

    Attributes
    ----------
    length : int or None
        Size of the body in bytes; None if it isn't known in advance.
    """

    status: int
    reason: str
    headers: list[tuple[str, str]]
    parts: Iterable[bytes]
    length: int | None


@dataclass(slots=True)
class RequestContext:
    """A request and what the filters and the attempts have added to it.

    Attributes
    ----------
    tried_endpoints : list of str
        Ids of the endpoints to which it was sent, in order.
    executions : int
        Attempts that may have run it.
    unreached : int
        Endpoints to which no connection could be opened for it.
    failure : PimentohoistError or None
        Error of the last failed attempt.
    framing : Framing or None
        What tells the end of the last response of an endpoint; None if none came.
    stream_version : str or None
        Software version of the engine that began its stream; None before the first event.
    is_probe : bool
        Whether it runs to find out if a part of its prompt still crashes engines.
    cleanups : list of callable
        Called when an attempt has ended.
    """

    request: EntryRequest
    monitored: MonitoredRequest
    declaration: Declaration
    route: Route
    group: EndpointGroup
    workspace: Workspace | None = None
    charged_tokens: float = 0
    tried_endpoints: list[str] = field(default_factory=list)
    executions: int = 0
    unreached: int = 0
    failure: PimentohoistError | None = None
    framing: Framing | None = None
    stream_version: str | None = None
    is_probe: bool = False
    cleanups: list[Callable[[], None]] = field(default_factory=list)

    @property
    def max_executions(self) -> int:
        """Return how many endpoints may execute it."""
        origin = self.request.origin
        return self.route.max_executions if origin is None else origin.max_executions

    @property
    def priority(self) -> int:
        """Return the priority of its workspace or, if that has none, of its route."""
        workspace = self.workspace
        if workspace is None or workspace.priority is None:
            return min(_MAX_PRIORITY, self.route.priority)
        return min(_MAX_PRIORITY, workspace.priority)

    @property
    def homes(self) -> Homes:
        """Return the regions in which it may be executed; None for all."""
        workspace = self.workspace
        return request_homes(
            self.route.homes, frozenset() if workspace is None else workspace.homes
        )

    def remaining_s(self, now: float) -> float:
        """Return the seconds until the deadline."""
        return self.monitored.deadline - now

    def run_cleanups(self) -> None:
        """Run the cleanups of the current attempt, the latest first."""
        while self.cleanups:
            self.cleanups.pop()()


def log_fields(context: RequestContext) -> dict[str, object]:
    """Return the fields that identify a request in log records."""
    return {
        'step': 'dispatch',
        'id': context.request.request_id,
        'route': context.route.name,
        'tried': context.tried_endpoints,
    }


class Filter(Protocol):
    """One step in processing a request; raises PimentohoistError to refuse it."""

    def __call__(self, context: RequestContext) -> None:
        """Check or change the context."""
