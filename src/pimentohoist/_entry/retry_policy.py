"""Decides on retries, and records the outcome of each attempt."""

from __future__ import annotations

import logging
from http import HTTPStatus

from pimentohoist import _clock
from pimentohoist._entry.endpoint_chooser import RETRY_AFTER_S
from pimentohoist._entry.connections import (
    ConnectionPool,
    Reach,
    UpstreamExchange,
)
from pimentohoist._entry.response_head import ResponseHead
from pimentohoist._entry.crash_reports import CrashReportsController, fingerprint_of
from pimentohoist._entry.endpoint_rooms import EndpointRooms
from pimentohoist._entry.endpoints import EndpointsController
from pimentohoist._entry.filters import add_jitter
from pimentohoist._entry.part_quarantine import PartQuarantine
from pimentohoist._entry.request_context import (
    RESERVED_STATUSES,
    RequestContext,
    log_fields,
)
from pimentohoist._entry.request_forwarding import RequestForwarding
from pimentohoist._entry.request_monitor import Cancellation
from pimentohoist._entry.retry_budgets import GroupRetryBudgets
from pimentohoist.entry_models import Endpoint
from pimentohoist.exceptions import (
    CallerDisconnectedError,
    DeadlineError,
    PeerConnectError,
    PeerError,
    PeerTimeoutError,
    PimentohoistError,
    UnavailableError,
)
from pimentohoist.platform import is_not_executed

_STEP = 'dispatch'
_MAX_UNEXECUTED_ATTEMPTS = 3
"""Attempts allowed while the request has certainly not been executed."""

_MAX_ATTEMPTS = 5
"""Attempts allowed if some endpoints can't be reached from here."""

_logger = logging.getLogger(__name__)


class RetryableError(PimentohoistError):
    """An attempt failed, and another one may be made."""


class RetryPolicy:
    """Decides after each attempt whether the request may be sent again."""

    def __init__(
        self,
        endpoints: EndpointsController,
        crash_reports: CrashReportsController,
        part_quarantine: PartQuarantine,
        connections: ConnectionPool,
        retry_budgets: GroupRetryBudgets,
        forwarding: RequestForwarding,
        rooms: EndpointRooms,
    ) -> None:
        self.endpoints = endpoints
        self.crash_reports = crash_reports
        self.part_quarantine = part_quarantine
        self.connections = connections
        self.retry_budgets = retry_budgets
        self.forwarding = forwarding
        self.rooms = rooms

    def check_response(
        self, context: RequestContext, exchange: UpstreamExchange, head: ResponseHead
    ) -> None:
        """Record a response in the endpoint's health; raise if the caller may not get it.

        Raises
        ------
        RetryableError
            The request may be sent again.
        UnavailableError
            The endpoint refused the request, and no attempt is left.
        PeerError
            The request may have run, but the status would promise that it has not.
        """
        endpoint = exchange.endpoint
        health = self.endpoints.health_of(endpoint.endpoint_id)
        if is_not_executed(head.status, head.headers):
            raise self._handle_not_executed(context, endpoint, head)
        context.executions += 1
        if head.status < HTTPStatus.INTERNAL_SERVER_ERROR:
            now = _clock.now()
            health.record_response(now - exchange.sent_at, now)
        else:
            health.record_failure(_clock.now())
            if self.may_retry(context):
                raise _retryable(_status_error(head, endpoint))
        if head.status in RESERVED_STATUSES:
            # To the caller this status would promise that the request has not run.
            raise _status_error(head, endpoint)

    def classify_failure(
        self, context: RequestContext, endpoint: Endpoint, error: PimentohoistError
    ) -> PimentohoistError:
        """Record an attempt that got no response; return the error to raise."""
        health = self.endpoints.health_of(endpoint.endpoint_id)
        if isinstance(error, PeerConnectError):
            health.record_connect_failure(_clock.now())
            return self._handle_not_sent(context, endpoint, error)
        context.executions += self.used_executions(context, endpoint)
        if context.monitored.is_cancelled:
            if context.monitored.cancellation is Cancellation.DEADLINE:
                health.record_failure(_clock.now())
            return cancellation_error(context)
        health.record_failure(_clock.now())
        if not endpoint.is_daemon:
            self.detect_crash(context, endpoint)
        return _retryable(error) if self.may_retry(context) else error

    def classify_refusal(
        self, context: RequestContext, refused: UnavailableError
    ) -> PimentohoistError:
        """Return the error to raise when nothing was sent to an endpoint that answers."""
        context.failure = refused
        return _retryable(refused) if _attempts_left(context) > 0 else refused

    def may_retry(self, context: RequestContext) -> bool:
        """Return whether a request that may have run may be retried; counts the retry."""
        return context.route.may_retry and self._take_retry(context)

    def may_resume(self, context: RequestContext) -> bool:
        """Return whether a broken stream may resume elsewhere; counts the retry."""
        return context.route.can_resume and self._take_retry(context)

    def detect_crash(self, context: RequestContext, endpoint: Endpoint) -> None:
        """Record a crash if an endpoint that broke off can no longer be reached.

        The request had not begun to be answered, or hardly. If no other endpoint can be
        reached either, this daemon's links have failed.
        """
        links = self.forwarding.links
        reach = self.connections.check_reach(endpoint.address)
        if reach is Reach.OPEN:
            return
        links.record_lost(endpoint, reach.name.lower())
        self.endpoints.health_of(endpoint.endpoint_id).record_connect_failure(
            _clock.now()
        )
        if not links.reaches_another(endpoint):
            extra = {**log_fields(context), 'endpoint': endpoint.incarnation}
            _logger.info('no endpoint is reached, so none crashed', extra=extra)
            return
        if self.connections.check_reach(endpoint.address) is Reach.OPEN:
            # This daemon's links came back between the two connections.
            return
        fingerprint = fingerprint_of(context.request)
        count = self.crash_reports.record_crash(fingerprint, endpoint.endpoint_id)
        extra = {
            **log_fields(context),
            'endpoint': endpoint.incarnation,
            'fingerprint': fingerprint,
            'crashes': count,
            'shared_parts': context.request.shared_parts,
            'framing': context.framing or '',
            'reach': reach.name.lower(),
        }
        _logger.warning('endpoint crashed while it executed a request', extra=extra)
        # An endpoint that is silent may be cut off or frozen.
        if reach is Reach.REFUSED:
            self.part_quarantine.record_crash(context, endpoint)

    def used_executions(self, context: RequestContext, endpoint: Endpoint) -> int:
        """Return how often an attempt without a response may have run the request."""
        return self.forwarding.granted(context) if endpoint.is_daemon else 1

    def _take_retry(self, context: RequestContext) -> bool:
        is_below_limit = context.executions < context.max_executions
        is_allowed = is_below_limit and not context.monitored.is_cancelled
        return is_allowed and self.retry_budgets.take_retry(context.group.name)

    def _handle_not_executed(
        self, context: RequestContext, endpoint: Endpoint, head: ResponseHead
    ) -> PimentohoistError:
        has_adapter = context.request.adapter is not None
        if head.status == HTTPStatus.MISDIRECTED_REQUEST and not has_adapter:
            self.endpoints.record_other_incarnation(endpoint)
        if head.status == HTTPStatus.SERVICE_UNAVAILABLE and not endpoint.is_daemon:
            self.rooms.record_rejection(endpoint)
        failure = UnavailableError(
            f'endpoint refused the request with status {head.status}',
            step=_STEP,
            peer=endpoint.endpoint_id,
            retry_after_s=add_jitter(RETRY_AFTER_S),
        )
        context.failure = failure
        has_attempts_left = _attempts_left(context) > 0
        # A daemon that refuses a request has sent it to no endpoint.
        if has_attempts_left and (
            endpoint.is_daemon or self.retry_budgets.take_retry(context.group.name)
        ):
            return _retryable(failure)
        return failure

    def _handle_not_sent(
        self, context: RequestContext, endpoint: Endpoint, error: PeerConnectError
    ) -> PimentohoistError:
        context.unreached += not endpoint.is_daemon
        failure = UnavailableError(
            str(error), step=_STEP, retry_after_s=add_jitter(RETRY_AFTER_S)
        )
        context.failure = failure
        has_attempts_left = _attempts_left(context) > 0
        return _retryable(error) if has_attempts_left else failure


def cancellation_error(context: RequestContext) -> PimentohoistError:
    """Return the error of a request that was cancelled, or has no time left to be sent."""
    cancellation = context.monitored.cancellation
    if cancellation is Cancellation.DISCONNECTED:
        return CallerDisconnectedError('the caller has disconnected', step=_STEP)
    if cancellation is Cancellation.STOP:
        return _stop_error(context)
    if context.executions:
        return PeerTimeoutError('no response before the deadline', step=_STEP)
    return DeadlineError('not sent before the deadline', step=_STEP)


def _attempts_left(context: RequestContext) -> int:
    # Endpoints that can't be reached from here leave the attempts to another daemon.
    max_attempts = _MAX_UNEXECUTED_ATTEMPTS + context.unreached
    return min(max_attempts, _MAX_ATTEMPTS) - len(context.tried_endpoints)


def _stop_error(context: RequestContext) -> PimentohoistError:
    if context.executions:
        return PeerTimeoutError('no response before the daemon ended', step=_STEP)
    return UnavailableError(
        'the daemon is stopping', step=_STEP, retry_after_s=add_jitter(0)
    )


def _status_error(head: ResponseHead, endpoint: Endpoint) -> PeerError:
    return PeerError(f'status {head.status}', step=_STEP, peer=endpoint.endpoint_id)


def _retryable(error: PimentohoistError) -> RetryableError:
    return RetryableError(error.message, step=error.step, peer=error.peer)
