"""Sends a request to endpoints until one answers or no more may be tried."""

from __future__ import annotations

import logging
from http import HTTPStatus

from pimentohoist import _clock
from pimentohoist._entry.endpoint_chooser import EndpointChooser, Target
from pimentohoist._entry.connections import Connections, UpstreamExchange, ResponseHead
from pimentohoist._entry.event_stream import EventSplitter
from pimentohoist._entry.retry_policy import (
    RetryPolicy,
    RetryableError,
    cancellation_error,
)
from pimentohoist._entry.request_context import (
    EntryResponse,
    RequestContext,
    log_fields,
)
from pimentohoist._entry.retry_budgets import GroupRetryBudgets
from pimentohoist._entry.in_flight_requests import InFlightRequests
from pimentohoist._entry.stream_relay import StreamRelay
from pimentohoist.entry_models import ForwardingMetadata, RepeatPolicy
from pimentohoist.exceptions import PeerError, PimentohoistError
from pimentohoist.platform import answer_headers, onward_headers

_STEP = 'dispatch'
_MAX_PRIORITY = 9
_MIN_SEND_S = 0.01

_logger = logging.getLogger(__name__)


class StreamBrokenError(OSError):
    """A stream ends before its end: the caller's connection must be cut."""


class Dispatch:
    """The last step of a request."""

    def __init__(
        self,
        chooser: EndpointChooser,
        retry_policy: RetryPolicy,
        connections: Connections,
        retry_budgets: GroupRetryBudgets,
        in_flight: InFlightRequests,
    ) -> None:
        self.chooser = chooser
        self.retry_policy = retry_policy
        self.connections = connections
        self.retry_budgets = retry_budgets
        self.in_flight = in_flight

    def __call__(self, context: RequestContext) -> EntryResponse:
        """Return an endpoint's answer; raises PimentohoistError."""
        self.retry_budgets.record_request(context.group.name)
        while True:
            try:
                return self._attempt(context)
            except RetryableError as error:
                _logger.info('another attempt: %s', error, extra=log_fields(context))

    def dump(self) -> dict[str, object]:
        """Return the requests under way."""
        return {
            'running': self.in_flight.snapshot(),
            'connections_opened': self.connections.opened,
        }

    def _attempt(self, context: RequestContext) -> EntryResponse:
        target = self._choose(context)
        exchange = self._send(context, target, None)
        try:
            return self._receive(context, exchange)
        except BaseException:
            exchange.close()
            context.finish()
            raise

    def _choose(self, context: RequestContext) -> Target:
        try:
            return self.chooser.choose(context)
        except PimentohoistError as error:
            if context.monitored.is_cancelled:
                raise cancellation_error(context) from error
            raise

    def _send(
        self, context: RequestContext, target: Target, last_event_id: str | None
    ) -> UpstreamExchange:
        endpoint = target.endpoint
        remaining_s = context.remaining_s(_clock.now())
        if remaining_s < _MIN_SEND_S or context.monitored.is_cancelled:
            raise cancellation_error(context)
        onward = ForwardingMetadata(
            endpoint.endpoint_id,
            context.workspace.name if context.workspace else None,
            remaining_s,
            target.adapter_version,
            last_event_id,
            _priority(context) if context.group.engine else None,
        )
        self._count(context, endpoint.endpoint_id)
        try:
            exchange = self.connections.send(
                endpoint, context.request, onward_headers(context.request, onward)
            )
        except PimentohoistError as error:
            context.finish()
            raise self.retry_policy.classify_failure(
                context, endpoint, error
            ) from error
        context.monitored.attach(exchange)
        return exchange

    def _count(self, context: RequestContext, endpoint_id: str) -> None:
        """Count a request at an endpoint until it has ended there."""
        adapter = str(context.request.adapter or '')
        context.endpoints.append(endpoint_id)
        self.in_flight.begin(endpoint_id, adapter)
        context.cleanups.append(lambda: self.in_flight.finish(endpoint_id, adapter))

    def _receive(
        self, context: RequestContext, exchange: UpstreamExchange
    ) -> EntryResponse:
        try:
            head = exchange.read_head(context.request.request_id)
            if _is_stream(context, head):
                return self._stream(context, exchange, head)
            body = exchange.read_whole()
        except PeerError as error:
            raise self.retry_policy.classify_failure(
                context, exchange.endpoint, error
            ) from error
        self.retry_policy.check_response(context, exchange, head)
        exchange.close()
        context.finish()
        headers = answer_headers(head.headers.items())
        return EntryResponse(head.status, head.reason, headers, [body], len(body))

    def _stream(
        self, context: RequestContext, exchange: UpstreamExchange, head: ResponseHead
    ) -> EntryResponse:
        """Wait for the first event, then pass the stream on as it comes."""
        relay = StreamRelay(context, exchange, EventSplitter(), self._go_on)
        first = relay.first_events()
        self.retry_policy.check_response(context, exchange, head)
        headers = answer_headers(head.headers.items())
        return EntryResponse(
            head.status, head.reason, headers, relay.events(first), None
        )

    def _go_on(self, relay: StreamRelay, error: PeerError) -> UpstreamExchange:
        """Return the exchange with which a broken stream goes on."""
        context = relay.context
        context.failure = error
        if not context.monitored.is_cancelled:
            endpoint_id = relay.exchange.endpoint.endpoint_id
            self.retry_policy.endpoints.health_of(endpoint_id).record_failure(
                _clock.now()
            )
        if not self.retry_policy.may_resume(context):
            raise StreamBrokenError(str(error))
        try:
            return self._resume(context, relay.splitter.last_id)
        except PimentohoistError as failure:
            raise StreamBrokenError(str(failure)) from failure

    def _resume(
        self, context: RequestContext, last_event_id: str | None
    ) -> UpstreamExchange:
        exchange = self._send(context, self._choose(context), last_event_id)
        head = exchange.read_head(context.request.request_id)
        if not _is_stream(context, head):
            raise PeerError(
                f'not resumed: {head.status}',
                step=_STEP,
                peer=exchange.endpoint.endpoint_id,
            )
        context.executions += 1
        return exchange


def _is_stream(context: RequestContext, head: ResponseHead) -> bool:
    return context.route.kind is RepeatPolicy.STREAM and head.status == HTTPStatus.OK


def _priority(context: RequestContext) -> int:
    workspace = context.workspace
    has_own = workspace is not None and workspace.priority is not None
    priority = workspace.priority if workspace is not None and has_own else None
    return min(_MAX_PRIORITY, context.route.priority if priority is None else priority)
