"""Forwards the tokens of many streamed responses in one thread.

A thread for each response costs two thread switches per token, and each of them waits
for the interpreter. So a request's own thread runs it only up to its first token, and
again when there is more to do than forwarding tokens: a retry, an error, the end.
"""

from __future__ import annotations

import os
import select
import threading
import time
from collections.abc import Callable, Iterator, Mapping
from concurrent.futures import Future
from dataclasses import dataclass, field
from typing import Any, Generic, Self, TypeVar

from pimentohoist.exceptions import PeerError, UnavailableError
from pimentohoist.exchanges import ReadReadiness

_STEP = 'relay'
_POLL_INTERVAL_S = 0.25
_MS_PER_S = 1000
_MAX_WAITS_IN_REQUEST_THREAD = 3
_EXHAUSTED = object()

Part = TypeVar('Part')
Sink = Callable[[Part], object]


@dataclass(slots=True)
class _Stream(Generic[Part]):
    """A response that the relay's thread forwards.

    Attributes
    ----------
    outcome : Future of bool
        Whether the response has ended; if not, the request's own thread continues it.
    advanced_at : float
        When the last part was requested, in monotonic seconds.
    """

    parts: Iterator[Part]
    readiness: ReadReadiness
    sink: Sink[Part]
    outcome: Future[bool] = field(default_factory=Future)
    advanced_at: float = 0


class Relay:
    """Implements `Controller`: forwards parts of responses as they arrive."""

    def __init__(self) -> None:
        self._epoll = select.epoll()
        self._streams: dict[int, _Stream[Any]] = {}
        self._closed = threading.Event()
        self._thread = threading.Thread(target=self._run, name=_STEP, daemon=True)

    def __enter__(self) -> Self:
        """Start the thread."""
        self._thread.start()
        return self

    def __exit__(self, *exc_info: object) -> None:
        """Stop the thread; responses in flight end with an error."""
        self._closed.set()
        self._thread.join()
        for descriptor in tuple(self._streams):
            self._remove(descriptor).outcome.set_exception(_stopping_error())
        self._epoll.close()

    def run(
        self, parts: Iterator[Part], readiness: ReadReadiness, sink: Sink[Part]
    ) -> None:
        """Forward all non-empty parts to `sink` in order; return after the last one."""
        waits = 0
        # The first part may have arrived already; otherwise this reads an empty one.
        is_ended = _forward_next(parts, sink)
        while not is_ended:
            if readiness.source is None:
                is_ended = _forward_next(parts, sink)
            elif waits < _MAX_WAITS_IN_REQUEST_THREAD:
                waits += 1
                _wait_readable(readiness)
                is_ended = _forward_next(parts, sink)
            else:
                is_ended = self._hand_over(_Stream(parts, readiness, sink))

    def dump(self) -> Mapping[str, Any]:
        """Return the number of responses that the thread is forwarding."""
        return {'streams': len(self._streams)}

    def _hand_over(self, stream: _Stream[Any]) -> bool:
        if self._closed.is_set() or stream.readiness.source is None:
            raise _stopping_error()
        # A duplicate, since reading any part may close the source itself.
        descriptor = os.dup(stream.readiness.source.fileno())
        stream.advanced_at = time.monotonic()
        self._streams[descriptor] = stream
        self._epoll.register(descriptor, select.EPOLLIN)
        return stream.outcome.result()

    def _remove(self, descriptor: int) -> _Stream[Any]:
        stream = self._streams.pop(descriptor)
        self._epoll.unregister(descriptor)
        os.close(descriptor)
        return stream

    def _run(self) -> None:
        idle_checked_at = time.monotonic()
        while not self._closed.is_set():
            events = self._epoll.poll(_POLL_INTERVAL_S)
            now = time.monotonic()
            for descriptor, _ in events:
                self._advance(descriptor, now, is_ready=True)
            if now - idle_checked_at >= _POLL_INTERVAL_S:
                idle_checked_at = now
                self._advance_idle(now)

    def _advance_idle(self, now: float) -> None:
        """Advance responses without new data, so that they notice when they must end."""
        for descriptor, stream in tuple(self._streams.items()):
            if now - stream.advanced_at >= _POLL_INTERVAL_S:
                self._advance(descriptor, now, is_ready=False)

    def _advance(self, descriptor: int, now: float, *, is_ready: bool) -> None:
        stream = self._streams[descriptor]
        stream.advanced_at = now
        stream.readiness.is_ready = is_ready
        try:
            is_ended = _forward_next(stream.parts, stream.sink)
        except Exception as error:
            self._remove(descriptor).outcome.set_exception(error)
            return
        if is_ended or stream.readiness.source is None:
            self._remove(descriptor).outcome.set_result(is_ended)


def wait_for_first_part(parts: Iterator[Part], readiness: ReadReadiness) -> Part:
    """Return the first non-empty part, waiting for it in the calling thread."""
    first: list[Part] = []
    while not first:
        _wait_readable(readiness)
        if _forward_next(parts, first.append):
            raise PeerError('the response ended without content', step=_STEP)
    return first[0]


def _forward_next(parts: Iterator[Part], sink: Sink[Part]) -> bool:
    """Forward the next part unless it is empty; return whether none was left."""
    part = next(parts, _EXHAUSTED)
    if part is _EXHAUSTED:
        return True
    if part:
        sink(part)  # type: ignore[arg-type]
    return False


def _wait_readable(readiness: ReadReadiness) -> None:
    """Wait a limited time for the source, if any; record whether it is readable."""
    if readiness.source is None:
        return
    poll = select.poll()
    poll.register(readiness.source, select.POLLIN)
    readiness.is_ready = bool(poll.poll(_POLL_INTERVAL_S * _MS_PER_S))


def _stopping_error() -> UnavailableError:
    return UnavailableError('the daemon is stopping', step=_STEP)
