"""A planned stop that cuts off no request."""

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
_POLL_S = 0.05
_ANNOUNCE_PERIOD_S = 0.5
_logger = logging.getLogger(__name__)


class Incarnation(Protocol):
    """Knows under which name this daemon is a member of the view."""

    incarnation: str


class DrainController:
    """Stops the daemon in steps: off the address list, then idle, then out.

    Attributes
    ----------
    asked, insisted : threading.Event
        Whether a stop was asked for, and whether at once whatever still runs.
    """

    def __init__(
        self,
        log: Log,
        member: Incarnation,
        *,
        entries_max_age_s: float,
        limit_s: float,
        clock: Clock = time.monotonic,
    ) -> None:
        self.log = log
        self.member = member
        self.entries_max_age_s = entries_max_age_s
        self.limit_s = limit_s
        self.clock = clock
        self.asked = threading.Event()
        self.insisted = threading.Event()
        self.announced_at: float | None = None
        self._announcement = threading.Thread(
            target=self._announce, name='announce-leaving', daemon=True
        )

    def __enter__(self) -> Self:
        """Start; nothing runs until a stop is asked for."""
        return self

    def __exit__(self, *exc_info: object) -> None:
        """Stop announcing."""
        self.asked.set()
        self.insisted.set()

    def ask(self) -> None:
        """Ask for a stop; asking again changes nothing."""
        self.asked.set()

    def signal(self) -> None:
        """Ask for a stop; a second signal ends the wait for what still runs."""
        if self.asked.is_set():
            self.insisted.set()
        self.asked.set()

    def wait(self, is_idle: Callable[[], bool]) -> None:
        """Return when a stop was asked for and may go on without cutting anything off.

        Parameters
        ----------
        is_idle : callable
            Whether no request runs, waits or is being answered.
        """
        self.asked.wait()
        self._announcement.start()
        began_at = self.clock()
        while not self.insisted.is_set():
            progress = DrainProgress(
                began_at, self.announced_at, self.entries_max_age_s, self.limit_s
            )
            if is_drained(progress, self.clock(), is_idle=is_idle()):
                break
            self.insisted.wait(_POLL_S)
        _logger.info('drained', extra={'step': _STEP, 'is_idle': is_idle()})

    def dump(self) -> Mapping[str, Any]:
        """Return how far the stop is."""
        return {
            'is_asked': self.asked.is_set(),
            'is_announced': self.announced_at is not None,
        }

    def _announce(self) -> None:
        """Announce the leave, and again should the daemon have rejoined by then."""
        announced = ''
        while not self.insisted.is_set():
            incarnation = self.member.incarnation
            if incarnation != announced and self._is_announced(incarnation):
                announced = incarnation
                self.announced_at = self.clock()
            self.insisted.wait(_ANNOUNCE_PERIOD_S)

    def _is_announced(self, incarnation: str) -> bool:
        record = DrainRecord(incarnation=incarnation)
        try:
            self.log.append(VIEW_STREAM, [record.model_dump_json().encode()])
        except LogError as error:
            _logger.warning(
                'leaving not announced: %s',
                error.message,
                extra={'step': _STEP, 'peer': error.peer},
            )
            return False
        return True
