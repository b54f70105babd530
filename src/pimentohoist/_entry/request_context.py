"""A request on its way through the filters, and the answer that it gets."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import Protocol

from pimentohoist._entry.request_monitor import MonitoredRequest
from pimentohoist.entry_models import (
    EntryRequest,
    Declaration,
    EndpointGroup,
    Route,
    Workspace,
)
from pimentohoist.exceptions import PimentohoistError


RESERVED_STATUSES = frozenset(
    (
        HTTPStatus.REQUEST_TIMEOUT,
        HTTPStatus.MISDIRECTED_REQUEST,
        HTTPStatus.TOO_MANY_REQUESTS,
        HTTPStatus.SERVICE_UNAVAILABLE,
    )
)
"""Statuses that promise the caller that its request has not run."""


@dataclass(frozen=True, slots=True)
class EntryResponse:
    """What is sent to the caller.

    Attributes
    ----------
    length : int or None
        Of the body, if it is known before it is sent.
    """

    status: int
    reason: str
    headers: list[tuple[str, str]]
    parts: Iterable[bytes]
    length: int | None


@dataclass(slots=True)
class RequestContext:
    """What the filters have found out about a request.

    Attributes
    ----------
    endpoints : list of str
        Those to which it was sent, in order.
    executions : int
        Of these, the ones that may have run it.
    failure : PimentohoistError or None
        Why the last attempt failed.
    """

    request: EntryRequest
    monitored: MonitoredRequest
    declaration: Declaration
    route: Route
    group: EndpointGroup
    workspace: Workspace | None = None
    charged: float = 0
    endpoints: list[str] = field(default_factory=list)
    executions: int = 0
    failure: PimentohoistError | None = None
    cleanups: list[Callable[[], None]] = field(default_factory=list)

    def remaining_s(self, now: float) -> float:
        """Return the time until the request is given up."""
        return self.monitored.deadline - now

    def finish(self) -> None:
        """Release what the request holds."""
        while self.cleanups:
            self.cleanups.pop()()


def log_fields(context: RequestContext) -> dict[str, object]:
    """Return what each log line on a request tells of it."""
    return {
        'step': 'dispatch',
        'id': context.request.request_id,
        'route': context.route.name,
        'tried': context.endpoints,
    }


class Filter(Protocol):
    """One step of a request; raises PimentohoistError to refuse it."""

    def __call__(self, context: RequestContext) -> None:
        """Check or change the passage."""
