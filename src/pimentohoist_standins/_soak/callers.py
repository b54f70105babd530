"""Callers as processes of the soak: they ask the directory, send requests, record the ends."""

from __future__ import annotations

import random
import threading
import time
from dataclasses import dataclass, replace
from typing import Self

from pimentohoist_standins._soak.addresses import CALLERS_PORT, Network, slot_of
from pimentohoist_standins._soak.caller_connection import CallerConnection, Exchange
from pimentohoist_standins._soak.caller_directory import DirectoryCopy
from pimentohoist_standins._soak.caller_requests import (
    TIMEOUT_S,
    CallerRequest,
    draw_request,
)
from pimentohoist_standins._soak.record_files import RecordFile
from pimentohoist_standins._soak.records import CallerRecord, FaultRecord, RequestKind

_PAUSE_S = 0.25
"""Mean time between the end of a request and the next one of a caller."""

_KEPT_PAUSE_S = 0.5
"""Pause of a caller that knows no address."""

_MAX_KEPT_REQUESTS = 40
_KEEPING_SHARE = 0.7
_STAYING_SHARE = 0.3
_LEAVING_TIME_SHARE = 0.3
"""Callers that leave early do so within this share of their time."""

_LEAST_LEFT_S = 0.001
_SLOW_READ_S = 0.05
_REQUEST_FIELDS = ('route', 'kind', 'key', 'workspace', 'adapter', 'tokens')
_EXCHANGE_FIELDS = (
    *('sent_at', 'read_at', 'first_byte_at', 'status', 'retry_after_s', 'is_whole'),
    *('events', 'end', 'is_kept'),
)
_NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
_FINAL_STATUSES = frozenset((200, 400, 401, 404, 413, 431))
_RETRY_AFTER_SHARE = 1 / 3
"""Callers wait for Retry-After up to this share of the time they have left."""


@dataclass(frozen=True, slots=True)
class Habits:
    """How a caller uses connections.

    Attributes
    ----------
    is_keeping : bool
        Whether it sends many requests on one connection.
    is_staying : bool
        Whether it uses a daemon until that fails, although the directory no longer names it.
    keeps_copy_s : float
        Time for which it keeps a copy of the directory.
    leaves, reads_slowly : float
        Share of the requests that it leaves early, and of responses that it reads slowly.
    """

    is_keeping: bool
    is_staying: bool
    keeps_copy_s: float
    leaves: float
    reads_slowly: float


def draw_habits(source: random.Random) -> Habits:
    """Return a caller's habits."""
    return Habits(
        is_keeping=_happens(source, _KEEPING_SHARE),
        is_staying=_happens(source, _STAYING_SHARE),
        keeps_copy_s=source.choice((2, 2, 6)),
        leaves=source.choice((0, 0.02, 0.1)),
        reads_slowly=source.choice((0, 0, 0.1)),
    )


class Caller:
    """One caller, which sends one request after the other."""

    def __init__(
        self,
        name: str,
        source: random.Random,
        network: Network,
        daemons: list[str],
        records: RecordFile,
    ) -> None:
        self.name = name
        self.source = source
        self.network = network
        self.habits = draw_habits(source)
        self.directory = DirectoryCopy(daemons, self.habits.keeps_copy_s, source)
        self.records = records
        self.connection: CallerConnection | None = None
        self.last_host = ''
        self.attempts = 0

    def run(self, until: float) -> None:
        """Send requests until a time."""
        while time.monotonic() < until:
            self.call(draw_request(self.source))
            time.sleep(self.source.expovariate(1 / _PAUSE_S))
        self._drop_connection()

    def call(self, request: CallerRequest) -> None:
        """Send a request, and once more if it may be repeated."""
        deadline = time.monotonic() + request.deadline_s
        seen = self.attempt(request, deadline)
        if seen is None or not _may_repeat(request.kind, seen):
            return
        left_s = deadline - time.monotonic()
        if left_s > 0:
            time.sleep(min(seen.retry_after_s or 0, left_s * _RETRY_AFTER_SHARE))
            self._drop_connection()
            self.attempt(request, deadline)

    def attempt(self, request: CallerRequest, deadline: float) -> Exchange | None:
        """Send a request once and record how it ended; None without an address."""
        connection = self._usable_connection()
        if connection is None:
            time.sleep(_KEPT_PAUSE_S)
            return None
        self.attempts += 1
        sent_at = time.monotonic()
        left_s = max(_LEAST_LEFT_S, deadline - sent_at)
        seen = Exchange(deadline, sent_at, connection.requests > 0)
        if _happens(self.source, self.habits.leaves):
            seen.is_leaving_early = True
            seen.leaves_at = (
                sent_at + left_s * self.source.random() * _LEAVING_TIME_SHARE
            )
        if _happens(self.source, self.habits.reads_slowly):
            seen.slow_read_s = _SLOW_READ_S
        request_id = f'{self.name}-{self.attempts}'
        connection.exchange(request.path, request.headers(request_id, left_s), seen)
        sent = replace(request, deadline_s=left_s)
        self._record(request_id, connection.daemon, sent, seen)
        if not seen.is_whole:
            self.directory.record_failure(connection.daemon)
        if seen.is_closing or not self.habits.is_keeping:
            self._drop_connection()
        return seen

    def _usable_connection(self) -> CallerConnection | None:
        """Return the kept connection or a new one; None if no address is known."""
        hosts = self.directory.hosts()
        kept = self.connection
        is_listed = kept is not None and kept.daemon in hosts
        if kept is not None and (is_listed or self.habits.is_staying):
            if kept.requests < _MAX_KEPT_REQUESTS:
                return kept
        self._drop_connection()
        if not hosts:
            return None
        host = self.directory.choose(self.last_host if self.habits.is_staying else '')
        self.last_host = host
        address = (self.network.callers_link(slot_of(host)), CALLERS_PORT)
        self.connection = CallerConnection(host, address)
        return self.connection

    def _drop_connection(self) -> None:
        if self.connection is not None:
            self.connection.close()
            self.connection = None

    def _record(
        self, request_id: str, daemon: str, sent: CallerRequest, seen: Exchange
    ) -> None:
        fields = {name: getattr(sent, name) for name in _REQUEST_FIELDS}
        fields |= {name: getattr(seen, name) for name in _EXCHANGE_FIELDS}
        record = CallerRecord(
            request_id=request_id,
            daemon=daemon,
            timeout_s=min(sent.deadline_s, TIMEOUT_S),
            ended_at=time.monotonic(),
            has_seal='pimentohoist-response-seal' in seen.headers,
            **fields,
        )
        self.records.write(self.records.next_number(), record)
        if seen.slow_read_s:
            slow = FaultRecord('caller_slow', request_id, seen.sent_at, record.ended_at)
            self.records.write(self.records.next_number(), slow)


class CallersRole:
    """Context manager that runs some callers in threads."""

    def __init__(
        self, prefix: str, seed: int, numbers: list[int], daemons: list[str], path: str
    ) -> None:
        self.records = RecordFile(path)
        network = Network(prefix)
        self.callers = [
            Caller(
                f's{seed}-c{number}',
                random.Random(f'{seed}-{number}'),
                network,
                daemons,
                self.records,
            )
            for number in numbers
        ]
        self.threads: list[threading.Thread] = []

    def __enter__(self) -> Self:
        """Open the file of records."""
        self.records.__enter__()
        return self

    def __exit__(self, *exc_info: object) -> None:
        """Close the file of records."""
        self.records.__exit__(*exc_info)

    def start(self, until: float) -> None:
        """Let all callers send requests until a time."""
        self.threads = [
            threading.Thread(target=caller.run, args=(until,), daemon=True)
            for caller in self.callers
        ]
        for thread in self.threads:
            thread.start()

    def attempt_count(self) -> int:
        """Return how many requests were sent."""
        return sum(caller.attempts for caller in self.callers)

    def join(self) -> None:
        """Wait until all callers are done."""
        for thread in self.threads:
            thread.join()


def _happens(source: random.Random, share: float) -> bool:
    return source.random() < share


def _may_repeat(kind: RequestKind, seen: Exchange) -> bool:
    if seen.is_leaving_early or seen.status in _FINAL_STATUSES:
        return False
    return kind is RequestKind.SAFE or seen.status in _NOT_RUN_STATUSES
