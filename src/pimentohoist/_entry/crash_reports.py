"""Requests that crash endpoints, reported to the whole fleet by heartbeats."""

from __future__ import annotations

import hashlib
import threading
from collections.abc import Mapping
from typing import Any

from pimentohoist import _clock
from pimentohoist._decisions.quarantine import (
    CrashHistory,
    CrashRegister,
    QuarantineStatus,
)
from pimentohoist._entry.heartbeat import Heartbeat
from pimentohoist._entry.members import MembersController
from pimentohoist.entry_models import EntryRequest

_DIGEST_BYTES = 8
_MAX_RECENT_REPORTS = 20
_MAX_REPORT_AGE_S = 30.0


def fingerprint_of(request: EntryRequest) -> str:
    """Return a digest that is the same for a caller's retries of a request."""
    digest = hashlib.blake2b(request.body, digest_size=_DIGEST_BYTES)
    digest.update(f'\n{request.target}\n{request.key}'.encode())
    return digest.hexdigest()


class CrashReportsController:
    """Keeps the crashes that this and other daemons have recorded."""

    def __init__(self, members: MembersController) -> None:
        self.register = CrashRegister()
        self._reported_at: dict[str, float] = {}
        self._lock = threading.Lock()
        members.on_heartbeat.append(self._record_heartbeat)

    def is_quarantined(self, fingerprint: str) -> bool:
        """Return whether a request has crashed more than one endpoint."""
        with self._lock:
            quarantine_status = self.register.quarantine_status(
                fingerprint, _clock.now()
            )
        return quarantine_status is QuarantineStatus.QUARANTINED

    def record_crash(self, fingerprint: str, endpoint_id: str) -> int:
        """Record that a request crashed an endpoint; return how many it has crashed."""
        now = _clock.now()
        with self._lock:
            self.register.record_crash(fingerprint, endpoint_id, now)
            self._reported_at[fingerprint] = now
            counts = {key: known.crashes for key, known in self.register.histories(now)}
        return counts.get(fingerprint, 0)

    def recent_reports(self) -> list[str]:
        """Return the newest crashes, encoded for this daemon's heartbeats."""
        now = _clock.now()
        with self._lock:
            self._reported_at = {
                fingerprint: at
                for fingerprint, at in self._reported_at.items()
                if now - at < _MAX_REPORT_AGE_S
            }
            newest = sorted(self._reported_at, key=self._reported_at.__getitem__)[
                -_MAX_RECENT_REPORTS:
            ]
            known = dict(self.register.histories(now))
        return [
            f'{fingerprint}:{known[fingerprint].crashes}:{known[fingerprint].endpoint}'
            for fingerprint in newest
            if fingerprint in known
        ]

    def dump(self) -> Mapping[str, Any]:
        """Return the number of crashes that this daemon reports."""
        return {'told': len(self._reported_at)}

    def _record_heartbeat(
        self, heartbeat: Heartbeat, previous: Heartbeat | None
    ) -> None:
        for report in heartbeat.crash_reports:
            fingerprint, count, endpoint_id = report.split(':', 2)
            history = CrashHistory(int(count), endpoint_id, _clock.now())
            with self._lock:
                self.register.merge(fingerprint, history)
