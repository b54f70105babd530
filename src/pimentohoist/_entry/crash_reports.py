"""Requests that crash the endpoints that run them, known to the whole fleet."""

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
from pimentohoist._entry.members import Heartbeat, MembersController
from pimentohoist.entry_models import EntryRequest

_DIGEST_BYTES = 8
_MAX_RECENT_REPORTS = 20
_REPORTED_FOR_S = 30.0


def fingerprint(request: EntryRequest) -> str:
    """Return what a caller's repeats of a request have in common."""
    digest = hashlib.blake2b(request.body, digest_size=_DIGEST_BYTES)
    digest.update(f'\n{request.target}\n{request.key}'.encode())
    return digest.hexdigest()


class CrashReportsController:
    """Remembers crashes and hears of those that other daemons saw."""

    def __init__(self, members: MembersController) -> None:
        self.register = CrashRegister()
        self._reported_at: dict[str, float] = {}
        self._lock = threading.Lock()
        members.on_heartbeat.append(self._record_beat)

    def is_quarantined(self, name: str) -> bool:
        """Return whether a request has crashed more than one endpoint."""
        with self._lock:
            quarantine_status = self.register.quarantine_status(name, _clock.now())
        return quarantine_status is QuarantineStatus.QUARANTINED

    def record_crash(self, name: str, endpoint_id: str) -> int:
        """Note that an endpoint crashed on a request; return how many have."""
        now = _clock.now()
        with self._lock:
            self.register.record_crash(name, endpoint_id, now)
            self._reported_at[name] = now
            counts = {key: known.crashes for key, known in self.register.histories(now)}
        return counts.get(name, 0)

    def recent_reports(self) -> list[str]:
        """Return the newest crashes, as beats carry them."""
        now = _clock.now()
        with self._lock:
            self._reported_at = {
                name: at
                for name, at in self._reported_at.items()
                if now - at < _REPORTED_FOR_S
            }
            newest = sorted(self._reported_at, key=self._reported_at.__getitem__)[
                -_MAX_RECENT_REPORTS:
            ]
            known = dict(self.register.histories(now))
        return [
            f'{name}:{known[name].crashes}:{known[name].endpoint}'
            for name in newest
            if name in known
        ]

    def dump(self) -> Mapping[str, Any]:
        """Return how many requests are known to crash endpoints."""
        return {'told': len(self._reported_at)}

    def _record_beat(self, heartbeat: Heartbeat, before: Heartbeat | None) -> None:
        for report in heartbeat.crashes:
            name, count, endpoint_id = report.split(':', 2)
            history = CrashHistory(int(count), endpoint_id, _clock.now())
            with self._lock:
                self.register.merge(name, history)
