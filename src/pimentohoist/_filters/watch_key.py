"""Ends a running answer once its key is withdrawn."""

from __future__ import annotations

import contextlib
import queue
import threading
import time
from collections.abc import Callable, Iterable, Iterator
from typing import Any

from pimentohoist._controllers.configuration import ConfigurationController
from pimentohoist._openai import error_event
from pimentohoist.configuration import Key
from pimentohoist.exceptions import (
    AuthenticationError,
    PimentohoistError,
    RunState,
    UnavailableError,
)
from pimentohoist.exchanges import Answer, Exchange
from pimentohoist.protocols import Clock, Handler

_STEP = 'watch_key'
_CHECK_S = 0.25
_PARTS_AHEAD = 16
_RETRY_AFTER_S = 1.0
# Together with the age at which a read is no longer fresh, below the five seconds within
# which a withdrawn key must have stopped.
_STALE_GRACE_S = 2.0
_END = object()


class WatchKey:
    """Implements `Filter`.

    An action, which may not be repeated, finishes whatever happens to its key.

    Parameters
    ----------
    is_fresh : callable
        Whether this daemon would know of a withdrawal by now.
    """

    def __init__(
        self,
        configuration: ConfigurationController,
        is_fresh: Callable[[], bool],
        clock: Clock = time.monotonic,
    ) -> None:
        self.configuration = configuration
        self.is_fresh = is_fresh
        self.clock = clock

    def __call__(self, exchange: Exchange, proceed: Handler) -> Answer:
        """Pass the answer on as long as its key is in force."""
        is_action = exchange.route is not None and not exchange.route.is_idempotent
        if not exchange.key_name or is_action:
            return proceed(exchange)
        key = self.configuration.key(exchange.key_name)
        if key is None:
            raise AuthenticationError('the key was withdrawn', step=_STEP)
        watch = _Watch(self, key)
        answer = proceed(exchange)
        error = watch.find_error()
        if error is not None:
            getattr(answer.body, 'close', _nothing)()
            raise error
        if answer.content_type.startswith('text/event-stream'):
            answer.body = _WatchedBody(answer.body, watch.find_error)
        return answer


class _Watch:
    def __init__(self, owner: WatchKey, key: Key) -> None:
        self.owner = owner
        self.key = key
        self.fresh_at = owner.clock()

    def find_error(self) -> PimentohoistError | None:
        """Return why the answer must end; None if it may go on."""
        error: PimentohoistError | None = None
        now = self.owner.clock()
        if self.owner.is_fresh():
            self.fresh_at = now
        if self.owner.configuration.key(self.key.name) != self.key:
            error = AuthenticationError('the key was withdrawn', step=_STEP)
        elif now - self.fresh_at > _STALE_GRACE_S:
            error = UnavailableError(
                'keys cannot be checked now', step=_STEP, retry_after_s=_RETRY_AFTER_S
            )
        if error is not None:
            error.run_state = RunState.RUN
        return error


class _WatchedBody:
    """Reads the parts in a thread of its own, so that a silent engine delays no check."""

    def __init__(
        self,
        parts: Iterable[bytes],
        find_error: Callable[[], PimentohoistError | None],
    ) -> None:
        self._parts = parts
        self._find_error = find_error
        self._read: queue.Queue[Any] = queue.Queue(_PARTS_AHEAD)
        self._closed = threading.Event()
        self._thread = threading.Thread(target=self._pump, name=_STEP, daemon=True)

    def __iter__(self) -> Iterator[bytes]:
        self._thread.start()
        while True:
            part = self._take()
            error = None if part is _END else self._find_error()
            if error is not None:
                self.close()
                yield error_event(error)
            if part is _END or error is not None:
                return
            if part:
                yield part

    def close(self) -> None:
        """Give the rest up; the thread that reads it closes it."""
        self._closed.set()
        if not self._thread.ident:
            getattr(self._parts, 'close', _nothing)()

    def _take(self) -> Any:
        try:
            part = self._read.get(timeout=_CHECK_S)
        except queue.Empty:
            return b''
        if isinstance(part, Exception):
            raise part
        return part

    def _pump(self) -> None:
        last: Any = _END
        try:
            for part in self._parts:
                self._put(part)
                if self._closed.is_set():
                    break
        except Exception as error:
            last = error
        finally:
            getattr(self._parts, 'close', _nothing)()
        self._put(last)

    def _put(self, part: Any) -> None:
        while not self._closed.is_set():
            with contextlib.suppress(queue.Full):
                return self._read.put(part, timeout=_CHECK_S)


def _nothing() -> None:
    """Close a body that needs no closing."""
