"""Runs a generation to its end, over as many attempts as the retry rules allow.

A generation is idempotent: the engine gives the same tokens for the same request, so a
cut answer is resumed after the last token that the caller was given.
"""

from __future__ import annotations

import contextlib
import logging
from collections.abc import Generator, Iterator, Sequence
from concurrent.futures import Future, ThreadPoolExecutor, wait
from dataclasses import replace

from pimentohoist._decisions.quarantine import CRASH_REPORT_TIMEOUT_S, QuarantineStatus
from pimentohoist._decisions.retry_budget import retry_delay_s
from pimentohoist._decisions.token_order import TokenOrder, ChunkVerdict
from pimentohoist._filters.failures import combined, is_cut, is_down, is_retryable
from pimentohoist._filters.retry_tools import RetryDependencies
from pimentohoist._filters.slot_asking import SlotAcquirer
from pimentohoist.exceptions import (
    CallerDisconnectedError,
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
_CHECK_S = 0.25
_logger = logging.getLogger(__name__)


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
        tools: RetryDependencies,
    ) -> None:
        self.exchange = exchange
        self.slot_request = slot_request
        self.generation = generation
        self.tools = tools
        self.order = TokenOrder(generation.adapter)
        self.attempts = 0
        self.run_state = RunState.NOT_RUN
        self.fingerprint = str(exchange.annotations.get('fingerprint', ''))
        self.asking = SlotAcquirer(slot_request, self.fingerprint, tools)

    def batches(self) -> Batches:
        """Yield each token once, in order, as many together as have come.

        Yields none while it waits, so that who reads it can end it in time.

        Raises
        ------
        PimentohoistError
            The answer can't be completed; its run state holds for all attempts.
        """
        self.tools.counter.record_request()
        while not self.order.is_finished:
            try:
                yield from self._attempt()
            except PimentohoistError as error:
                self._recover(error)
        if self.fingerprint:
            self.tools.crashes.report_success(self.fingerprint)

    def _attempt(self) -> Iterator[Sequence[TokenChunk]]:
        self.attempts += 1
        timing = self.exchange.timing
        asked_at = self.tools.clock()
        slot = yield from self._acquire_beside()
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

    def _acquire_beside(self) -> Generator[Sequence[TokenChunk], None, Slot]:
        """Acquire a slot; under a begun answer in another thread.

        The answer can then be ended while the slot is waited for.
        """
        if not self.order.next_offset:
            return self.asking.acquire(self._attempt_id())
        pool = ThreadPoolExecutor(1, thread_name_prefix=_STEP)
        acquired = pool.submit(self.asking.acquire, self._attempt_id())
        pool.shutdown(wait=False)
        try:
            while not wait((acquired,), _CHECK_S).done:
                yield ()
        except GeneratorExit:
            acquired.add_done_callback(_give_back)
            raise
        return acquired.result()

    def _read(self, slot: Slot) -> Iterator[Sequence[TokenChunk]]:
        engine = self.tools.slots.engine(slot.endpoint)
        request_id = self._attempt_id()
        generation = replace(
            self.generation,
            request_id=request_id,
            resume_offset=self.order.next_offset,
        )
        readiness = self.exchange.readiness
        parts = engine.generate(generation, readiness, timeout_s=self._timeout_s())
        try:
            yield from self._pass_on(parts, slot)
        except PimentohoistError:
            # What follows may block.
            readiness.clear()
            yield ()
            raise
        finally:
            _close(parts)
            if not self.order.is_finished:
                self.tools.cancellations.cancel(engine, request_id)

    def _pass_on(
        self, parts: Iterator[Sequence[TokenChunk]], slot: Slot
    ) -> Iterator[Sequence[TokenChunk]]:
        request_id = self._attempt_id()
        for batch in parts:
            if self.exchange.is_cancelled():
                raise CallerDisconnectedError('the caller has gone', step=_STEP)
            if batch:
                yield self._record(batch, request_id, slot)
            else:
                yield batch
        if not self.order.is_finished:
            raise PeerError(
                'the answer ended early', step=_STEP, peer=slot.endpoint.address
            )

    def _record(
        self, batch: Sequence[TokenChunk], request_id: str, slot: Slot
    ) -> Sequence[TokenChunk]:
        """Return those tokens of a batch that are next, and count them."""
        passed = []
        for chunk in batch:
            if self._is_next(chunk, request_id, slot):
                self.order = self.order.after(chunk)
                passed.append(chunk)
        if passed:
            self.exchange.used_tokens = self.order.next_offset
            self.exchange.timing.record_tokens(len(passed), self.tools.clock())
        return passed

    def _is_next(self, chunk: TokenChunk, request_id: str, slot: Slot) -> bool:
        match self.order.check(chunk, request_id):
            case ChunkVerdict.PASS:
                return True
            case ChunkVerdict.REPEATED:
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
        # The first time-out or foreign answer may be the connection's; the next attempt
        # uses a new one.
        is_certain = not isinstance(error, PeerTimeoutError | WrongAnswerError)
        self.asking.record_failure(name, is_certain=is_certain)
        if is_certain:
            slot.mark_failed()
        if is_cut(error) and is_down(self.tools.slots.engine(slot.endpoint)):
            self._record_crash(slot)

    def _record_crash(self, slot: Slot) -> None:
        if not self.fingerprint:
            return
        name = slot.endpoint.name
        quarantine_status = self.tools.crashes.report_crash(self.fingerprint, name)
        if quarantine_status is QuarantineStatus.QUARANTINED:
            raise QuarantinedError(
                'the request was running at two crashes of endpoints',
                step=_STEP,
                peer=name,
            )

    def _recover(self, error: PimentohoistError) -> None:
        """Wait for the next attempt, or raise the error as final."""
        self.run_state = combined(self.run_state, error, self.order.next_offset)
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
        if not is_retryable(error):
            return None
        delay_s = retry_delay_s(
            self.attempts,
            self.tools.jitter(),
            self.tools.clock(),
            self.exchange.request.deadline,
        )
        if delay_s is None or not self.tools.counter.take():
            return None
        if isinstance(error, PeerConnectError):
            # A copy of this request may just have crashed the endpoint; by then that is
            # told.
            return max(delay_s, CRASH_REPORT_TIMEOUT_S)
        return delay_s

    def _attempt_id(self) -> str:
        """Return the id of the attempt, so that a late answer to another differs."""
        request_id = self.generation.request_id
        return request_id if self.attempts == 1 else f'{request_id}.{self.attempts}'

    def _timeout_s(self) -> float:
        remaining_s = self.exchange.request.deadline - self.tools.clock()
        return min(_READ_TIMEOUT_S, max(_MIN_TIMEOUT_S, remaining_s))


def _give_back(acquired: Future[Slot]) -> None:
    """Give a slot back that came when nobody waited for it any more."""
    if acquired.exception() is None:
        with acquired.result():
            _logger.debug('slot not used any more')


def _close(parts: Iterator[Sequence[TokenChunk]]) -> None:
    if isinstance(parts, Generator):
        with contextlib.suppress(PeerError):
            parts.close()
