"""Judges what an attempt tells of its request and of its endpoint."""

from __future__ import annotations

import logging
from http import HTTPStatus

from pimentohoist import _clock
from pimentohoist._entry.endpoint_chooser import RETRY_AFTER_S
from pimentohoist._entry.connections import Connections, UpstreamExchange, ResponseHead
from pimentohoist._entry.crash_reports import CrashReportsController, fingerprint
from pimentohoist._entry.endpoints import EndpointsController
from pimentohoist._entry.filters import add_jitter
from pimentohoist._entry.request_context import (
    RESERVED_STATUSES,
    RequestContext,
    log_fields,
)
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
from pimentohoist.platform import is_certainly_not_run

_STEP = 'dispatch'
_MAX_SENDS = 3
"""Endpoints that are tried while it is certain that none has run the request."""

_logger = logging.getLogger(__name__)


class RetryableError(PimentohoistError):
    """An attempt failed in a way that allows another one."""


class RetryPolicy:
    """Decides after each attempt whether another one may follow."""

    def __init__(
        self,
        endpoints: EndpointsController,
        crash_reports: CrashReportsController,
        connections: Connections,
        retry_budgets: GroupRetryBudgets,
    ) -> None:
        self.endpoints = endpoints
        self.crash_reports = crash_reports
        self.connections = connections
        self.retry_budgets = retry_budgets

    def check_response(
        self, context: RequestContext, exchange: UpstreamExchange, head: ResponseHead
    ) -> None:
        """Raise if the answer isn't the caller's; count what it tells of the endpoint."""
        endpoint = exchange.endpoint
        health = self.endpoints.health_of(endpoint.endpoint_id)
        if is_certainly_not_run(head.status, head.headers):
            raise self._not_run(context, endpoint, head)
        context.executions += 1
        if head.status < HTTPStatus.INTERNAL_SERVER_ERROR:
            now = _clock.now()
            health.record_answer(now - exchange.sent_at, now)
        else:
            health.record_failure(_clock.now())
            if self.may_repeat(context):
                raise _retryable(_status_error(head, endpoint))
        if head.status in RESERVED_STATUSES:
            # The caller would take it for a promise that nothing ran.
            raise _status_error(head, endpoint)

    def classify_failure(
        self, context: RequestContext, endpoint: Endpoint, error: PimentohoistError
    ) -> PimentohoistError:
        """Return what to raise after an attempt that got no answer."""
        health = self.endpoints.health_of(endpoint.endpoint_id)
        if isinstance(error, PeerConnectError):
            health.record_connect_failure(_clock.now())
            return self._not_sent(context, error)
        context.executions += 1
        if context.monitored.is_cancelled:
            if not context.monitored.is_disconnected:
                health.record_failure(_clock.now())
            return cancellation_error(context)
        health.record_failure(_clock.now())
        self._look_for_crash(context, endpoint)
        return _retryable(error) if self.may_repeat(context) else error

    def may_repeat(self, context: RequestContext) -> bool:
        """Return whether a request that may have run may be sent once more."""
        return context.route.may_repeat and self._has_attempt(context)

    def may_resume(self, context: RequestContext) -> bool:
        """Return whether a stream that broke may go on at another engine."""
        return context.route.can_resume and self._has_attempt(context)

    def _has_attempt(self, context: RequestContext) -> bool:
        has_attempt = context.executions < context.route.max_endpoints
        is_allowed = has_attempt and not context.monitored.is_cancelled
        return is_allowed and self.retry_budgets.take(context.group.name)

    def _not_run(
        self, context: RequestContext, endpoint: Endpoint, head: ResponseHead
    ) -> PimentohoistError:
        has_adapter = context.request.adapter is not None
        if head.status == HTTPStatus.MISDIRECTED_REQUEST and not has_adapter:
            self.endpoints.record_other_incarnation(endpoint)
        failure = UnavailableError(
            f'endpoint refused with {head.status}',
            step=_STEP,
            peer=endpoint.endpoint_id,
            retry_after_s=add_jitter(RETRY_AFTER_S),
        )
        context.failure = failure
        is_more = len(context.endpoints) < _MAX_SENDS
        if is_more and self.retry_budgets.take(context.group.name):
            return _retryable(failure)
        return failure

    def _not_sent(
        self, context: RequestContext, error: PeerConnectError
    ) -> PimentohoistError:
        failure = UnavailableError(
            str(error), step=_STEP, retry_after_s=add_jitter(RETRY_AFTER_S)
        )
        context.failure = failure
        is_more = len(context.endpoints) < _MAX_SENDS
        return _retryable(error) if is_more else failure

    def _look_for_crash(self, context: RequestContext, endpoint: Endpoint) -> None:
        """Note a crash if an endpoint that broke off can't be reached any more."""
        if self.connections.can_reach(endpoint.address):
            return
        self.endpoints.health_of(endpoint.endpoint_id).record_connect_failure(
            _clock.now()
        )
        name = fingerprint(context.request)
        count = self.crash_reports.record_crash(name, endpoint.endpoint_id)
        extra = {**log_fields(context), 'fingerprint': name, 'crashes': count}
        _logger.warning('endpoint crashed under a request', extra=extra)


def cancellation_error(context: RequestContext) -> PimentohoistError:
    """Return why a request has ended whose caller left or whose time is over."""
    if context.monitored.is_disconnected:
        return CallerDisconnectedError('the caller has left', step=_STEP)
    if context.executions:
        return PeerTimeoutError('no answer in time', step=_STEP)
    return DeadlineError('not sent in time', step=_STEP)


def _status_error(head: ResponseHead, endpoint: Endpoint) -> PeerError:
    return PeerError(f'status {head.status}', step=_STEP, peer=endpoint.endpoint_id)


def _retryable(error: PimentohoistError) -> RetryableError:
    return RetryableError(error.message, step=error.step, peer=error.peer)
