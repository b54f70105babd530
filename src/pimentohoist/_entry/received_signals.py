"""Signals that stop a daemon or have it read its settings again."""

from __future__ import annotations

import signal
from types import FrameType

from pimentohoist import _clock


class ReceivedSignals:
    """The signals that have come since it was made, before the daemon starts.

    The handlers set attributes only: an event's lock may be held by the thread that they
    interrupt.

    Attributes
    ----------
    stopped_at : float or None
        Time of `_clock.now` in seconds of the first signal to stop.
    is_reload_requested : bool
        Whether the settings are to be read again.
    """

    def __init__(self) -> None:
        self.stopped_at: float | None = None
        self.is_reload_requested = False
        signal.signal(signal.SIGTERM, self._stop)
        signal.signal(signal.SIGHUP, self._reload)

    def _stop(self, number: int, frame: FrameType | None) -> None:
        if self.stopped_at is None:
            self.stopped_at = _clock.now()

    def _reload(self, number: int, frame: FrameType | None) -> None:
        self.is_reload_requested = True
