"""Relays the events of a stream to the caller, resuming it at other engines."""

from __future__ import annotations

import logging
from collections.abc import Callable, Generator, Iterator

from pimentohoist._entry.connections import UpstreamExchange
from pimentohoist._entry.event_stream import EventSplitter
from pimentohoist._entry.request_context import RequestContext, log_fields
from pimentohoist._limited_reader import ByteLimitError
from pimentohoist.exceptions import PeerError

ResumeStream = Callable[['StreamRelay', PeerError], UpstreamExchange]

_logger = logging.getLogger(__name__)


class StreamRelay:
    """Relays one stream to a caller.

    Parameters
    ----------
    resume : callable
        Returns the exchange that continues after the last complete event, or raises
        StreamBrokenError.
    """

    def __init__(
        self,
        context: RequestContext,
        exchange: UpstreamExchange,
        splitter: EventSplitter,
        resume: ResumeStream,
    ) -> None:
        self.context = context
        self.exchange = exchange
        self.splitter = splitter
        self.resume = resume

    def first_events(self) -> bytes:
        """Wait for the first events; raises PeerError if the stream breaks before them."""
        self._parts = self.exchange.parts()
        events: bytes | None = b''
        try:
            while events == b'':
                events = self._next_events()
        except PeerError:
            # The error's traceback would keep the bytes until the next collection.
            self.splitter.discard()
            raise
        return self._end() if events is None else events

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
            self._parts = self.exchange.parts()
            failure = yield from self._events_until_failure()

    def _events_until_failure(self) -> Generator[bytes, None, PeerError | None]:
        """Yield the events of the exchange; return the error that broke it, or None."""
        while True:
            try:
                events = self._next_events()
            except PeerError as error:
                return error
            if events is None:
                break
            if events:
                yield events
        remainder = self._end()
        if remainder:
            yield remainder
        return None

    def _end(self) -> bytes:
        """Return the bytes after the last complete event, at the end of the stream."""
        remainder = self.splitter.flush()
        if remainder:
            extra = {
                **log_fields(self.context),
                'framing': self.context.framing,
                'last_event_id': self.splitter.last_event_id,
                'bytes_after_event': len(remainder),
            }
            _logger.warning('stream ended inside an event', extra=extra)
        return remainder

    def _next_events(self) -> bytes | None:
        """Return the events that the next part completes; None at the stream's end."""
        part = next(self._parts, None)
        return None if part is None else self._split(part)

    def _split(self, part: bytes) -> bytes:
        try:
            events = self.splitter.feed(part)
        except ByteLimitError as error:
            raise self.exchange.limit_failure(error) from error
        self.exchange.hold(len(self.splitter))
        return events
