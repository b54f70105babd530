"""Relays the events of a stream to the caller, resuming it at other engines."""

from __future__ import annotations

import logging
from collections.abc import Callable, Generator, Iterator

from pimentohoist._decisions.event_sequence import (
    EventSequence,
    EventSequenceError,
)
from pimentohoist._entry.connections import UpstreamExchange
from pimentohoist._entry.response_head import Framing
from pimentohoist._entry.event_stream import EventSplitter
from pimentohoist._entry.request_context import RequestContext, log_fields
from pimentohoist._limited_reader import ByteLimitError
from pimentohoist.exceptions import PeerError

ResumeStream = Callable[['StreamRelay', PeerError], UpstreamExchange]

_STEP = 'endpoint'

_logger = logging.getLogger(__name__)


class StreamRelay:
    """Relays one stream to a caller.

    Parameters
    ----------
    resume : callable
        Returns the exchange that continues after the last complete event, or raises
        StreamBrokenError.
    on_begun : callable
        Called once, when the stream goes on after its first events or ends.

    Attributes
    ----------
    has_begun : bool
        Whether the stream has gone on after its first events.
    """

    def __init__(
        self,
        context: RequestContext,
        exchange: UpstreamExchange,
        splitter: EventSplitter,
        resume: ResumeStream,
        on_begun: Callable[[], None],
    ) -> None:
        self.context = context
        self.exchange = exchange
        self.splitter = splitter
        self.resume = resume
        self.on_begun = on_begun
        self.has_begun = False
        self._has_events = False
        self._sequence: EventSequence | None = None

    def first_events(self) -> bytes:
        """Wait for the first events; raises PeerError if the stream breaks before them."""
        self._events = self._exchange_events()
        try:
            return next(self._events)
        except PeerError:
            # The error's traceback would keep the bytes until the next collection.
            self.splitter.discard()
            raise

    def events(self, first: bytes) -> Iterator[bytes]:
        """Yield the first events, then the remaining ones."""
        try:
            yield first
            yield from self._remaining_events()
        finally:
            self.exchange.close()
            self.context.run_cleanups()

    def _remaining_events(self) -> Iterator[bytes]:
        failure = yield from self._events_until_failure()
        while failure is not None:
            self.exchange.close()
            self.context.run_cleanups()
            self.splitter.discard()
            self.exchange = self.resume(self, failure)
            self._sequence = EventSequence(self.splitter.last_ids)
            self._events = self._exchange_events()
            failure = yield from self._events_until_failure()

    def _events_until_failure(self) -> Generator[bytes, None, PeerError | None]:
        """Yield the events of the exchange; return the error that broke it, or None."""
        try:
            yield from self._events
        except PeerError as error:
            return error
        return None

    def _exchange_events(self) -> Iterator[bytes]:
        """Yield the events of the exchange as they arrive; raises PeerError.

        The last part has what belongs to no event and may be empty.
        """
        for part in self.exchange.parts():
            events = self._split(part)
            if events:
                self._record_events()
                yield events
        self._check_end()
        self._record_begun()
        yield self.splitter.flush()

    def _record_events(self) -> None:
        if self._has_events:
            self._record_begun()
        self._has_events = True

    def _record_begun(self) -> None:
        if not self.has_begun:
            self.has_begun = True
            self.on_begun()

    def _check_end(self) -> None:
        """Raise PeerError if the stream has ended inside an event, or before the first.

        A body in chunks or with a length may have no event; where the connection's end is
        the body's, nothing tells such a body from one whose engine has failed.
        """
        is_inside_event = self.splitter.is_inside_event()
        is_framed = self.context.framing is not Framing.CONNECTION_END
        if not is_inside_event and (is_framed or self._has_events):
            return
        where = 'inside an event' if is_inside_event else 'before its first event'
        extra = {
            **log_fields(self.context),
            'framing': self.context.framing,
            'last_event_id': self.splitter.last_event_id,
            'bytes_after_event': len(self.splitter),
        }
        _logger.warning('stream ended %s', where, extra=extra)
        raise PeerError(
            f'the stream ended {where}',
            step=_STEP,
            peer=self.exchange.endpoint.address,
        )

    def _check_sequence(self, sequence: EventSequence, events: bytes) -> None:
        """Raise PeerError unless events go on after those that the caller has."""
        try:
            sequence.check(events)
        except EventSequenceError as error:
            extra = {**log_fields(self.context), 'cause': str(error)}
            _logger.warning('resumed stream does not go on', extra=extra)
            raise PeerError(
                f'the stream does not go on: {error}',
                step=_STEP,
                peer=self.exchange.endpoint.address,
            ) from error

    def _split(self, part: bytes) -> bytes:
        try:
            events = self.splitter.feed(part)
        except ByteLimitError as error:
            raise self.exchange.limit_failure(error) from error
        if self._sequence is not None:
            self._check_sequence(self._sequence, events)
        self.exchange.hold(len(self.splitter))
        return events
