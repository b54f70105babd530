"""Passes the events of a stream on, from one engine after another if need be."""

from __future__ import annotations

from collections.abc import Callable, Generator, Iterator

from pimentohoist._entry.connections import UpstreamExchange
from pimentohoist._entry.event_stream import EventSplitter
from pimentohoist._entry.request_context import RequestContext
from pimentohoist.exceptions import PeerError

GoOn = Callable[['StreamRelay', PeerError], UpstreamExchange]


class StreamRelay:
    """A stream under way to a caller.

    Parameters
    ----------
    go_on : callable
        Returns the exchange that goes on after the last whole event, or raises
        StreamBrokenError.
    """

    def __init__(
        self,
        context: RequestContext,
        exchange: UpstreamExchange,
        splitter: EventSplitter,
        go_on: GoOn,
    ) -> None:
        self.context = context
        self.exchange = exchange
        self.splitter = splitter
        self.go_on = go_on

    def first_events(self) -> bytes:
        """Wait for the first event; raises PeerError if none comes."""
        self._parts = self.exchange.parts()
        for part in self._parts:
            events = self.splitter.feed(part)
            if events:
                return events
        return self.splitter.rest()

    def events(self, first: bytes) -> Iterator[bytes]:
        """Yield the first events, then what follows."""
        try:
            yield first
            yield from self._following()
        finally:
            self.exchange.close()
            self.context.finish()

    def _following(self) -> Iterator[bytes]:
        failure = yield from self._until_failure()
        while failure is not None:
            self.exchange.close()
            self.context.finish()
            self.splitter.rest()
            self.exchange = self.go_on(self, failure)
            self._parts = self.exchange.parts()
            failure = yield from self._until_failure()

    def _until_failure(self) -> Generator[bytes, None, PeerError | None]:
        """Yield events to the end of the exchange; return why it broke, if it did."""
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
        rest = self.splitter.rest()
        if rest:
            yield rest
        return None
