"""Handling of the signals that request a process to stop."""

from __future__ import annotations

import signal
import threading
from collections.abc import Callable
from types import FrameType


def stop_event() -> threading.Event:
    """Return an event that SIGTERM and SIGINT set; call it in the main thread."""
    stopped = threading.Event()
    call_on_stop(stopped.set)
    return stopped


def call_on_stop(callback: Callable[[], None]) -> None:
    """Call `callback` at each SIGTERM and SIGINT; call it in the main thread."""

    def stop(number: int, frame: FrameType | None) -> None:  # noqa: WPS430
        callback()

    signal.signal(signal.SIGTERM, stop)
    signal.signal(signal.SIGINT, stop)
