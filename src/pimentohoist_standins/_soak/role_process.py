"""Processes of the soak that take commands on standard input."""

from __future__ import annotations

import json
import os
import select
import signal
import subprocess
import sys
import threading
import time
from contextlib import suppress
from pathlib import Path
from typing import Any, Self

from pimentohoist_standins._soak.errors import NoReplyError, SoakError

_MODULE = 'pimentohoist_standins._soak.role'
_CLOCK_TICKS_PER_S = os.sysconf('SC_CLK_TCK')
_REPLY_TIMEOUT_S = 60.0
_STACKS_S = 0.5
"""Time for a process to write the stacks of its threads."""

_USER_TIME_FIELD = 11
"""Index of the user time in ``/proc/PID/stat`` after the command; system time follows."""


class RoleProcess:
    """Context manager that runs one role in a process and calls its methods.

    Attributes
    ----------
    reply_timeout_s : float
        Time after which a method that hasn't returned counts as hung.
    """

    reply_timeout_s = _REPLY_TIMEOUT_S

    def __init__(self, role: str, log: Path, **options: Any) -> None:
        self.role = role
        self.log = log
        self.options = options
        self.cpu_s: float = 0
        self._lock = threading.Lock()

    def __enter__(self) -> Self:
        """Start the process; `wait_ready` waits for it."""
        command = [sys.executable, '-m', _MODULE, self.role, json.dumps(self.options)]
        with self.log.open('ab') as output:
            self.popen = subprocess.Popen(
                command,
                stdin=subprocess.PIPE,
                stdout=subprocess.PIPE,
                stderr=output,
                text=True,
                start_new_session=True,
            )
        return self

    def __exit__(self, *exc_info: object) -> None:
        """End the process."""
        self.cpu_s = cpu_seconds(self.popen.pid) or self.cpu_s
        assert self.popen.stdin is not None
        assert self.popen.stdout is not None
        # Records are complete at any time, so that the process needs no time to stop.
        self.popen.kill()
        self.popen.wait()
        self.popen.stdout.close()
        with suppress(OSError):
            self.popen.stdin.close()

    def wait_ready(self) -> None:
        """Wait until the role has started; raise a SoakError if it can't."""
        self._read_reply()

    def call(self, method: str, **arguments: Any) -> Any:
        """Call a method of the role and return its result."""
        line = json.dumps({'method': method, 'arguments': arguments})
        with self._lock:
            assert self.popen.stdin is not None
            try:
                self.popen.stdin.write(f'{line}\n')
                self.popen.stdin.flush()
            except (OSError, ValueError) as error:
                raise SoakError(f'{self.role}: process ended: {error}') from error
            return self._read_reply()

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process if it runs."""
        self.popen.send_signal(number)

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        self.cpu_s = cpu_seconds(self.popen.pid) or self.cpu_s
        self.popen.kill()
        self.popen.wait()

    def _read_reply(self) -> Any:
        assert self.popen.stdout is not None
        if not any(select.select((self.popen.stdout,), (), (), self.reply_timeout_s)):
            self.popen.send_signal(signal.SIGUSR1)
            time.sleep(_STACKS_S)
            wait = f'no reply for {self.reply_timeout_s:g} s'
            raise NoReplyError(f'{self.role}: {wait}; stacks are in {self.log}')
        line = self.popen.stdout.readline()
        if not line:
            log = self.log.read_text().strip().splitlines() or ['no output']
            raise SoakError(f'{self.role}: process ended: {log[-1]}')
        return json.loads(line)


def cpu_seconds(process_id: int) -> float:
    """Return the processor time of a process, which may have ended; 0 if unknown."""
    try:
        text = Path(f'/proc/{process_id}/stat').read_text()
    except OSError:
        return 0
    fields = text.rpartition(')')[2].split()
    ticks = sum(map(int, fields[_USER_TIME_FIELD : _USER_TIME_FIELD + 2]))
    return ticks / _CLOCK_TICKS_PER_S
