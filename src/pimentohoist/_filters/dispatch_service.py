"""Sends a call to a plain service and gives its answer back."""

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
from pimentohoist.models import ServiceResponse, ServiceCall
from pimentohoist.protocols import Clock, Slots

_STEP = 'dispatch_service'
_MIN_TIMEOUT_S = 0.001
_RETRY_AFTER_S = 1.0
_MAX_PAUSE_S = 0.1
_FAILED_STATUSES = frozenset(
    (
        HTTPStatus.BAD_GATEWAY,
        HTTPStatus.SERVICE_UNAVAILABLE,
        HTTPStatus.GATEWAY_TIMEOUT,
    )
)


@dataclass(slots=True)
class _Attempts:
    """What came of one exchange so far."""

    excluded: set[str] = field(default_factory=set)
    error: PeerError | None = None
    answer: ServiceResponse | None = None

    def keep(self, error: PeerError) -> None:
        """Keep the error, unless it says "not run" and an earlier one doesn't."""
        if self.error is None or error.run_state is not RunState.NOT_RUN:
            self.error = error


class ServiceDispatch:
    """Calls the least busy endpoint, and another one where that is allowed.

    A call that may not be repeated is sent once: another endpoint is tried only if no
    connection was made to the one before.

    Parameters
    ----------
    pause : callable
        Sleeps for the given seconds; between attempts of idempotent calls.
    """

    def __init__(
        self, slots: Slots, clock: Clock, pause: Callable[[float], None] = time.sleep
    ) -> None:
        self.slots = slots
        self.clock = clock
        self.pause = pause

    def __call__(self, exchange: Exchange) -> CallerResponse:
        """Send the call and return the service's whole answer."""
        attempts = _Attempts()
        try:
            self._run(exchange, _call(exchange), attempts)
        except UnavailableError:
            # It says that nothing ran, which holds only before the first attempt.
            if not exchange.is_sent:
                raise
        return self._last_answer(attempts)

    def _run(self, exchange: Exchange, call: ServiceCall, attempts: _Attempts) -> None:
        while self._has_endpoint_left(exchange, attempts):
            if self._attempt(exchange, call, attempts):
                return
            if call.is_idempotent:
                self._wait(exchange)

    def _attempt(
        self, exchange: Exchange, call: ServiceCall, attempts: _Attempts
    ) -> bool:
        """Return whether the answer is final, so that no other endpoint is tried."""
        with self.slots.acquire(_slot_request(exchange, attempts)) as slot:
            exchange.endpoint = slot.endpoint.name
            attempts.excluded.add(slot.endpoint.name)
            service = self.slots.service(slot.endpoint)
            timeout_s = self._timeout_s(exchange, attempts)
            was_sent = exchange.is_sent
            exchange.is_sent = True
            try:
                attempts.answer = service.call(call, timeout_s=timeout_s)
            except PeerConnectError as connect_error:
                exchange.is_sent = was_sent
                slot.mark_failed()
                attempts.keep(connect_error)
                return False
            except PeerError as error:
                slot.mark_failed()
                if not call.is_idempotent:
                    raise
                attempts.keep(error)
                return False
        return not call.is_idempotent or attempts.answer.status not in _FAILED_STATUSES

    def _last_answer(self, attempts: _Attempts) -> CallerResponse:
        if attempts.answer is not None:
            reply = attempts.answer
            return CallerResponse(reply.status, reply.content_type, [reply.body])
        if attempts.error is None:
            raise UnavailableError(
                'the group has no endpoint', step=_STEP, retry_after_s=_RETRY_AFTER_S
            )
        attempts.error.retry_after_s = _RETRY_AFTER_S
        raise attempts.error

    def _has_endpoint_left(self, exchange: Exchange, attempts: _Attempts) -> bool:
        return len(attempts.excluded) < _endpoint_count(exchange) and (
            not attempts.excluded or self._remaining_s(exchange) > _MIN_TIMEOUT_S
        )

    def _timeout_s(self, exchange: Exchange, attempts: _Attempts) -> float:
        """Return an equal share of what is left for each endpoint not yet tried."""
        remaining_s = self._remaining_s(exchange)
        if remaining_s < _MIN_TIMEOUT_S:
            raise DeadlineError(
                'the deadline has passed', step=_STEP, retry_after_s=_RETRY_AFTER_S
            )
        is_idempotent = exchange.route is not None and exchange.route.is_idempotent
        untried = _endpoint_count(exchange) - len(attempts.excluded)
        return remaining_s / (untried + 1) if is_idempotent else remaining_s

    def _wait(self, exchange: Exchange) -> None:
        max_pause_s = min(_MAX_PAUSE_S, self._remaining_s(exchange))
        self.pause(random.uniform(0, max(0, max_pause_s)))  # noqa: S311

    def _remaining_s(self, exchange: Exchange) -> float:
        return exchange.request.deadline - self.clock()


def _endpoint_count(exchange: Exchange) -> int:
    if exchange.group is None:
        raise NotFoundError('the endpoint group is gone', step=_STEP)
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
        raise NotFoundError('the endpoint group is gone', step=_STEP)
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
