"""The search of one request for an engine that has, or loads, its adapter."""

from __future__ import annotations

import logging
from dataclasses import dataclass

from pimentohoist import _clock
from pimentohoist._decisions.waiting_order import (
    ExpectedWork,
    RefusalReason,
    RequestNeeds,
)
from pimentohoist._decisions.waiting_places import WaitingPlaces
from pimentohoist._entry.request_context import RequestContext, log_fields
from pimentohoist._entry.waiting_metrics import SearchOutcome
from pimentohoist.entry_models import AdapterKey
from pimentohoist.exceptions import (
    NotOwnerError,
    PeerError,
    PimentohoistError,
    WaitRefusedError,
)

_SLICE_S = 0.5
"""Longest wait at an owner by one call. Afterwards the request may wait elsewhere; so long
an owner that froze, or a caller that left, goes unnoticed."""

_MAX_SLICES = 3
"""Slices after which all engines are asked again, since another one may have the adapter or a
free adapter slot meanwhile."""

_WAITED_SHARE = 0.8
"""A call that took this share of its wait, or more, has waited."""

_MAX_EVENT_GAP_S = 1.0
"""Callers leave a stream after 2 s without an event, and reading the prompt takes time."""

_EVENT_GAP_TARGET_S = 0.5
"""A pause beyond this makes a stream late."""

_MS_PER_S = 1000
_MIN_WAIT_S = 0.001
"""A call without a wait would only prepare the adapter."""

NO_OWNER_ERRORS = (NotOwnerError, PeerError)

_logger = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class HoldAttempt:
    """One call to an engine's owner.

    Attributes
    ----------
    wait_s : float
        Longest wait in seconds.
    fail_fast : bool
        Refuse at once if no load can begin.
    """

    endpoint_id: str
    wait_s: float
    fail_fast: bool
    began_at: float


class AdapterSearch:
    """What a request needs of the owners of engines, and what they have answered.

    Attributes
    ----------
    places : WaitingPlaces
        Engines of this round at which the request may wait.
    holders : frozenset of str
        Ids of the engines that probably have the adapter.
    began_at, wait_until : float
        Times of `_clock.now` in seconds at which the search began, and from which on no
        response, or no next event, can begin in time.
    """

    def __init__(self, context: RequestContext) -> None:
        self.context = context
        self.adapter = context.request.adapter or AdapterKey('')
        self.places = WaitingPlaces(())
        self.holders: frozenset[str] = frozenset()
        self.began_at = _clock.now()
        self.needs = _needs(context, self.began_at)
        self.wait_until = _wait_until(context, self.needs, self.began_at)
        self._slices_left = 0
        self._has_queued = False

    def begin_round(self, ordered: list[str], holders: frozenset[str]) -> None:
        """Ask the owners of these engines, the most suitable first."""
        self.places = WaitingPlaces(ordered)
        self.holders = holders
        self._slices_left = _MAX_SLICES

    def end_at_target(self) -> None:
        """Search no longer than until the latency target.

        Endpoints that fall over when they are full have room for few requests: one that
        has waited for its adapter would often find none.
        """
        self.wait_until = min(self.wait_until, self.needs.target_at)

    def is_over(self) -> bool:
        """Return whether the request was cancelled, or can't be served in time."""
        is_cancelled = self.context.monitored.check_caller()
        return is_cancelled or _clock.now() >= self.wait_until

    def ask_at_once(self, endpoint_id: str) -> HoldAttempt:
        """Return a call that waits only if the adapter is loaded or its load begins."""
        return self._attempt(endpoint_id, fail_fast=True)

    def next_wait(self) -> HoldAttempt | None:
        """Return a call that waits, at the engine with the shortest expected wait.

        Returns
        -------
        HoldAttempt or None
            None if the round has ended, or waiting is useless at all engines.
        """
        place = self.places.next_place()
        if place is None or not self._slices_left:
            return None
        self._slices_left -= 1
        self._has_queued = True
        return self._attempt(place, fail_fast=False)

    def record_failure(self, attempt: HoldAttempt, error: PimentohoistError) -> None:
        """Record that an engine's owner didn't pin the adapter, or wasn't reached."""
        self.context.failure = error
        endpoint_id = attempt.endpoint_id
        self.places.record_wait(endpoint_id, error.retry_after_s)
        waited_s = _clock.now() - attempt.began_at
        has_waited = waited_s >= _WAITED_SHARE * attempt.wait_s
        is_useless = isinstance(error, (WaitRefusedError, *NO_OWNER_ERRORS))
        if has_waited and not is_useless:
            return
        extra = {**log_fields(self.context), 'endpoint': endpoint_id}
        _logger.info('adapter not available on engine: %s', error, extra=extra)
        if not attempt.fail_fast:
            self.places.record_failure(endpoint_id)
        elif is_useless:
            self.places.drop(endpoint_id)

    def end(self, *, is_served: bool) -> SearchOutcome:
        """Log how the search ended, unless an engine was found without waiting."""
        now = _clock.now()
        outcome = SearchOutcome(
            self.needs.priority,
            now - self.began_at,
            '' if is_served else self._refusal_reason(),
            0 if is_served else self.needs.loss_at(now),
        )
        if self._has_queued or not is_served:
            extra = {
                **log_fields(self.context),
                'adapter': str(self.adapter),
                'priority': outcome.priority,
                'waited_ms': round(outcome.waited_s * _MS_PER_S),
                'reason': outcome.reason,
                'expected_loss': round(outcome.expected_loss, 2),
            }
            verdict = 'served' if is_served else 'refused'
            _logger.info('request waited for its adapter: %s', verdict, extra=extra)
        return outcome

    def _refusal_reason(self) -> str:
        if self.context.monitored.is_cancelled:
            return 'cancelled'
        if _clock.now() >= self.wait_until:
            return RefusalReason.DEADLINE
        if isinstance(self.context.failure, WaitRefusedError):
            return self.context.failure.reason
        has_no_owner = isinstance(self.context.failure, NO_OWNER_ERRORS)
        return 'no owner' if has_no_owner else 'no engine'

    def _attempt(self, endpoint_id: str, *, fail_fast: bool) -> HoldAttempt:
        now = _clock.now()
        wait_s = max(_MIN_WAIT_S, min(_SLICE_S, self.wait_until - now))
        return HoldAttempt(endpoint_id, wait_s, fail_fast, now)


def _needs(context: RequestContext, now: float) -> RequestNeeds:
    request = context.request
    output_tokens = request.output_tokens or 0
    prompt_tokens = max(0, (request.tokens or 0) - output_tokens)
    has_begun = context.stream_version is not None
    target_at = request.arrived_at + context.route.latency_target_s
    if has_begun:
        # The latency target says nothing of a stream that has begun; its caller waits for
        # the next event.
        target_at = now + _EVENT_GAP_TARGET_S
    return RequestNeeds(
        context.priority,
        target_at,
        context.monitored.deadline,
        ExpectedWork(prompt_tokens, output_tokens),
        context.workspace.name if context.workspace else '',
        prompt_tokens if has_begun else 0,
    )


def _wait_until(context: RequestContext, needs: RequestNeeds, now: float) -> float:
    until = needs.deadline_at - needs.work.first_event_s
    if context.stream_version is not None:
        return min(until, now + _MAX_EVENT_GAP_S)
    return until
