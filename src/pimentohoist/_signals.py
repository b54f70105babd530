"""Handling of the signals that request a process to stop."""

from __future__ import annotations

import os
import signal
import threading
from collections.abc import Callable
from types import FrameType

_STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


def stop_event() -> threading.Event:
    """Return an event that SIGTERM and SIGINT set; call it in the main thread."""
    stopped = threading.Event()
    call_on_stop(stopped.set)
    return stopped


def call_on_stop(callback: Callable[[], None]) -> None:
    """Call `callback` in a thread at each SIGTERM and SIGINT; call it in the main thread.

    The interpreter writes each signal to a pipe, whichever thread the kernel delivers it
    to. Python handlers run in the main thread only, which isn't woken by a signal that
    another thread got, and may hold a lock that the callback takes.
    """
    read_end, write_end = os.pipe()
    os.set_blocking(write_end, False)

    def run() -> None:  # noqa: WPS430
        while number := os.read(read_end, 1):
            if number[0] in _STOP_SIGNALS:
                callback()

    threading.Thread(target=run, name='signals', daemon=True).start()
    signal.set_wakeup_fd(write_end, warn_on_full_buffer=False)
    for number in _STOP_SIGNALS:
        signal.signal(number, _ignore)


def _ignore(number: int, frame: FrameType | None) -> None:
    """Let the interpreter write the signal; SIG_IGN would discard it."""
