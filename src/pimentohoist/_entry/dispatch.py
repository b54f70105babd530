"""Sends a request to endpoints until one responds or no attempt is left."""

from __future__ import annotations

import logging
from collections.abc import Mapping
from http import HTTPStatus
from typing import cast

from pimentohoist import _clock
from pimentohoist._entry.endpoint_chooser import EndpointChooser, ChosenEndpoint
from pimentohoist._entry.connections import ConnectionPool, UpstreamExchange
from pimentohoist._entry.response_head import ResponseHead
from pimentohoist._entry.event_stream import EventSplitter
from pimentohoist._entry.forwarded_request import (
    decode_version,
    encode_version,
    without_origin,
)
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
from pimentohoist._entry.part_quarantine import PartQuarantine
from pimentohoist._entry.stream_relay import StreamRelay
from pimentohoist._entry.stream_versions import StreamVersions
from pimentohoist.entry_models import (
    Endpoint,
    ExecutionPolicy,
    ForwardingMetadata,
)
from pimentohoist.exceptions import (
    PeerConnectError,
    PeerError,
    PimentohoistError,
    UnavailableError,
)
from pimentohoist.platform import (
    decode_notice,
    forwarded_headers,
    is_not_executed,
    response_headers,
)

_STEP = 'dispatch'
_MIN_REMAINING_S = 0.01
"""A request with less time than this until its deadline isn't sent any more."""

_logger = logging.getLogger(__name__)


class StreamBrokenError(OSError):
    """A stream can't be completed: the caller's connection must be cut."""


class Dispatch:
    """Sends a request to an endpoint and retries it; the last step after the filters."""

    def __init__(
        self,
        chooser: EndpointChooser,
        retry_policy: RetryPolicy,
        part_quarantine: PartQuarantine,
        connections: ConnectionPool,
        retry_budgets: GroupRetryBudgets,
        in_flight: InFlightRequests,
        stream_versions: StreamVersions,
    ) -> None:
        self.chooser = chooser
        self.retry_policy = retry_policy
        self.part_quarantine = part_quarantine
        self.connections = connections
        self.retry_budgets = retry_budgets
        self.in_flight = in_flight
        self.stream_versions = stream_versions
        self.incarnations = stream_versions.incarnations
        self.forwarding = retry_policy.forwarding

    def __call__(self, context: RequestContext) -> EntryResponse:
        """Return an endpoint's response; raises PimentohoistError."""
        if context.request.origin is None:
            # The daemon that got a forwarded request from its caller counts it.
            self.retry_budgets.record_request(context.group.name)
        while True:
            try:
                return self._attempt(context)
            except RetryableError as error:
                _logger.info(
                    'attempt failed, retrying: %s', error, extra=log_fields(context)
                )

    def dump(self) -> dict[str, object]:
        """Return the requests in flight and the number of connections opened."""
        return {
            'running': self.in_flight.snapshot(),
            'connections_opened': self.connections.opened,
            'forwarded': self.forwarding.in_flight.snapshot(),
        }

    def _attempt(self, context: RequestContext) -> EntryResponse:
        chosen = self._choose(context)
        try:
            # A part may have been quarantined during the wait for an adapter.
            self.part_quarantine(context)
        except PimentohoistError:
            _release(self.chooser, chosen.endpoint)
            raise
        exchange = self._send(context, chosen, None)
        try:
            return self._receive(context, exchange)
        except BaseException:
            exchange.close()
            context.run_cleanups()
            raise

    def _choose(self, context: RequestContext) -> ChosenEndpoint:
        if context.monitored.check_caller():
            raise cancellation_error(context)
        try:
            return self.chooser.choose(context)
        except PimentohoistError as error:
            if context.monitored.is_cancelled:
                raise cancellation_error(context) from error
            raise

    def _send(
        self, context: RequestContext, chosen: ChosenEndpoint, last_event_id: str | None
    ) -> UpstreamExchange:
        endpoint = chosen.endpoint
        remaining_s = context.remaining_s(_clock.now())
        if remaining_s < _MIN_REMAINING_S or context.monitored.check_caller():
            _release(self.chooser, endpoint)
            raise cancellation_error(context)
        headers = self._headers(context, chosen, remaining_s, last_event_id)
        context.framing = None
        self._track(context, endpoint)
        try:
            exchange = self.connections.send(
                endpoint,
                context.request,
                headers,
                lambda opened: self._check_opened(context, opened),
            )
        except PimentohoistError as error:
            context.run_cleanups()
            raise self._send_failure(context, endpoint, error) from error
        return exchange

    def _send_failure(
        self, context: RequestContext, endpoint: Endpoint, error: PimentohoistError
    ) -> PimentohoistError:
        """Return the error to raise when a request wasn't sent, or not completely."""
        if isinstance(error, UnavailableError):
            return self.retry_policy.classify_refusal(context, error)
        if isinstance(error, PeerConnectError) and context.monitored.is_cancelled:
            # The caller's time ended, or the caller left, before the request was sent.
            self.chooser.permits.give_back(endpoint)
            return cancellation_error(context)
        return self.retry_policy.classify_failure(context, endpoint, error)

    def _check_opened(
        self, context: RequestContext, exchange: UpstreamExchange
    ) -> None:
        """Check whether a request may be sent on a connection that has been opened.

        Raises
        ------
        PeerConnectError
            The caller has left, or the endpoint didn't tell which software answers.
        UnavailableError
            It isn't the software that began the stream.
        """
        context.monitored.attach(exchange)
        try:
            # The daemon that sends a forwarded request to an endpoint asks there.
            if context.route.can_resume and not exchange.endpoint.is_daemon:
                self.incarnations.check(exchange, context.stream_version)
            if context.monitored.check_caller():
                raise PeerConnectError(
                    'the caller left before the request was sent',
                    step=_STEP,
                    peer=exchange.endpoint.address,
                )
        except BaseException:
            exchange.close()
            context.monitored.exchange = None
            raise

    def _headers(
        self,
        context: RequestContext,
        chosen: ChosenEndpoint,
        remaining_s: float,
        last_event_id: str | None,
    ) -> list[tuple[str, str]]:
        if chosen.endpoint.is_daemon:
            return self.forwarding.headers(context, last_event_id)
        metadata = ForwardingMetadata(
            chosen.endpoint.endpoint_id,
            context.workspace.name if context.workspace else None,
            remaining_s,
            chosen.adapter_version,
            last_event_id,
            context.priority if context.group.engine else None,
        )
        return forwarded_headers(context.request, metadata)

    def _track(self, context: RequestContext, endpoint: Endpoint) -> None:
        """Count a request as in flight at an endpoint until its cleanups run."""
        adapter = str(context.request.adapter or '')
        endpoint_id = endpoint.endpoint_id
        context.tried_endpoints.append(endpoint_id)
        in_flight = self.forwarding.in_flight if endpoint.is_daemon else self.in_flight
        in_flight.begin(endpoint_id, adapter)
        self.chooser.rooms.give_back(endpoint)
        context.cleanups.append(lambda: in_flight.finish(endpoint_id, adapter))

    def _receive(
        self, context: RequestContext, exchange: UpstreamExchange
    ) -> EntryResponse:
        try:
            head = self._read_head(context, exchange)
            if _is_stream(context, head):
                return self._stream(context, exchange, head)
            body = exchange.read_body()
        except PeerError as error:
            raise self.retry_policy.classify_failure(
                context, exchange.endpoint, error
            ) from error
        self.retry_policy.check_response(context, exchange, head)
        exchange.close()
        context.run_cleanups()
        headers = without_origin(response_headers(head.headers.items()))
        return EntryResponse(head.status, head.reason, headers, body, len(body))

    def _read_head(
        self, context: RequestContext, exchange: UpstreamExchange
    ) -> ResponseHead:
        head = exchange.read_head()
        endpoint = exchange.endpoint
        context.framing = head.framing
        if endpoint.is_daemon:
            # It has recorded what the endpoint asks, and tells all daemons.
            return head
        headers = cast('Mapping[str, str]', head.headers)
        notice = decode_notice(endpoint.endpoint_id, head.status, headers)
        endpoints = self.chooser.endpoints
        endpoints.notices.record(endpoint, notice)
        endpoints.cold.record_response(endpoint, notice)
        if notice.brittle_per_s is not None or not is_not_executed(
            head.status, head.headers
        ):
            endpoints.brittle.record_response(endpoint, notice, exchange.sent_at)
        if not is_not_executed(head.status, head.headers):
            endpoints.limits.record_response(endpoint, notice, exchange.sent_at)
        return head

    def _stream(
        self, context: RequestContext, exchange: UpstreamExchange, head: ResponseHead
    ) -> EntryResponse:
        """Wait for the first event, then relay the stream as it arrives."""
        relay = StreamRelay(
            context,
            exchange,
            EventSplitter(),
            self._resume,
            lambda: self.part_quarantine.record_begun(context),
        )
        first = relay.first_events()
        self.retry_policy.check_response(context, exchange, head)
        self.chooser.prompt_lengths.record_first_event(
            context, _clock.now() - exchange.sent_at
        )
        version = self._software_version(exchange, head)
        self.stream_versions.record_begun(context, version)
        if context.request.last_event_id:
            _log_resumed('stream taken up by its caller', context, exchange)
        headers = without_origin(response_headers(head.headers.items()))
        if context.request.origin is not None:
            headers += encode_version(version)
        return EntryResponse(
            head.status, head.reason, headers, relay.events(first), None
        )

    def _software_version(self, exchange: UpstreamExchange, head: ResponseHead) -> str:
        if exchange.endpoint.is_daemon:
            return decode_version(head.headers.items())
        return self.incarnations.software_version(exchange)

    def _resume(self, relay: StreamRelay, error: PeerError) -> UpstreamExchange:
        """Return the exchange that resumes a broken stream.

        Raises
        ------
        StreamBrokenError
            The stream may not be resumed, or resuming it failed.
        """
        context = relay.context
        context.failure = error
        if not context.monitored.is_cancelled:
            self._record_break(relay)
        if not self.retry_policy.may_resume(context):
            extra = {
                **log_fields(context),
                'runs': context.executions,
                'max_runs': context.route.max_executions,
            }
            _logger.info('stream not resumed: no attempt is left', extra=extra)
            raise StreamBrokenError(str(error))
        if context.stream_version is not None:
            # The record of the incarnation that began it may have been read by now.
            context.stream_version = self.incarnations.resolved(context.stream_version)
        while True:
            try:
                return self._send_resumption(context, relay.splitter.last_event_id)
            except RetryableError as failure:
                _logger.info(
                    'stream not resumed, retrying: %s',
                    failure,
                    extra=log_fields(context),
                )
            except PimentohoistError as failure:
                _logger.info(
                    'stream not resumed: %s', failure, extra=log_fields(context)
                )
                raise StreamBrokenError(str(failure)) from failure

    def _record_break(self, relay: StreamRelay) -> None:
        endpoint = relay.exchange.endpoint
        health = self.retry_policy.endpoints.health_of(endpoint.endpoint_id)
        health.record_failure(_clock.now())
        if endpoint.is_daemon:
            used = self.retry_policy.used_executions(relay.context, endpoint)
            relay.context.executions += used - 1
        elif not relay.has_begun:
            self.retry_policy.detect_crash(relay.context, endpoint)

    def _send_resumption(
        self, context: RequestContext, last_event_id: str | None
    ) -> UpstreamExchange:
        exchange = self._send(context, self._choose(context), last_event_id)
        try:
            self._check_resumption(context, exchange)
        except BaseException:
            exchange.close()
            context.run_cleanups()
            raise
        _log_resumed('stream resumed', context, exchange)
        return exchange

    def _check_resumption(
        self, context: RequestContext, exchange: UpstreamExchange
    ) -> None:
        try:
            head = self._read_head(context, exchange)
        except PeerError as error:
            raise self.retry_policy.classify_failure(
                context, exchange.endpoint, error
            ) from error
        self.retry_policy.check_response(context, exchange, head)
        if not (_is_stream(context, head) and _has_events(head)):
            raise PeerError(
                f'stream not resumed: expected events, got status {head.status}',
                step=_STEP,
                peer=exchange.endpoint.endpoint_id,
            )


def _release(chooser: EndpointChooser, endpoint: Endpoint) -> None:
    """Give back what a request took at its endpoint that isn't sent there."""
    chooser.rooms.give_back(endpoint)
    chooser.permits.give_back(endpoint)


def _log_resumed(
    message: str, context: RequestContext, exchange: UpstreamExchange
) -> None:
    extra = {
        **log_fields(context),
        'endpoint': exchange.endpoint.endpoint_id,
        'software_version': exchange.endpoint.software_version,
        'began_at_version': context.stream_version,
        'resumed_id': context.request.resumed_id,
    }
    _logger.info(message, extra=extra)


def _is_stream(context: RequestContext, head: ResponseHead) -> bool:
    return (
        context.route.execution_policy is ExecutionPolicy.STREAM
        and head.status == HTTPStatus.OK
    )


def _has_events(head: ResponseHead) -> bool:
    """Return whether a response may have events.

    An engine that has none left ends a stream; a body that is known to be empty is none.
    """
    media_type = str(head.headers.get('Content-Type', ''))
    length = head.headers.get('Content-Length')
    return media_type.lower().startswith('text/event-stream') and length != '0'
