"""Callers that send requests around a daemon's stop and record how each ended."""

from __future__ import annotations

import re
import signal
import socket
import subprocess
import threading
import time
from dataclasses import dataclass, field

from entry_fleet import KEY, MODEL, EntryFleet, EntryProcess

from pimentohoist_standins.opaque_engine_handler import WORK_MS

GRACE_S = 8.0
_LOSS_SLACK_S = 0.2
"""A connection may close without an answer within this time of a request's last byte."""

_READ_TIMEOUT_S = 15.0
_POLL_S = 0.002
_HEAD_END = b'\r\n\r\n'
_LAST_CHUNK = b'0\r\n\r\n'


@dataclass
class SentRequest:
    """One request, and how it ended for its caller.

    Attributes
    ----------
    sent_after_s, ended_after_s : float
        Seconds since SIGTERM.
    """

    request_id: str
    sent_after_s: float
    response: bytes = b''
    ended_after_s: float = 0
    failure: str = ''

    @property
    def status(self) -> int:
        """Return the status; 0 without a head."""
        return int(self.response.split(b' ', 2)[1]) if self.response else 0

    @property
    def is_whole(self) -> bool:
        """Return whether the response has come to its end."""
        head, separator, body = self.response.partition(_HEAD_END)
        if not separator:
            return False
        if re.search(rb'(?i)transfer-encoding: chunked', head):
            return body.endswith(_LAST_CHUNK)
        length = re.search(rb'(?i)content-length: (\d+)', head)
        return length is not None and len(body) >= int(length[1])


@dataclass
class Stop:
    """A daemon that gets SIGTERM, and is killed at the end of its grace period."""

    daemon: EntryProcess
    signalled_at: float = 0
    gone_after_s: float | None = None
    requests: list[SentRequest] = field(default_factory=list)
    threads: list[threading.Thread] = field(default_factory=list)

    def begin(self) -> None:
        """Send SIGTERM."""
        self.signalled_at = time.monotonic()
        self.daemon.popen.send_signal(signal.SIGTERM)
        self.start_thread(self._kill_in_time)

    def elapsed_s(self) -> float:
        """Return the seconds since SIGTERM."""
        return time.monotonic() - self.signalled_at

    def start_thread(self, function, *arguments) -> None:
        """Run a function in a thread that `join` waits for."""
        thread = threading.Thread(target=function, args=arguments)
        self.threads.append(thread)
        thread.start()

    def join(self) -> None:
        """Wait for all callers and the end of the daemon."""
        while self.threads:
            self.threads.pop().join()

    def _kill_in_time(self) -> None:
        try:
            self.daemon.popen.wait(GRACE_S - self.elapsed_s())
            self.gone_after_s = self.elapsed_s()
        except subprocess.TimeoutExpired:
            self.daemon.popen.kill()
            self.daemon.popen.wait()


class Caller:
    """A caller with one connection to the stopping daemon."""

    def __init__(self, stop: Stop, work_ms: int = 0) -> None:
        self.stop = stop
        self.work_ms = work_ms
        self.sock = socket.create_connection((stop.daemon.host, 8000), 2)
        self.sock.settimeout(_READ_TIMEOUT_S)

    def send_at(self, after_s: float, path: str, request_id: str) -> None:
        """Send a request at a time after SIGTERM and read its response."""
        time.sleep(max(0, after_s - self.stop.elapsed_s()))
        self.send(path, request_id)

    def send(self, path: str, request_id: str) -> None:
        """Send a request and read its response."""
        sent = SentRequest(request_id, self.stop.elapsed_s())
        self.stop.requests.append(sent)
        try:
            self.sock.sendall(_request(path, request_id, self.work_ms))
            while not sent.is_whole:
                part = self.sock.recv(65_536)
                if not part:
                    break
                sent.response += part
        except OSError as error:
            sent.failure = type(error).__name__
        sent.ended_after_s = self.stop.elapsed_s()


def call_until_gone(stop: Stop, name: str, path: str, pause_s: float) -> None:
    """Send requests, each on a new connection, until no connection can be opened."""
    number = 0
    while stop.elapsed_s() < GRACE_S + 1:
        try:
            caller = Caller(stop)
        except OSError:
            return
        number += 1
        caller.send(path, f'{name}-{number}')
        caller.sock.close()
        time.sleep(pause_s)


def lost_requests(fleet: EntryFleet, stop: Stop) -> list[SentRequest]:
    """Return the requests that have neither a whole answer nor surely not run.

    Not lost is a request that no engine has executed, if its connection closed within the
    slack after it was sent.
    """
    engines = (*fleet.engines, fleet.ledger)
    executed = {
        request.request_id
        for engine in engines
        for request in engine.state.executed_requests
    }
    return [sent for sent in stop.requests if _is_lost(sent, executed)]


def _is_lost(sent: SentRequest, executed: set[str]) -> bool:
    if sent.is_whole:
        return sent.status in {429, 503} and sent.request_id in executed
    was_prompt = sent.ended_after_s - sent.sent_after_s <= _LOSS_SLACK_S
    return sent.request_id in executed or not was_prompt


def wait_for_log(daemon: EntryProcess, text: str, limit_s: float) -> None:
    """Return as soon as the daemon's log has a text."""
    deadline = time.monotonic() + limit_s
    while text not in daemon.log.read_text():
        assert time.monotonic() < deadline, f'not logged: {text}'
        time.sleep(_POLL_S)


def _request(path: str, request_id: str, work_ms: int) -> bytes:
    lines = [
        f'POST {path} HTTP/1.1',
        'Host: house.example',
        f'Pimentohoist-Attempt-Id: {request_id}',
        f'Api-Key: {KEY}',
        'Content-Length: 2',
    ]
    if work_ms:
        lines.append(f'{WORK_MS}: {work_ms}')
    if path.startswith('/models'):
        lines.append(f'Pimentohoist-Model: {MODEL}/a0')
        lines.append('Pimentohoist-Token-Count: 10,20')
    return '\r\n'.join([*lines, '', '{}']).encode()
