"""Passes the tokens of many answers on in one thread.

A thread for each answer costs two changes of thread a token, and every one of them waits
for the interpreter. So a request's own thread runs it only up to its first token, and
again when there is more to do than to pass tokens on: a retry, an error, the end.
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
_TICK_S = 0.25
_MS_PER_S = 1000
_WAITS_IN_OWN_THREAD = 3
_END = object()

Part = TypeVar('Part')
Sink = Callable[[Part], object]


@dataclass(slots=True)
class _Stream(Generic[Part]):
    """An answer that the relay's thread passes on.

    Attributes
    ----------
    outcome : Future of bool
        Whether the answer has ended; if not, its own thread must go on with it.
    stepped_at : float
        When it was last asked for a part, in monotonic seconds.
    """

    parts: Iterator[Part]
    readiness: ReadReadiness
    sink: Sink[Part]
    outcome: Future[bool] = field(default_factory=Future)
    stepped_at: float = 0


class Relay:
    """Implements `Controller`: passes parts of answers on as they come."""

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
        """Stop the thread; answers under way end with an error."""
        self._closed.set()
        self._thread.join()
        for descriptor in tuple(self._streams):
            self._give_back(descriptor).outcome.set_exception(_stopped())
        self._epoll.close()

    def run(
        self, parts: Iterator[Part], readiness: ReadReadiness, sink: Sink[Part]
    ) -> None:
        """Pass all parts that aren't empty on, in order; return at their end."""
        waits = 0
        # The first part may be there already; else this step only gives an empty one.
        is_ended = _pass_on(parts, sink)
        while not is_ended:
            if readiness.source is None:
                is_ended = _pass_on(parts, sink)
            elif waits < _WAITS_IN_OWN_THREAD:
                waits += 1
                _wait(readiness)
                is_ended = _pass_on(parts, sink)
            else:
                is_ended = self._join(_Stream(parts, readiness, sink))

    def dump(self) -> Mapping[str, Any]:
        """Return the number of answers that are being passed on."""
        return {'streams': len(self._streams)}

    def _join(self, stream: _Stream[Any]) -> bool:
        if self._closed.is_set() or stream.readiness.source is None:
            raise _stopped()
        # A descriptor of its own, since the answer may close its source at any step.
        descriptor = os.dup(stream.readiness.source.fileno())
        stream.stepped_at = time.monotonic()
        self._streams[descriptor] = stream
        self._epoll.register(descriptor, select.EPOLLIN)
        return stream.outcome.result()

    def _give_back(self, descriptor: int) -> _Stream[Any]:
        stream = self._streams.pop(descriptor)
        self._epoll.unregister(descriptor)
        os.close(descriptor)
        return stream

    def _run(self) -> None:
        ticked_at = time.monotonic()
        while not self._closed.is_set():
            events = self._epoll.poll(_TICK_S)
            now = time.monotonic()
            for descriptor, _ in events:
                self._step(descriptor, now, is_ready=True)
            if now - ticked_at >= _TICK_S:
                ticked_at = now
                self._step_silent(now)

    def _step_silent(self, now: float) -> None:
        """Let answers find out that they must end although nothing comes."""
        for descriptor, stream in tuple(self._streams.items()):
            if now - stream.stepped_at >= _TICK_S:
                self._step(descriptor, now, is_ready=False)

    def _step(self, descriptor: int, now: float, *, is_ready: bool) -> None:
        stream = self._streams[descriptor]
        stream.stepped_at = now
        stream.readiness.is_ready = is_ready
        try:
            is_ended = _pass_on(stream.parts, stream.sink)
        except Exception as error:
            self._give_back(descriptor).outcome.set_exception(error)
            return
        if is_ended or stream.readiness.source is None:
            self._give_back(descriptor).outcome.set_result(is_ended)


def first_part(parts: Iterator[Part], readiness: ReadReadiness) -> Part:
    """Return the first part that isn't empty, waiting for it in this thread."""
    found: list[Part] = []
    while not found:
        _wait(readiness)
        if _pass_on(parts, found.append):
            raise PeerError('the answer is empty', step=_STEP)
    return found[0]


def _pass_on(parts: Iterator[Part], sink: Sink[Part]) -> bool:
    """Give the next part to the sink unless it is empty; return whether all ended."""
    part = next(parts, _END)
    if part is _END:
        return True
    if part:
        sink(part)  # type: ignore[arg-type]
    return False


def _wait(readiness: ReadReadiness) -> None:
    """Wait a while for what an answer needs, if anything, and note whether it came."""
    if readiness.source is None:
        return
    poll = select.poll()
    poll.register(readiness.source, select.POLLIN)
    readiness.is_ready = bool(poll.poll(_TICK_S * _MS_PER_S))


def _stopped() -> UnavailableError:
    return UnavailableError('the daemon is stopping', step=_STEP)
