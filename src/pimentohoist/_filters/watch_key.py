"""Filter that ends a running response once its key is withdrawn."""

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
_CHECK_INTERVAL_S = 0.25
_RETRY_AFTER_S = 1.0
# Plus the age up to which the configuration counts as fresh, this stays below the five
# seconds within which a withdrawn key must stop working.
_STALE_GRACE_S = 2.0


class WatchKey:
    """Implements `Filter`.

    An action, which is not idempotent, finishes even if its key is withdrawn.

    Parameters
    ----------
    is_fresh : callable
        Returns whether this daemon's configuration is recent enough to show that a
        key was withdrawn.
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
        """Pass the response on as long as its key is in force."""
        is_action = exchange.route is not None and not exchange.route.is_idempotent
        if not exchange.key_name or is_action:
            return proceed(exchange)
        key = self.configuration.key(exchange.key_name)
        if key is None:
            raise AuthenticationError('the key was withdrawn', step=_STEP)
        monitor = _KeyMonitor(self, key)
        response = proceed(exchange)
        error = monitor.find_error()
        if error is not None:
            getattr(response.body, 'close', _do_nothing)()
            raise error
        if response.content_type.startswith('text/event-stream'):
            response.body = _MonitoredBody(response, monitor)
        return response


class _KeyMonitor:
    def __init__(self, key_filter: WatchKey, key: Key) -> None:
        self.key_filter = key_filter
        self.key = key
        self.last_fresh_at = key_filter.clock()
        self.last_checked_at = self.last_fresh_at

    def find_error_if_due(self) -> PimentohoistError | None:
        """Check again if the last check is long enough ago."""
        if self.key_filter.clock() - self.last_checked_at < _CHECK_INTERVAL_S:
            return None
        return self.find_error()

    def find_error(self) -> PimentohoistError | None:
        """Return the error that ends the response; None if it may go on."""
        error: PimentohoistError | None = None
        now = self.key_filter.clock()
        self.last_checked_at = now
        if self.key_filter.is_fresh():
            self.last_fresh_at = now
        if self.key_filter.configuration.key(self.key.name) != self.key:
            error = AuthenticationError('the key was withdrawn', step=_STEP)
        elif now - self.last_fresh_at > _STALE_GRACE_S:
            error = UnavailableError(
                'keys cannot be checked now', step=_STEP, retry_after_s=_RETRY_AFTER_S
            )
        if error is not None:
            error.run_state = RunState.RUN
        return error


class _MonitoredBody:
    """Passes parts on and checks the key at each one.

    An engine that sends nothing yields empty parts, so its response can be ended too.
    """

    def __init__(self, response: CallerResponse, monitor: _KeyMonitor) -> None:
        self._parts = response.body
        self._readiness = response.readiness
        self._monitor = monitor

    def __iter__(self) -> Iterator[bytes]:
        for part in self._parts:
            error = self._monitor.find_error_if_due()
            if error is not None:
                yield from self._end(error)
                return
            yield part

    def close(self) -> None:
        """Close the response body without reading the rest."""
        getattr(self._parts, 'close', _do_nothing)()

    def _end(self, error: PimentohoistError) -> Iterator[bytes]:
        if self._readiness is not None:
            # Closing may block, so it must not run in the thread of the relay.
            self._readiness.clear()
            yield b''
        self.close()
        yield error_event(error)


def _do_nothing() -> None:
    """Stand in for the close method of a body that has none."""
