"""Handling of the signals that request a process to stop."""

from __future__ import annotations

import os
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
    """Call `callback` in a thread at each SIGTERM and SIGINT; call it in the main thread.

    The handler only writes to a pipe: a callback that takes a lock would wait forever for
    one that the interrupted main thread holds.
    """
    read_end, write_end = os.pipe()

    def stop(number: int, frame: FrameType | None) -> None:  # noqa: WPS430
        os.write(write_end, b'.')

    def run() -> None:  # noqa: WPS430
        while os.read(read_end, 1):
            callback()

    threading.Thread(target=run, name='signals', daemon=True).start()
    signal.signal(signal.SIGTERM, stop)
    signal.signal(signal.SIGINT, stop)
