"""Signals that ask a process to stop."""

from __future__ import annotations

import signal
import threading
from types import FrameType


def stop_event() -> threading.Event:
    """Return an event that SIGTERM and SIGINT set; call it in the main thread."""
    stopped = threading.Event()

    def stop(number: int, frame: FrameType | None) -> None:  # noqa: WPS430
        stopped.set()

    signal.signal(signal.SIGTERM, stop)
    signal.signal(signal.SIGINT, stop)
    return stopped
