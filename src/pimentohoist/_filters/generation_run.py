"""Runs a generation to its end, with as many attempts as the retry rules allow.

A generation is idempotent: the engine returns the same tokens for the same request, so an
interrupted response is resumed after the last token that was sent to the caller.
"""

from __future__ import annotations

import contextlib
import logging
from collections.abc import Generator, Iterator, Sequence
from concurrent.futures import Future, ThreadPoolExecutor, wait
from dataclasses import replace

from pimentohoist._decisions.quarantine import CRASH_REPORT_TIMEOUT_S, QuarantineStatus
from pimentohoist._decisions.retry_budget import retry_delay_s
from pimentohoist._decisions.token_order import ChunkVerdict, TokenOrder
from pimentohoist._filters.failure_classification import (
    combined_run_state,
    is_connection_lost,
    is_engine_down,
    is_retryable,
)
from pimentohoist._filters.retry_dependencies import RetryDependencies
from pimentohoist._filters.slot_acquirer import SlotAcquirer
from pimentohoist.exceptions import (
    PeerConnectError,
    PeerError,
    PeerTimeoutError,
    PimentohoistError,
    QuarantinedError,
    RunState,
    WrongAnswerError,
)
from pimentohoist.exchanges import Exchange, SlotRequest
from pimentohoist.models import Generation, TokenChunk
from pimentohoist.protocols import Slot

Batches = Generator[Sequence[TokenChunk], None, None]

_STEP = 'retry'
_READ_TIMEOUT_S = 10.0
_MIN_TIMEOUT_S = 0.001
_CHECK_INTERVAL_S = 0.25
_logger = logging.getLogger(__name__)


class GenerationRun:
    """One generation for a caller, over all its attempts.

    Attributes
    ----------
    token_order : TokenOrder
        Tokens that were passed on to the caller so far.
    attempts : int
        Number of attempts begun.
    run_state : RunState
        Run state of all attempts together.
    """

    def __init__(
        self,
        exchange: Exchange,
        slot_request: SlotRequest,
        generation: Generation,
        dependencies: RetryDependencies,
    ) -> None:
        self.exchange = exchange
        self.slot_request = slot_request
        self.generation = generation
        self.dependencies = dependencies
        self.token_order = TokenOrder(generation.adapter)
        self.attempts = 0
        self.run_state = RunState.NOT_RUN
        self.fingerprint = str(exchange.annotations.get('fingerprint', ''))
        self.slot_acquirer = SlotAcquirer(slot_request, self.fingerprint, dependencies)

    def batches(self) -> Batches:
        """Yield each token once and in order, in batches as received.

        Yields empty batches while it waits, so that the reader can end it in time.

        Raises
        ------
        PimentohoistError
            The response can't be completed; the run state is that of all attempts.
        """
        self.dependencies.retry_budget.record_request()
        while not self.token_order.is_finished:
            try:
                yield from self._attempt()
            except PimentohoistError as error:
                self._prepare_retry(error)
        if self.fingerprint:
            self.dependencies.crash_reports.report_success(self.fingerprint)

    def _attempt(self) -> Iterator[Sequence[TokenChunk]]:
        self.attempts += 1
        timing = self.exchange.timing
        wait_started_at = self.dependencies.clock()
        self.exchange.check_caller(_STEP)
        slot = yield from self._acquire_in_background()
        acquired_at = self.dependencies.clock()
        timing.slot_wait_s += acquired_at - wait_started_at
        self.exchange.endpoint = slot.endpoint.name
        with slot:
            self.exchange.check_caller(_STEP)
            try:
                yield from self._read_answer(slot)
            except PeerError as error:
                self._record_failure(error, slot)
                raise
            finally:
                timing.slot_s += self.dependencies.clock() - acquired_at

    def _acquire_in_background(self) -> Generator[Sequence[TokenChunk], None, Slot]:
        """Acquire a slot, in another thread if the response has begun.

        A begun response can then be ended while it waits for the slot.
        """
        if not self.token_order.next_offset:
            return self.slot_acquirer.acquire(self._attempt_id())
        pool = ThreadPoolExecutor(1, thread_name_prefix=_STEP)
        acquired = pool.submit(self.slot_acquirer.acquire, self._attempt_id())
        pool.shutdown(wait=False)
        try:
            while not wait((acquired,), _CHECK_INTERVAL_S).done:
                yield ()
        except GeneratorExit:
            acquired.add_done_callback(_release_unused_slot)
            raise
        return acquired.result()

    def _read_answer(self, slot: Slot) -> Iterator[Sequence[TokenChunk]]:
        engine = self.dependencies.slots.engine(slot.endpoint)
        request_id = self._attempt_id()
        generation = replace(
            self.generation,
            request_id=request_id,
            resume_offset=self.token_order.next_offset,
        )
        readiness = self.exchange.readiness
        parts = engine.generate(generation, readiness, timeout_s=self._timeout_s())
        try:
            yield from self._forward(parts, slot)
        except PimentohoistError:
            # The next steps may block, so they must not run in the thread of the relay.
            readiness.clear()
            yield ()
            raise
        finally:
            _close_stream(parts)
            if not self.token_order.is_finished:
                self.dependencies.cancellations.cancel(engine, request_id)

    def _forward(
        self, parts: Iterator[Sequence[TokenChunk]], slot: Slot
    ) -> Iterator[Sequence[TokenChunk]]:
        request_id = self._attempt_id()
        for batch in parts:
            self.exchange.check_caller(_STEP)
            if batch:
                yield self._accept_batch(batch, request_id, slot)
            else:
                yield batch
        if not self.token_order.is_finished:
            raise PeerError(
                'the response ended before its last token',
                step=_STEP,
                peer=slot.endpoint.address,
            )

    def _accept_batch(
        self, batch: Sequence[TokenChunk], request_id: str, slot: Slot
    ) -> Sequence[TokenChunk]:
        """Return the tokens of a batch that continue the response, and count them."""
        accepted = []
        for chunk in batch:
            if self._is_next(chunk, request_id, slot):
                self.token_order = self.token_order.after(chunk)
                accepted.append(chunk)
        if accepted:
            self.exchange.used_tokens = self.token_order.next_offset
            self.exchange.timing.record_tokens(len(accepted), self.dependencies.clock())
        return accepted

    def _is_next(self, chunk: TokenChunk, request_id: str, slot: Slot) -> bool:
        match self.token_order.check(chunk, request_id):
            case ChunkVerdict.PASS:
                return True
            case ChunkVerdict.REPEATED:
                return False
            case verdict:
                raise WrongAnswerError(
                    f'{verdict.value} token: {chunk.request_id} on {chunk.adapter}, '
                    f'offset {chunk.offset}, expected {self.token_order.next_offset}',
                    step=_STEP,
                    peer=slot.endpoint.address,
                )

    def _record_failure(self, error: PeerError, slot: Slot) -> None:
        """Record a failure of the endpoint, or of the connection alone."""
        name = slot.endpoint.name
        if self.token_order.is_finished:
            return
        # A first time-out or foreign response may be due to the connection; the next
        # attempt uses a new one.
        is_certain = not isinstance(error, PeerTimeoutError | WrongAnswerError)
        self.slot_acquirer.record_failure(name, is_certain=is_certain)
        if is_certain:
            slot.mark_failed()
        if is_connection_lost(error) and is_engine_down(
            self.dependencies.slots.engine(slot.endpoint)
        ):
            self._record_crash(slot)

    def _record_crash(self, slot: Slot) -> None:
        if not self.fingerprint:
            return
        name = slot.endpoint.name
        quarantine_status = self.dependencies.crash_reports.report_crash(
            self.fingerprint, name
        )
        if quarantine_status is QuarantineStatus.QUARANTINED:
            raise QuarantinedError(
                'the request was running on two endpoints when they crashed',
                step=_STEP,
                peer=name,
            )

    def _prepare_retry(self, error: PimentohoistError) -> None:
        """Wait until the next attempt may start, or raise the error as final."""
        self.run_state = combined_run_state(
            self.run_state, error, self.token_order.next_offset
        )
        error.run_state = self.run_state
        if self.token_order.is_finished:
            return
        delay_s = self._retry_delay_s(error)
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
                'resume_offset': self.token_order.next_offset,
            },
        )
        self.dependencies.sleep(delay_s)

    def _retry_delay_s(self, error: PimentohoistError) -> float | None:
        if not is_retryable(error):
            return None
        delay_s = retry_delay_s(
            self.attempts,
            self.dependencies.jitter(),
            self.dependencies.clock(),
            self.exchange.request.deadline,
        )
        if delay_s is None or not self.dependencies.retry_budget.try_take():
            return None
        if isinstance(error, PeerConnectError):
            # A copy of this request may just have crashed the endpoint; after this delay
            # that crash has been reported.
            return max(delay_s, CRASH_REPORT_TIMEOUT_S)
        return delay_s

    def _attempt_id(self) -> str:
        """Return the id of the attempt; it identifies late responses to others."""
        request_id = self.generation.request_id
        return request_id if self.attempts == 1 else f'{request_id}.{self.attempts}'

    def _timeout_s(self) -> float:
        remaining_s = self.exchange.request.deadline - self.dependencies.clock()
        return min(_READ_TIMEOUT_S, max(_MIN_TIMEOUT_S, remaining_s))


def _release_unused_slot(acquired: Future[Slot]) -> None:
    """Release a slot that was acquired after its request had ended."""
    if acquired.exception() is None:
        with acquired.result():
            _logger.debug('unused slot released')


def _close_stream(parts: Iterator[Sequence[TokenChunk]]) -> None:
    if isinstance(parts, Generator):
        with contextlib.suppress(PeerError):
            parts.close()
