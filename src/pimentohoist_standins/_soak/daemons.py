"""Entry daemons as processes of the soak, with a record of each process's end."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
import threading
import time
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path
from typing import Self

from pimentohoist_standins._soak.addresses import (
    CONTROL_PORT,
    READY_PORT,
    SERVICE_PORT,
    Network,
)
from pimentohoist_standins._soak.errors import SoakError
from pimentohoist_standins._soak.http_call import call
from pimentohoist_standins._soak.records import Bounds, ProcessRecord
from pimentohoist_standins._soak.role_process import cpu_seconds

_ENTRY_SCRIPT = Path(__file__).resolve().parents[2] / 'pimentohoist_entry.py'
_POLL_S = 0.02
_READY_POLL_S = 0.1
_MAX_SEEDS = 3
SETTINGS_TEMPLATE = """
[daemon]
name = "{host}"
failure_domain = "a"
host = "{host}"
port_range = "7600,7615"
seeds = "{seeds}"
[listen]
callers = "{host}:8000"
ready = "{host}:8001"
control = "{host}:8002"
directory = "{host}:8003"
[store]
address = "{store}"
partitions = 12
[bounds]
engines_check_fences = true
retry_ratio = {bounds.retry_ratio}
retry_slack = {bounds.retry_slack}
retry_window_s = {bounds.budget_window_s}
lease_ms = 3000
grace_s = {bounds.grace_s}
most_directory_age_s = 5
"""


class DaemonProcess:
    """Context manager for one process of a daemon.

    Attributes
    ----------
    cpu_s : float
        Processor time until it was last looked at.
    """

    def __init__(self, host: str, settings: Path, log: Path) -> None:
        self.host = host
        self.settings = settings
        self.log = log
        self.cpu_s: float = 0
        self.ready_at: float | None = None
        self.signalled_at: float | None = None
        self.killed_at: float | None = None
        self.ended_at: float | None = None
        self._ended = threading.Event()

    def __enter__(self) -> Self:
        """Start the process, and a thread that watches it."""
        environment = {**os.environ, 'PIMENTOHOIST_BOOT': str(self.settings)}
        self.started_at = time.monotonic()
        with self.log.open('ab') as output:
            self.popen = subprocess.Popen(
                [sys.executable, str(_ENTRY_SCRIPT)],
                env=environment,
                stdout=output,
                stderr=output,
                start_new_session=True,
            )
        threading.Thread(target=self._watch, daemon=True).start()
        return self

    def __exit__(self, *exc_info: object) -> None:
        """Kill the process if it still runs."""
        self.kill()

    @property
    def is_ended(self) -> bool:
        """Return whether the process has ended."""
        return self._ended.is_set()

    def wait(self, timeout_s: float) -> bool:
        """Wait for the end of the process; return whether it came."""
        return self._ended.wait(timeout_s)

    def wait_ready(self, deadline: float) -> None:
        """Wait until the daemon is ready; raise a SoakError if it isn't in time."""
        while self.ready_at is None:
            if self.is_ended or time.monotonic() > deadline:
                lines = self.log.read_text().splitlines() or ['no log']
                raise SoakError(f'daemon {self.host} not ready: {lines[-1]}')
            time.sleep(_POLL_S)

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal if the process runs."""
        if number is signal.SIGTERM and self.signalled_at is None:
            self.signalled_at = time.monotonic()
        self.popen.send_signal(number)

    def kill(self) -> None:
        """Kill the process if it still runs, and wait for its end."""
        if not self.is_ended:
            self.killed_at = time.monotonic()
            self.popen.kill()
            self._ended.wait()

    def record(self) -> ProcessRecord:
        """Return the record of the process."""
        return ProcessRecord(
            self.host,
            self.started_at,
            self.ready_at,
            self.signalled_at,
            self.killed_at,
            self.ended_at,
            self.popen.returncode,
        )

    def _watch(self) -> None:
        asked_at = float('-inf')
        while self._is_running():
            now = time.monotonic()
            if self.ready_at is None and now > asked_at + _READY_POLL_S:
                asked_at = now
                is_ready = call(self.host, READY_PORT, 'GET', '/v1/ready') is not None
                self.ready_at = time.monotonic() if is_ready else None
            time.sleep(_POLL_S)
        self.ended_at = time.monotonic()
        self._ended.set()

    def _is_running(self) -> bool:
        options = os.WEXITED | os.WNOHANG | os.WNOWAIT
        with suppress(ChildProcessError):
            if os.waitid(os.P_PID, self.popen.pid, options) is None:
                return True
        # The processor time of an ended process is known until it is waited for.
        self.cpu_s = cpu_seconds(self.popen.pid)
        self.popen.wait()
        return False


class Daemon:
    """One daemon, whose processes follow each other, maybe at new addresses."""

    def __init__(self, fleet: DaemonFleet) -> None:
        self.fleet = fleet
        self._lock = threading.Lock()
        self.process = fleet.new_process(fleet.next_slot())

    def stop(self) -> None:
        """Send SIGTERM, and SIGKILL at the end of the grace period."""
        process = self.process
        process.send_signal(signal.SIGTERM)
        if not process.wait(Bounds().grace_s):
            process.kill()

    def restart(self, *, is_moving: bool = False) -> None:
        """Start a process if none runs."""
        with self._lock:
            if self.process.is_ended and not self.fleet.is_closing:
                slot = int(self.process.host.rpartition('.')[2])
                slot = self.fleet.next_slot() if is_moving else slot
                self.process = self.fleet.new_process(slot)


class DaemonFleet:
    """Context manager that owns all processes of daemons.

    Attributes
    ----------
    open_links : callable
        Opens the proxies of a daemon's address, named by its number.
    """

    def __init__(
        self, network: Network, folder: Path, open_links: Callable[[int], None]
    ) -> None:
        self.network = network
        self.folder = folder
        self.open_links = open_links
        self.processes: list[DaemonProcess] = []
        self.daemons: list[Daemon] = []
        self.is_closing = False
        self._slots = 0
        self._lock = threading.Lock()

    def __enter__(self) -> Self:
        """Return the fleet; `start` starts the daemons."""
        return self

    def __exit__(self, *exc_info: object) -> None:
        """Kill all processes that still run."""
        with self._lock:
            self.is_closing = True
        for process in self.processes:
            process.__exit__(*exc_info)

    def start(self, count: int) -> None:
        """Start the daemons."""
        self.daemons = [Daemon(self) for _ in range(count)]

    def wait_ready(self, timeout_s: float) -> None:
        """Wait until all are ready; raise a SoakError if one isn't."""
        deadline = time.monotonic() + timeout_s
        for daemon in self.daemons:
            daemon.process.wait_ready(deadline)

    def next_slot(self) -> int:
        """Return the number of a new address, whose proxies are open."""
        with self._lock:
            self._slots += 1
            slot = self._slots
        self.open_links(slot)
        return slot

    def new_process(self, slot: int) -> DaemonProcess:
        """Start a process at an address."""
        host = self.network.daemon(slot)
        settings = self.folder / f'{host}.toml'
        seeds = ','.join(
            f'{daemon.process.host}:{CONTROL_PORT}'
            for daemon in self.daemons[:_MAX_SEEDS]
        )
        text = SETTINGS_TEMPLATE.format(
            host=host,
            store=f'{self.network.store_link(slot)}:{SERVICE_PORT}',
            bounds=Bounds(),
            seeds=seeds or f'{self.network.daemon(1)}:{CONTROL_PORT}',
        )
        settings.write_text(text)
        process = DaemonProcess(host, settings, self.folder / f'{host}.log')
        with self._lock:
            if self.is_closing:
                raise SoakError('the soak is closing')
            self.processes.append(process.__enter__())
        return process
