"""Sends a call to a plain service and returns its response."""

from __future__ import annotations

import random
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from http import HTTPStatus

from pimentohoist.exceptions import (
    DeadlineError,
    NotFoundError,
    PeerConnectError,
    PeerError,
    RunState,
    UnavailableError,
)
from pimentohoist.exchanges import CallerResponse, Exchange, SlotRequest
from pimentohoist.models import ServiceCall, ServiceResponse
from pimentohoist.protocols import Clock, Slots

_STEP = 'dispatch_service'
_MIN_TIMEOUT_S = 0.001
_RETRY_AFTER_S = 1.0
_MAX_RETRY_PAUSE_S = 0.1
_RETRYABLE_STATUSES = frozenset(
    (
        HTTPStatus.BAD_GATEWAY,
        HTTPStatus.SERVICE_UNAVAILABLE,
        HTTPStatus.GATEWAY_TIMEOUT,
    )
)


@dataclass(slots=True)
class _Attempts:
    """Endpoints tried for one exchange, and the latest response or error."""

    excluded: set[str] = field(default_factory=set)
    error: PeerError | None = None
    response: ServiceResponse | None = None

    def record_error(self, error: PeerError) -> None:
        """Store the error, unless it is "not run" and an error is already stored."""
        if self.error is None or error.run_state is not RunState.NOT_RUN:
            self.error = error


class DispatchService:
    """Calls the least busy endpoint, and on failure another one if that is allowed.

    A call that is not idempotent is sent at most once: another endpoint is tried only
    if no connection was made to the previous one.

    Parameters
    ----------
    pause : callable
        Sleeps for the given seconds between the attempts of an idempotent call.
    """

    def __init__(
        self, slots: Slots, clock: Clock, pause: Callable[[float], None] = time.sleep
    ) -> None:
        self.slots = slots
        self.clock = clock
        self.pause = pause

    def __call__(self, exchange: Exchange) -> CallerResponse:
        """Send the call and return the whole response of the service."""
        attempts = _Attempts()
        try:
            self._try_endpoints(exchange, _call(exchange), attempts)
        except UnavailableError:
            # This error says "not run", which is true only if nothing has been sent.
            if not exchange.is_sent:
                raise
        return self._final_response(attempts)

    def _try_endpoints(
        self, exchange: Exchange, call: ServiceCall, attempts: _Attempts
    ) -> None:
        while self._may_try_endpoint(exchange, attempts):
            if self._attempt(exchange, call, attempts):
                return
            if call.is_idempotent:
                self._pause_before_retry(exchange)

    def _attempt(
        self, exchange: Exchange, call: ServiceCall, attempts: _Attempts
    ) -> bool:
        """Return whether the response is final, so that no other endpoint is tried."""
        exchange.check_caller(_STEP)
        with self.slots.acquire(_slot_request(exchange, attempts)) as slot:
            exchange.check_caller(_STEP)
            exchange.endpoint = slot.endpoint.name
            attempts.excluded.add(slot.endpoint.name)
            service = self.slots.service(slot.endpoint)
            timeout_s = self._timeout_s(exchange, attempts)
            was_sent = exchange.is_sent
            exchange.is_sent = True
            try:
                attempts.response = service.call(call, timeout_s=timeout_s)
            except PeerConnectError as connect_error:
                exchange.is_sent = was_sent
                slot.mark_failed()
                attempts.record_error(connect_error)
                return False
            except PeerError as error:
                slot.mark_failed()
                if not call.is_idempotent:
                    raise
                attempts.record_error(error)
                return False
        return (
            not call.is_idempotent
            or attempts.response.status not in _RETRYABLE_STATUSES
        )

    def _final_response(self, attempts: _Attempts) -> CallerResponse:
        if attempts.response is not None:
            response = attempts.response
            return CallerResponse(
                response.status, response.content_type, [response.body]
            )
        if attempts.error is None:
            raise UnavailableError(
                'the group has no endpoint', step=_STEP, retry_after_s=_RETRY_AFTER_S
            )
        attempts.error.retry_after_s = _RETRY_AFTER_S
        raise attempts.error

    def _may_try_endpoint(self, exchange: Exchange, attempts: _Attempts) -> bool:
        return len(attempts.excluded) < _endpoint_count(exchange) and (
            not attempts.excluded or self._remaining_s(exchange) > _MIN_TIMEOUT_S
        )

    def _timeout_s(self, exchange: Exchange, attempts: _Attempts) -> float:
        """Return an equal share of the remaining time for each endpoint not yet tried.

        A call that is not idempotent gets all of it.
        """
        remaining_s = self._remaining_s(exchange)
        if remaining_s < _MIN_TIMEOUT_S:
            raise DeadlineError(
                'the deadline has passed', step=_STEP, retry_after_s=_RETRY_AFTER_S
            )
        is_idempotent = exchange.route is not None and exchange.route.is_idempotent
        untried = _endpoint_count(exchange) - len(attempts.excluded)
        return remaining_s / (untried + 1) if is_idempotent else remaining_s

    def _pause_before_retry(self, exchange: Exchange) -> None:
        max_pause_s = min(_MAX_RETRY_PAUSE_S, self._remaining_s(exchange))
        self.pause(random.uniform(0, max(0, max_pause_s)))  # noqa: S311

    def _remaining_s(self, exchange: Exchange) -> float:
        return exchange.request.deadline - self.clock()


def _endpoint_count(exchange: Exchange) -> int:
    if exchange.group is None:
        raise NotFoundError(
            'the endpoint group is no longer in the configuration', step=_STEP
        )
    return len(exchange.group.endpoints)


def _call(exchange: Exchange) -> ServiceCall:
    request = exchange.request
    return ServiceCall(
        request.request_id,
        request.method,
        request.path,
        request.body,
        request.content_type,
        exchange.route is not None and exchange.route.is_idempotent,
        request.idempotency_key,
    )


def _slot_request(exchange: Exchange, attempts: _Attempts) -> SlotRequest:
    workspace = exchange.workspace
    if exchange.group is None:
        raise NotFoundError(
            'the endpoint group is no longer in the configuration', step=_STEP
        )
    return SlotRequest(
        exchange.request.request_id,
        exchange.group,
        None,
        workspace.name if workspace else '',
        exchange.cost_tokens,
        is_urgent=workspace is not None and workspace.is_urgent,
        deadline=exchange.request.deadline,
        excluded=frozenset(attempts.excluded),
    )
