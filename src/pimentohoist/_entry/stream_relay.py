"""Relays the events of a stream to the caller, resuming it at other engines."""

from __future__ import annotations

from collections.abc import Callable, Generator, Iterator

from pimentohoist._entry.connections import UpstreamExchange
from pimentohoist._entry.event_stream import EventSplitter
from pimentohoist._entry.request_context import RequestContext
from pimentohoist.exceptions import PeerError

ResumeStream = Callable[['StreamRelay', PeerError], UpstreamExchange]


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
        for part in self._parts:
            events = self.splitter.feed(part)
            if events:
                return events
        return self.splitter.flush()

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
            self.splitter.flush()
            self.exchange = self.resume(self, failure)
            self._parts = self.exchange.parts()
            failure = yield from self._events_until_failure()

    def _events_until_failure(self) -> Generator[bytes, None, PeerError | None]:
        """Yield the events of the exchange; return the error that broke it, or None."""
        while True:
            try:
                part = next(self._parts, None)
            except PeerError as error:
                return error
            if part is None:
                break
            events = self.splitter.feed(part)
            if events:
                yield events
        remainder = self.splitter.flush()
        if remainder:
            yield remainder
        return None
