"""Ends a running answer once its key is withdrawn."""

from __future__ import annotations

import time
from collections.abc import Callable, Iterator

from pimentohoist._controllers.configuration import ConfigurationController
from pimentohoist._openai import error_event
from pimentohoist.configuration import Key
from pimentohoist.exceptions import (
    AuthenticationError,
    PimentohoistError,
    RunState,
    UnavailableError,
)
from pimentohoist.exchanges import CallerResponse, Exchange
from pimentohoist.protocols import Clock, Handler

_STEP = 'watch_key'
_CHECK_S = 0.25
_RETRY_AFTER_S = 1.0
# Together with the age at which a read is no longer fresh, below the five seconds within
# which a withdrawn key must have stopped.
_STALE_GRACE_S = 2.0


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

    def __call__(self, exchange: Exchange, proceed: Handler) -> CallerResponse:
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
            answer.body = _WatchedBody(answer, watch)
        return answer


class _Watch:
    def __init__(self, owner: WatchKey, key: Key) -> None:
        self.owner = owner
        self.key = key
        self.fresh_at = owner.clock()
        self.checked_at = self.fresh_at

    def find_new_error(self) -> PimentohoistError | None:
        """Look again if the last time is long enough ago."""
        if self.owner.clock() - self.checked_at < _CHECK_S:
            return None
        return self.find_error()

    def find_error(self) -> PimentohoistError | None:
        """Return why the answer must end; None if it may go on."""
        error: PimentohoistError | None = None
        now = self.owner.clock()
        self.checked_at = now
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
    """Passes parts on; the empty ones let it end an answer of a silent engine."""

    def __init__(self, answer: CallerResponse, watch: _Watch) -> None:
        self._parts = answer.body
        self._awaited = answer.readiness
        self._watch = watch

    def __iter__(self) -> Iterator[bytes]:
        for part in self._parts:
            error = self._watch.find_new_error()
            if error is not None:
                yield from self._end(error)
                return
            yield part

    def close(self) -> None:
        """Give the rest up."""
        getattr(self._parts, 'close', _nothing)()

    def _end(self, error: PimentohoistError) -> Iterator[bytes]:
        if self._awaited is not None:
            # Closing may block.
            self._awaited.clear()
            yield b''
        self.close()
        yield error_event(error)


def _nothing() -> None:
    """Close a body that needs no closing."""
