"""The way of a request: route, filters, dispatch, and one log line at its end."""

from __future__ import annotations

import logging
import random
from collections.abc import Callable, Iterator, Sequence
from http import HTTPStatus

from pimentohoist import _clock
from pimentohoist._entry.declarations import DeclarationsController
from pimentohoist._entry.dispatch import Dispatch
from pimentohoist._entry.filters import find_route
from pimentohoist._entry.request_metrics import RequestMetrics
from pimentohoist._entry.request_context import (
    RESERVED_STATUSES,
    EntryResponse,
    Filter,
    RequestContext,
)
from pimentohoist._entry.quotas import QuotasController
from pimentohoist._entry.request_monitor import RequestMonitor, MonitoredRequest
from pimentohoist.entry_models import EntryRequest
from pimentohoist.exceptions import (
    CallerDisconnectedError,
    PeerError,
    PimentohoistError,
)

_MS_PER_S = 1000
_SAMPLED_ABOVE = 20
"""Requests under way above which only some successes are logged."""

_SAMPLE_SHARE = 0.1

_logger = logging.getLogger(__name__)


class RequestHandler:
    """Answers requests."""

    def __init__(
        self,
        declarations: DeclarationsController,
        quotas: QuotasController,
        filters: Sequence[Filter],
        dispatch: Dispatch,
        request_monitor: RequestMonitor,
    ) -> None:
        self.declarations = declarations
        self.quotas = quotas
        self.filters = filters
        self.dispatch = dispatch
        self.request_monitor = request_monitor
        self.metrics = RequestMetrics()

    def handle(
        self, request: EntryRequest, poll_disconnected: Callable[[], bool]
    ) -> EntryResponse:
        """Return the answer; raises PimentohoistError."""
        context = self._begin(request, poll_disconnected)
        try:
            response = self._pass(context)
        except BaseException as error:
            self._end(context, error)
            raise
        parts = _Following(
            response.parts, lambda error: self._end(context, error, response)
        )
        return EntryResponse(
            response.status, response.reason, response.headers, parts, response.length
        )

    def _begin(
        self, request: EntryRequest, poll_disconnected: Callable[[], bool]
    ) -> RequestContext:
        declaration, route, group = find_route(
            self.declarations.current, request.host, request.path
        )
        allowed_s = route.timeout_s
        if request.allowed_s is not None:
            allowed_s = min(allowed_s, request.allowed_s)
        monitored = MonitoredRequest(request.arrived_at + allowed_s, poll_disconnected)
        self.request_monitor.begin(monitored)
        return RequestContext(request, monitored, declaration, route, group)

    def _pass(self, context: RequestContext) -> EntryResponse:
        for check in self.filters:
            check(context)
        try:
            return self.dispatch(context)
        except PimentohoistError as error:
            if context.executions and error.status in RESERVED_STATUSES:
                # These statuses promise that nothing ran.
                raise PeerError(error.message, step=error.step) from error
            raise

    def _end(
        self,
        context: RequestContext,
        error: BaseException | None,
        response: EntryResponse | None = None,
    ) -> None:
        self.request_monitor.finish(context.monitored)
        context.finish()
        workspace = context.workspace
        if response is None and not context.executions and workspace is not None:
            self.quotas.give_back(workspace, context.charged)
        took_s = _clock.now() - context.request.arrived_at
        status = _status(response, error)
        self.metrics.record(context.route.name, status, took_s)
        is_sound = error is None and status < HTTPStatus.BAD_REQUEST
        is_sampled = len(self.request_monitor) > _SAMPLED_ABOVE
        if is_sound and is_sampled and random.random() > _SAMPLE_SHARE:
            return
        extra = {
            'step': getattr(error, 'step', 'answer'),
            'id': context.request.request_id,
            'route': context.route.name,
            'workspace': workspace.name if workspace else '',
            'adapter': str(context.request.adapter or ''),
            'tokens': context.charged,
            'version': context.declaration.version,
            'endpoints': context.endpoints,
            'runs': context.executions,
            'status': status,
            'took_ms': round(took_s * _MS_PER_S),
            'outcome': 'answered' if error is None else str(error),
        }
        _logger.info('request ended', extra=extra)


class _Following:
    """Parts of an answer; tells once how they ended."""

    def __init__(
        self, parts: object, on_end: Callable[[BaseException | None], None]
    ) -> None:
        self.parts: Iterator[bytes] = iter(parts)  # type: ignore[call-overload]
        self.on_end = on_end
        self._is_over = False

    def __iter__(self) -> Iterator[bytes]:
        """Return itself."""
        return self

    def __next__(self) -> bytes:
        """Return the next part."""
        try:
            return next(self.parts)
        except StopIteration:
            self._finish(None)
            raise
        except BaseException as error:
            self._finish(error)
            raise

    def close(self) -> None:
        """End early: the caller reads no more."""
        if self._is_over:
            return
        closing = getattr(self.parts, 'close', None)
        if closing is not None:
            closing()
        self._finish(CallerDisconnectedError('the caller has left', step='answer'))

    def _finish(self, error: BaseException | None) -> None:
        if not self._is_over:
            self._is_over = True
            self.on_end(error)


def _status(response: EntryResponse | None, error: BaseException | None) -> int:
    if response is not None:
        return response.status
    if isinstance(error, PimentohoistError):
        return int(error.status)
    return int(HTTPStatus.INTERNAL_SERVER_ERROR)
