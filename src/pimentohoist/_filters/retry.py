"""Runs a generation to its end, over as many attempts as the retry rules allow.

A generation is idempotent: the engine gives the same tokens for the same request, so a
cut answer is resumed after the last token that the caller was given.
"""

from __future__ import annotations

import contextlib
import logging
import random
import threading
import time
from collections.abc import Callable, Generator, Iterator
from dataclasses import dataclass, field, replace
from http import HTTPStatus
from typing import Any, Protocol, Self

from pimentohoist._controllers.cancellations import CancellationsController
from pimentohoist._decisions.quarantine import Standing
from pimentohoist._decisions.retry_budget import RetryBudget, retry_delay_s
from pimentohoist._decisions.token_order import TokenOrder, Verdict
from pimentohoist.exceptions import (
    CallerDisconnectedError,
    PeerConnectError,
    PeerError,
    PeerRefusedError,
    PeerTimeoutError,
    PimentohoistError,
    QuarantinedError,
    RunState,
    WrongAnswerError,
)
from pimentohoist.exchanges import Exchange, SlotRequest
from pimentohoist.models import Generation, TokenChunk
from pimentohoist.protocols import Clock, Engine, Slot, Slots

_STEP = 'retry'
_READ_TIMEOUT_S = 10.0
_SHORTEST_TIMEOUT_S = 0.001
_FAILURES_TO_AVOID = 2
_FINAL_STATUSES = frozenset(
    (
        HTTPStatus.BAD_REQUEST,
        HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
        HTTPStatus.UNPROCESSABLE_ENTITY,
    )
)
_logger = logging.getLogger(__name__)


class CrashReports(Protocol):
    """What is known fleet-wide of requests that crash endpoints."""

    def standing(self, fingerprint: str) -> Standing:
        """Return what is known of a request."""

    def report_crash(self, fingerprint: str, endpoint: str) -> Standing:
        """Tell all daemons of a crash; return what is known then."""

    def report_success(self, fingerprint: str) -> None:
        """Tell all daemons that a suspect ran to its end."""


class RetryCounter:
    """The daemon's retry budget, shared by its requests."""

    def __init__(self) -> None:
        self.budget = RetryBudget()
        self.requests = 0
        self.retries = 0
        self.refused_retries = 0
        self._lock = threading.Lock()

    def __enter__(self) -> Self:
        """Start."""
        return self

    def __exit__(self, *exc_info: object) -> None:
        """Stop."""

    def note_request(self) -> None:
        """Add the credit of a request."""
        with self._lock:
            self.requests += 1
            self.budget = self.budget.after_request()

    def take(self) -> bool:
        """Return whether a retry may be made, and count it."""
        with self._lock:
            left = self.budget.after_retry()
            if left is None:
                self.refused_retries += 1
                return False
            self.budget = left
            self.retries += 1
            return True

    def dump(self) -> dict[str, Any]:
        """Return counts and credit."""
        with self._lock:
            return {
                'requests': self.requests,
                'retries': self.retries,
                'refused_retries': self.refused_retries,
                'credit_tenths': self.budget.units,
            }


@dataclass(frozen=True)
class RetryTools:
    """What every generation of a daemon uses.

    Attributes
    ----------
    sleep, jitter : callable
        Waits for seconds; returns a random number from 0 to 1.
    """

    slots: Slots
    cancellations: CancellationsController
    crashes: CrashReports
    clock: Clock
    counter: RetryCounter = field(default_factory=RetryCounter)
    sleep: Callable[[float], None] = time.sleep
    jitter: Callable[[], float] = random.random


class GenerationRun:
    """One caller's generation.

    Attributes
    ----------
    order : TokenOrder
        What the caller was given so far.
    attempts : int
        Attempts begun.
    run_state : RunState
        What is known of all attempts together.
    """

    def __init__(
        self,
        exchange: Exchange,
        slot_request: SlotRequest,
        generation: Generation,
        tools: RetryTools,
    ) -> None:
        self.exchange = exchange
        self.slot_request = slot_request
        self.generation = generation
        self.tools = tools
        self.order = TokenOrder(generation.adapter)
        self.attempts = 0
        self.run_state = RunState.NOT_RUN
        self.fingerprint = str(exchange.facts.get('fingerprint', ''))
        self._failures: dict[str, int] = {}

    def chunks(self) -> Generator[TokenChunk, None, None]:
        """Yield each token once, in order.

        Raises
        ------
        PimentohoistError
            The answer can't be completed; its run state holds for all attempts.
        """
        self.tools.counter.note_request()
        while not self.order.is_finished:
            try:
                yield from self._attempt()
            except PimentohoistError as error:
                self._recover(error)
        if self.fingerprint:
            self.tools.crashes.report_success(self.fingerprint)

    def _attempt(self) -> Iterator[TokenChunk]:
        self.attempts += 1
        timing = self.exchange.timing
        asked_at = self.tools.clock()
        slot = self._acquire()
        held_at = self.tools.clock()
        timing.slot_wait_s += held_at - asked_at
        self.exchange.endpoint = slot.endpoint.name
        with slot:
            try:
                yield from self._read(slot)
            except PeerError as error:
                self._blame(error, slot)
                raise
            finally:
                timing.slot_s += self.tools.clock() - held_at

    def _acquire(self) -> Slot:
        blamed = {
            name
            for name, count in self._failures.items()
            if count >= _FAILURES_TO_AVOID
        }
        request = replace(
            self.slot_request,
            request_id=self._attempt_id(),
            excluded=self.slot_request.excluded | blamed,
            is_alone=self._standing() is Standing.SUSPECT,
        )
        try:
            return self.tools.slots.acquire(request)
        except PeerError as error:
            # A failed order to an endpoint has not run the request.
            error.run_state = RunState.NOT_RUN
            self._avoid(error.peer)
            raise

    def _avoid(self, address: str) -> None:
        for endpoint in self.slot_request.group.endpoints:
            if endpoint.address == address:
                self._failures[endpoint.name] = _FAILURES_TO_AVOID

    def _read(self, slot: Slot) -> Iterator[TokenChunk]:
        engine = self.tools.slots.engine(slot.endpoint)
        request_id = self._attempt_id()
        generation = replace(
            self.generation,
            request_id=request_id,
            resume_offset=self.order.next_offset,
        )
        parts = engine.generate(generation, timeout_s=self._timeout_s())
        try:
            yield from self._pass_on(parts, slot)
        finally:
            _close(parts)
            if not self.order.is_finished:
                self.tools.cancellations.cancel(engine, request_id)

    def _pass_on(self, parts: Iterator[TokenChunk], slot: Slot) -> Iterator[TokenChunk]:
        for chunk in parts:
            if self.exchange.is_cancelled():
                raise CallerDisconnectedError('the caller has gone', step=_STEP)
            if self._is_next(chunk, slot):
                self.order = self.order.after(chunk)
                self.exchange.used_tokens = self.order.next_offset
                self.exchange.timing.note_token(self.tools.clock())
                yield chunk
        if not self.order.is_finished:
            raise PeerError(
                'the answer ended early', step=_STEP, peer=slot.endpoint.address
            )

    def _is_next(self, chunk: TokenChunk, slot: Slot) -> bool:
        match self.order.judge(chunk, self._attempt_id()):
            case Verdict.PASS:
                return True
            case Verdict.REPEATED:
                return False
            case verdict:
                raise WrongAnswerError(
                    f'{verdict.value} token: {chunk.request_id} on {chunk.adapter}, '
                    f'offset {chunk.offset}, expected {self.order.next_offset}',
                    step=_STEP,
                    peer=slot.endpoint.address,
                )

    def _blame(self, error: PeerError, slot: Slot) -> None:
        """Decide whether the endpoint or only the connection has failed."""
        name = slot.endpoint.name
        if self.order.is_finished:
            return
        if isinstance(error, PeerTimeoutError | WrongAnswerError):
            # The first such failure may be the connection's; the next attempt uses a
            # new one.
            self._failures[name] = self._failures.get(name, 0) + 1
        else:
            self._failures[name] = _FAILURES_TO_AVOID
            slot.mark_failed()
        if _is_cut(error) and _is_down(self.tools.slots.engine(slot.endpoint)):
            self._note_crash(slot)

    def _note_crash(self, slot: Slot) -> None:
        if not self.fingerprint:
            return
        name = slot.endpoint.name
        standing = self.tools.crashes.report_crash(self.fingerprint, name)
        if standing is Standing.QUARANTINED:
            raise QuarantinedError(
                'the request was running at two crashes of endpoints',
                step=_STEP,
                peer=name,
            )

    def _recover(self, error: PimentohoistError) -> None:
        """Wait for the next attempt, or raise the error as final."""
        self.run_state = _combined(self.run_state, error, self.order.next_offset)
        error.run_state = self.run_state
        if self.order.is_finished:
            return
        delay_s = self._delay_s(error)
        if delay_s is None:
            self.exchange.timing.failure = error.code
            raise error
        _logger.info(
            'generation retried: %s',
            error.message,
            extra={
                'request_id': self.exchange.request.request_id,
                'step': error.step,
                'peer': error.peer,
                'attempt': self.attempts,
                'resume_offset': self.order.next_offset,
            },
        )
        self.tools.sleep(delay_s)

    def _delay_s(self, error: PimentohoistError) -> float | None:
        if not _is_retryable(error):
            return None
        delay_s = retry_delay_s(
            self.attempts,
            self.tools.jitter(),
            self.tools.clock(),
            self.exchange.request.deadline,
        )
        if delay_s is None or not self.tools.counter.take():
            return None
        return delay_s

    def _standing(self) -> Standing:
        if not self.fingerprint:
            return Standing.CLEAR
        return self.tools.crashes.standing(self.fingerprint)

    def _attempt_id(self) -> str:
        """Return the id of the attempt, so that a late answer to another differs."""
        request_id = self.generation.request_id
        return request_id if self.attempts == 1 else f'{request_id}.{self.attempts}'

    def _timeout_s(self) -> float:
        remaining_s = self.exchange.request.deadline - self.tools.clock()
        return min(_READ_TIMEOUT_S, max(_SHORTEST_TIMEOUT_S, remaining_s))


def _combined(earlier: RunState, error: PimentohoistError, tokens: int) -> RunState:
    states = {earlier, error.run_state}
    if tokens or RunState.RUN in states:
        return RunState.RUN
    return RunState.UNKNOWN if RunState.UNKNOWN in states else RunState.NOT_RUN


def _is_retryable(error: PimentohoistError) -> bool:
    if isinstance(error, PeerRefusedError):
        return error.peer_status not in _FINAL_STATUSES
    return isinstance(error, PeerError)


def _is_cut(error: PeerError) -> bool:
    """Return whether the peer ended the connection under a request that it had."""
    others = PeerConnectError | PeerTimeoutError | PeerRefusedError | WrongAnswerError
    return not isinstance(error, others)


def _is_down(engine: Engine) -> bool:
    try:
        engine.status()
    except (PeerRefusedError, PeerTimeoutError):
        return False
    except PeerError:
        return True
    return False


def _close(parts: Iterator[TokenChunk]) -> None:
    if isinstance(parts, Generator):
        with contextlib.suppress(PeerError):
            parts.close()
