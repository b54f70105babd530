"""Graceful shutdown of the daemon without interrupting requests."""

from __future__ import annotations

import logging
import threading
import time
from collections.abc import Callable, Mapping
from typing import Any, Protocol, Self

from pimentohoist._decisions.draining import DrainProgress, is_drained
from pimentohoist._view_fold import VIEW_STREAM, DrainRecord
from pimentohoist.exceptions import LogError
from pimentohoist.protocols import Clock, Log

_STEP = 'drain'
_POLL_PERIOD_S = 0.05
_ANNOUNCE_PERIOD_S = 0.5
_logger = logging.getLogger(__name__)


class Membership(Protocol):
    """This daemon's membership in the view."""

    incarnation: str


class DrainedServer(Protocol):
    """The callers' server."""

    def is_idle(self) -> bool:
        """Return whether no request is running, queued or being answered."""

    def refuse_requests(self) -> None:
        """Refuse all requests that arrive from now on as not run."""


class DrainController:
    """Stops the daemon in steps.

    Its address is taken off the callers' list, its requests end, then it leaves the view.

    Attributes
    ----------
    stop_requested, immediate_stop_requested : threading.Event
        Set when a stop is requested; set when it must not wait for running requests.
    announced_at : float or None
        Monotonic time in seconds at which the drain record was appended.
    """

    def __init__(
        self,
        log: Log,
        membership: Membership,
        *,
        entries_max_age_s: float,
        limit_s: float,
        clock: Clock = time.monotonic,
    ) -> None:
        self.log = log
        self.membership = membership
        self.entries_max_age_s = entries_max_age_s
        self.limit_s = limit_s
        self.clock = clock
        self.stop_requested = threading.Event()
        self.immediate_stop_requested = threading.Event()
        self.announced_at: float | None = None
        self._announce_thread = threading.Thread(
            target=self._announce, name='announce-leaving', daemon=True
        )

    def __enter__(self) -> Self:
        """Start; nothing runs until a stop is requested."""
        return self

    def __exit__(self, *exc_info: object) -> None:
        """Stop announcing."""
        self.stop_requested.set()
        self.immediate_stop_requested.set()

    def request_stop(self) -> None:
        """Request a stop; has no effect if one was requested before."""
        self.stop_requested.set()

    def handle_stop_signal(self) -> None:
        """Request a stop; a second signal ends the wait for running requests."""
        if self.stop_requested.is_set():
            self.immediate_stop_requested.set()
        self.stop_requested.set()

    def wait(self, server: DrainedServer) -> None:
        """Wait until a stop is requested and may proceed without cutting off requests."""
        self.stop_requested.wait()
        self._announce_thread.start()
        began_at = self.clock()
        self._wait_until(lambda: self._is_drained(server, began_at))
        # A request may have been accepted since the check, so only a check after all
        # others are refused counts.
        server.refuse_requests()
        self._wait_until(lambda: self._is_drained(server, began_at))
        _logger.info('drained', extra={'step': _STEP, 'is_idle': server.is_idle()})

    def dump(self) -> Mapping[str, Any]:
        """Return whether a stop was requested and announced."""
        return {
            'is_asked': self.stop_requested.is_set(),
            'is_announced': self.announced_at is not None,
        }

    def _wait_until(self, condition: Callable[[], bool]) -> None:
        """Return once the condition holds or an immediate stop is requested."""
        while not self.immediate_stop_requested.is_set() and not condition():
            self.immediate_stop_requested.wait(_POLL_PERIOD_S)

    def _is_drained(self, server: DrainedServer, began_at: float) -> bool:
        progress = DrainProgress(
            began_at, self.announced_at, self.entries_max_age_s, self.limit_s
        )
        return is_drained(progress, self.clock(), is_idle=server.is_idle())

    def _announce(self) -> None:
        """Append a drain record, and another if the daemon rejoins meanwhile."""
        announced = ''
        while not self.immediate_stop_requested.is_set():
            incarnation = self.membership.incarnation
            if incarnation != announced and self._append_announcement(incarnation):
                announced = incarnation
                self.announced_at = self.clock()
            self.immediate_stop_requested.wait(_ANNOUNCE_PERIOD_S)

    def _append_announcement(self, incarnation: str) -> bool:
        record = DrainRecord(incarnation=incarnation)
        try:
            self.log.append(VIEW_STREAM, [record.model_dump_json().encode()])
        except LogError as error:
            _logger.warning(
                'failed to append drain record: %s',
                error.message,
                extra={'step': _STEP, 'peer': error.peer},
            )
            return False
        return True
