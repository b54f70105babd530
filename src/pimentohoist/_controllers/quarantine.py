"""Quarantine of requests that crash endpoints, shared between all daemons."""

from __future__ import annotations

import logging
import threading
import time
from collections import Counter
from collections.abc import Callable, Iterable, Mapping
from concurrent.futures import ThreadPoolExecutor, wait
from typing import Any, Protocol, Self

from pimentohoist._decisions.quarantine import (
    CRASH_REPORT_TIMEOUT_S,
    CrashHistory,
    CrashRegister,
    QuarantineStatus,
)
from pimentohoist._generated import peer_pb2
from pimentohoist.exceptions import PeerError
from pimentohoist.models import Member
from pimentohoist.protocols import Clock, Peers

_STEP = 'quarantine'
_MAX_POOL_THREADS = 32
_FETCH_TIMEOUT_S = 2.0
_FETCH_PERIOD_S = 0.5
_MAX_FETCH_SOURCES = 3
_MS_PER_S = 1000
_CRASHED = 'crashed'
_SUCCEEDED = 'succeeded'
_logger = logging.getLogger(__name__)


class Membership(Protocol):
    """The members of the current view, and this daemon's incarnation."""

    incarnation: str

    def members(self) -> tuple[Member, ...]:
        """Return the members of the current view."""


class QuarantineController:
    """Records crashes by request fingerprint and reports them to the other daemons.

    A report is sent to all members before the request is retried or refused, so that any
    daemon to which the caller sends it again has the report. A daemon that joins fetches
    the crashes that other members have recorded.
    """

    def __init__(
        self,
        membership: Membership,
        peers: Peers,
        clock: Clock = time.monotonic,
    ) -> None:
        self.membership = membership
        self.peers = peers
        self.clock = clock
        self.register = CrashRegister()
        self.counts: Counter[str] = Counter()
        self._lock = threading.Lock()
        self._closed = threading.Event()
        self._pool = ThreadPoolExecutor(
            _MAX_POOL_THREADS, thread_name_prefix='crash-report'
        )
        self._fetch_thread = threading.Thread(
            target=self._fetch_crashes, name='fetch-crashes', daemon=True
        )

    def __enter__(self) -> Self:
        """Start to fetch recorded crashes from other members."""
        self._fetch_thread.start()
        return self

    def __exit__(self, *exc_info: object) -> None:
        """Stop, and abandon the reports in flight."""
        self._closed.set()
        self._pool.shutdown(wait=False, cancel_futures=True)

    def quarantine_status(self, fingerprint: str) -> QuarantineStatus:
        """Return the quarantine status of a request."""
        with self._lock:
            return self.register.quarantine_status(fingerprint, self.clock())

    def report_crash(self, fingerprint: str, endpoint: str) -> QuarantineStatus:
        """Report a crash to all daemons; return the request's status after it."""
        self._record(fingerprint, endpoint, _CRASHED)
        self._broadcast(fingerprint, endpoint, _CRASHED)
        quarantine_status = self.quarantine_status(fingerprint)
        _logger.warning(
            'request was in flight when its endpoint crashed',
            extra={
                'fingerprint': fingerprint,
                'step': _STEP,
                'peer': endpoint,
                'standing': quarantine_status.value,
            },
        )
        return quarantine_status

    def report_success(self, fingerprint: str) -> None:
        """Report to all daemons that a suspect completed; other requests need none."""
        if self.quarantine_status(fingerprint) is not QuarantineStatus.SUSPECT:
            return
        self._record(fingerprint, '', _SUCCEEDED)
        self._broadcast(fingerprint, '', _SUCCEEDED)

    def peer_methods(self) -> Mapping[str, Callable[[Any], Any]]:
        """Return the handlers of other daemons' calls, by method."""
        return {
            'ReportCrash': self._answer_report,
            'FetchCrashes': self._answer_fetch,
        }

    def dump(self) -> Mapping[str, Any]:
        """Return counts only, no prompts or fingerprints."""
        with self._lock:
            now = self.clock()
            fingerprints = [name for name, _ in self.register.histories(now)]
            status_counts = Counter(
                self.register.quarantine_status(name, now).value
                for name in fingerprints
            )
            return {'known': dict(status_counts), 'reports': dict(self.counts)}

    def _record(self, fingerprint: str, endpoint: str, verdict: str) -> None:
        with self._lock:
            self.counts[verdict] += 1
            if verdict == _CRASHED:
                self.register.record_crash(fingerprint, endpoint, self.clock())
            else:
                self.register.clear(fingerprint, self.clock())

    def _broadcast(self, fingerprint: str, endpoint: str, verdict: str) -> None:
        report = peer_pb2.CrashReport(
            sender=self._sender(),
            fingerprint=fingerprint,
            endpoint=endpoint,
            verdict=verdict,
        )
        calls = [
            self._pool.submit(self._send, member, report) for member in self._others()
        ]
        wait(calls, timeout=CRASH_REPORT_TIMEOUT_S)

    def _send(self, member: Member, report: peer_pb2.CrashReport) -> None:
        try:
            self.peers.call(
                member.peer_address,
                'ReportCrash',
                report,
                timeout_s=CRASH_REPORT_TIMEOUT_S,
            )
        except PeerError as error:
            with self._lock:
                self.counts['untold'] += 1
            _logger.warning(
                'failed to deliver crash report: %s',
                error.message,
                extra={'step': _STEP, 'peer': error.peer},
            )

    def _answer_report(self, report: Any) -> peer_pb2.Acknowledgement:
        self._record(report.fingerprint, report.endpoint, report.verdict)
        return peer_pb2.Acknowledgement(accepted=True)

    def _answer_fetch(self, request: Any) -> peer_pb2.CrashesReply:
        with self._lock:
            now = self.clock()
            crashes = [
                _crash_message(fingerprint, history, now)
                for fingerprint, history in self.register.histories(now)
            ]
        return peer_pb2.CrashesReply(crashes=crashes)

    def _fetch_crashes(self) -> None:
        """Fetch from a few members once each; keep looking while the view has fewer."""
        fetched_from: set[str] = set()
        while len(fetched_from) < _MAX_FETCH_SOURCES and not self._closed.wait(
            _FETCH_PERIOD_S
        ):
            for member in self._others():
                if member.incarnation not in fetched_from and self._fetch_from(member):
                    fetched_from.add(member.incarnation)

    def _fetch_from(self, member: Member) -> bool:
        request = peer_pb2.CrashesRequest(sender=self._sender())
        try:
            reply = self.peers.call(
                member.peer_address,
                'FetchCrashes',
                request,
                timeout_s=_FETCH_TIMEOUT_S,
            )
        except PeerError:
            return False
        self._merge(reply.crashes)
        return True

    def _merge(self, crashes: Iterable[Any]) -> None:
        with self._lock:
            now = self.clock()
            for crash in crashes:
                last_at = now - crash.age_ms / _MS_PER_S
                history = CrashHistory(crash.crashes, crash.endpoint, last_at)
                self.register.merge(crash.fingerprint, history)

    def _others(self) -> list[Member]:
        return [
            member
            for member in self.membership.members()
            if member.incarnation != self.membership.incarnation
        ]

    def _sender(self) -> peer_pb2.Sender:
        return peer_pb2.Sender(incarnation=self.membership.incarnation)


def _crash_message(
    fingerprint: str, history: CrashHistory, now: float
) -> peer_pb2.KnownCrash:
    return peer_pb2.KnownCrash(
        fingerprint=fingerprint,
        crashes=history.crashes,
        endpoint=history.endpoint,
        age_ms=int((now - history.last_at) * _MS_PER_S),
    )
