"""Handles a request: routing, filters, dispatch and the log record at its end."""

from __future__ import annotations

import logging
import random
from collections.abc import Callable, Iterator, Sequence
from http import HTTPStatus
from typing import NoReturn

from pimentohoist import _clock
from pimentohoist._entry.declarations import DeclarationsController
from pimentohoist._entry.dispatch import Dispatch
from pimentohoist._entry.filters import find_route, find_workspace
from pimentohoist._entry.request_metrics import RequestMetrics
from pimentohoist._entry.request_context import (
    RESERVED_STATUSES,
    EntryResponse,
    Filter,
    RequestContext,
)
from pimentohoist._entry.quotas import QuotasController
from pimentohoist._entry.request_monitor import RequestMonitor, MonitoredRequest
from pimentohoist._entry.retry_policy import cancellation_error
from pimentohoist._entry.shutdown import Shutdown
from pimentohoist.entry_models import EntryRequest
from pimentohoist.exceptions import (
    CallerDisconnectedError,
    PeerError,
    PimentohoistError,
)

_MS_PER_S = 1000
_SAMPLING_THRESHOLD = 20
"""With more requests in flight only a share of the successes is logged."""

_SAMPLED_SHARE = 0.1

_logger = logging.getLogger(__name__)


class RequestHandler:
    """Handles callers' requests."""

    def __init__(
        self,
        declarations: DeclarationsController,
        quotas: QuotasController,
        filters: Sequence[Filter],
        dispatch: Dispatch,
        request_monitor: RequestMonitor,
        shutdown: Shutdown,
    ) -> None:
        self.declarations = declarations
        self.quotas = quotas
        self.filters = filters
        self.dispatch = dispatch
        self.request_monitor = request_monitor
        self.shutdown = shutdown
        self.metrics = RequestMetrics()

    def handle(
        self, request: EntryRequest, poll_disconnected: Callable[[], bool]
    ) -> EntryResponse:
        """Return the response to a request; raises PimentohoistError."""
        context = self._begin(request, poll_disconnected)
        try:
            response = self._process(context)
        except BaseException as error:
            self._end(context, error)
            raise
        parts = _ObservedBody(
            response.parts, lambda error: self._end(context, error, response)
        )
        return EntryResponse(
            response.status, response.reason, response.headers, parts, response.length
        )

    def check_head(self, request: EntryRequest) -> str:
        """Check the route and the key of a request whose body hasn't been read.

        Returns the name of its workspace, empty without one; raises PimentohoistError.
        """
        declaration, route, _ = find_route(
            self.declarations.current, request.host, request.path
        )
        workspace = find_workspace(declaration, route, request.key)
        return '' if workspace is None else workspace.name

    def refuse(self, request: EntryRequest, error: PimentohoistError) -> NoReturn:
        """Log that a request is refused before it was read completely; raise the error."""
        self._log_refusal(request, error)
        raise error

    def _begin(
        self, request: EntryRequest, poll_disconnected: Callable[[], bool]
    ) -> RequestContext:
        try:
            declaration, route, group = find_route(
                self.declarations.current, request.host, request.path
            )
        except PimentohoistError as error:
            self._log_refusal(request, error)
            raise
        timeout_s = route.timeout_s
        if request.timeout_s is not None:
            timeout_s = min(timeout_s, request.timeout_s)
        self.shutdown.check(
            request.request_id,
            route,
            timeout_s,
            self.metrics.usual_max_s(route.name),
        )
        monitored = MonitoredRequest(
            request.request_id,
            request.arrived_at,
            request.arrived_at + timeout_s,
            poll_disconnected,
            may_repeat=route.may_retry,
        )
        self.request_monitor.add(monitored)
        return RequestContext(request, monitored, declaration, route, group)

    def _process(self, context: RequestContext) -> EntryResponse:
        if context.monitored.check_caller():
            raise cancellation_error(context)
        for request_filter in self.filters:
            request_filter(context)
        try:
            return self.dispatch(context)
        except PimentohoistError as error:
            if context.executions and error.status in RESERVED_STATUSES:
                # This status would promise that the request has not run.
                raise PeerError(error.message, step=error.step) from error
            raise

    def _log_refusal(self, request: EntryRequest, error: PimentohoistError) -> None:
        """Log the end of a request that wasn't admitted to a route."""
        extra = {
            'step': error.step,
            'id': request.request_id,
            'route': '',
            'host': request.host,
            'path': request.path,
            'version': self.declarations.version,
            'endpoints': [],
            'runs': 0,
            'status': int(error.status),
            'outcome': str(error),
        }
        _logger.info('request ended', extra=extra)

    def _end(
        self,
        context: RequestContext,
        error: BaseException | None,
        response: EntryResponse | None = None,
    ) -> None:
        self.request_monitor.remove(context.monitored)
        context.run_cleanups()
        workspace = context.workspace
        if response is None and not context.executions and workspace is not None:
            self.quotas.refund(workspace, context.charged_tokens)
        duration_s = _clock.now() - context.request.arrived_at
        status = _status(response, error)
        self.metrics.record(context.route.name, status, duration_s)
        is_success = error is None and status < HTTPStatus.BAD_REQUEST
        is_sampled = len(self.request_monitor) > _SAMPLING_THRESHOLD
        if is_success and is_sampled and random.random() > _SAMPLED_SHARE:
            return
        extra = {
            'step': getattr(error, 'step', 'answer'),
            'id': context.request.request_id,
            'route': context.route.name,
            'workspace': workspace.name if workspace else '',
            'adapter': str(context.request.adapter or ''),
            'tokens': context.charged_tokens,
            'version': context.declaration.version,
            'endpoints': context.tried_endpoints,
            'runs': context.executions,
            'status': status,
            'framing': context.framing or '',
            'protocol': context.request.protocol,
            'took_ms': round(duration_s * _MS_PER_S),
            **context.monitored.times_ms(),
            'outcome': 'answered' if error is None else str(error),
        }
        _logger.info('request ended', extra=extra)


class _ObservedBody:
    """Iterates over a response body and calls `on_end` once, when it ends or fails."""

    def __init__(
        self, parts: object, on_end: Callable[[BaseException | None], None]
    ) -> None:
        self.parts: Iterator[bytes] = iter(parts)  # type: ignore[call-overload]
        self.on_end = on_end
        self._is_finished = False

    def __iter__(self) -> Iterator[bytes]:
        """Return itself."""
        return self

    def __next__(self) -> bytes:
        """Return the next part of the body."""
        try:
            return next(self.parts)
        except StopIteration:
            self._finish(None)
            raise
        except BaseException as error:
            self._finish(error)
            raise

    def close(self) -> None:
        """Close the body early, since the caller reads no more."""
        if self._is_finished:
            return
        close_parts = getattr(self.parts, 'close', None)
        if close_parts is not None:
            close_parts()
        self._finish(
            CallerDisconnectedError('the caller has disconnected', step='answer')
        )

    def _finish(self, error: BaseException | None) -> None:
        if not self._is_finished:
            self._is_finished = True
            self.on_end(error)


def _status(response: EntryResponse | None, error: BaseException | None) -> int:
    if response is not None:
        return response.status
    if isinstance(error, PimentohoistError):
        return int(error.status)
    return int(HTTPStatus.INTERNAL_SERVER_ERROR)
