"""Refuses requests with a part of the prompt that crashes engines.

Evidence is shared by heartbeats. After a crash a daemon sends one at once, since the next
request with the part may come at any daemon.
"""

from __future__ import annotations

import hashlib
import logging
import threading
from collections.abc import Mapping
from typing import Any

from pimentohoist import _clock
from pimentohoist._decisions.prompt_parts import (
    MAX_REPORTS,
    PartEvidence,
    PartRegister,
)
from pimentohoist._entry.filters import add_jitter
from pimentohoist._entry.heartbeat import Heartbeat
from pimentohoist._entry.members import MembersController
from pimentohoist._entry.request_context import RequestContext, log_fields
from pimentohoist._rendezvous import rank_names
from pimentohoist.entry_models import Endpoint
from pimentohoist.exceptions import UnavailableError

_STEP = 'quarantine'
_DIGEST_BYTES = 4
_CLEARED_REPORT_S = 5.0
_PROBE_STEP_S = 2.0
"""Time between the daemons' turns to try a part: it includes the wait for an adapter."""

_logger = logging.getLogger(__name__)


class PartQuarantine:
    """Keeps this daemon's evidence on parts, and that of the other daemons."""

    def __init__(self, members: MembersController) -> None:
        self.members = members
        self.register = PartRegister()
        self._cleared_at: dict[str, float] = {}
        self._lock = threading.Lock()
        members.on_heartbeat.append(self._record_heartbeat)

    def __call__(self, context: RequestContext) -> None:
        """Raise UnavailableError for a request with a quarantined part, unless it is a probe."""
        parts = context.request.shared_parts
        if context.is_probe or not parts:
            return
        now = _clock.now()
        with self._lock:
            verdict = self.register.check(parts, now)
            if not verdict.quarantined:
                return
            is_probe = now >= verdict.probe_at + self._probe_delay_s(
                verdict.quarantined[0]
            )
            if is_probe:
                self.register.begin_probe(verdict.quarantined, now)
        extra = {**log_fields(context), 'parts': verdict.quarantined}
        context.is_probe = is_probe
        if is_probe:
            _logger.warning('probe of a quarantined part', extra=extra)
            return
        raise UnavailableError(
            f'requests with part {verdict.quarantined[0]} of the prompt crash engines',
            step=_STEP,
            retry_after_s=add_jitter(verdict.probe_at - now),
        )

    def record_begun(self, context: RequestContext) -> None:
        """Record that the answer to a request has begun."""
        now = _clock.now()
        with self._lock:
            cleared = self.register.record_begun(context.request.shared_parts, now)
            self._cleared_at.update(dict.fromkeys(cleared, now))
        if cleared:
            extra = {**log_fields(context), 'parts': cleared}
            _logger.info('suspect parts of a prompt are cleared', extra=extra)
            self.members.send_soon()

    def record_crash(self, context: RequestContext, endpoint: Endpoint) -> None:
        """Record that an endpoint crashed before it began to answer a request."""
        digest = hashlib.blake2b(
            endpoint.incarnation.encode(), digest_size=_DIGEST_BYTES
        )
        now = _clock.now()
        with self._lock:
            suspects = self.register.record_crash(
                context.request.shared_parts,
                digest.hexdigest(),
                now,
                is_answered=context.framing is not None,
            )
            quarantined = self.register.check(suspects, now).quarantined
        if not suspects:
            return
        extra = {
            **log_fields(context),
            'endpoint': endpoint.incarnation,
            'suspects': suspects,
            'quarantined': quarantined,
        }
        _logger.warning('parts of a prompt are suspect', extra=extra)
        self.members.send_soon()

    def reports(self) -> list[list[Any]]:
        """Return the evidence for this daemon's heartbeats."""
        now = _clock.now()
        with self._lock:
            return [
                [
                    part,
                    round(now - evidence.last_at, 3),
                    sorted(evidence.crashes),
                    sorted(evidence.answered),
                    sorted(evidence.companions),
                ]
                for part, evidence in self.register.reports(now)
            ]

    def cleared_parts(self) -> list[str]:
        """Return the parts that were suspect and that this daemon knows to be cleared."""
        now = _clock.now()
        with self._lock:
            self._cleared_at = {
                part: at
                for part, at in self._cleared_at.items()
                if now - at < _CLEARED_REPORT_S
            }
            return list(self._cleared_at)[-MAX_REPORTS:]

    def quarantined_count(self) -> int:
        """Return how many parts are quarantined."""
        with self._lock:
            return len(self.register.quarantined(_clock.now()))

    def dump(self) -> Mapping[str, Any]:
        """Return the quarantined parts."""
        with self._lock:
            return {'quarantined': self.register.quarantined(_clock.now())}

    def _probe_delay_s(self, part: str) -> float:
        """Return how long this daemon leaves a probe to those that rank before it."""
        live = (heartbeat.member for heartbeat in self.members.live())
        ranked = rank_names(part, [self.members.member, *live])
        return ranked.index(self.members.member) * _PROBE_STEP_S

    def _record_heartbeat(
        self, heartbeat: Heartbeat, previous: Heartbeat | None
    ) -> None:
        if not heartbeat.part_reports and not heartbeat.cleared_parts:
            return
        now = _clock.now()
        with self._lock:
            self.register.record_begun(heartbeat.cleared_parts, now)
            before = set(self.register.quarantined(now))
            for part, *report in heartbeat.part_reports:
                if not self.register.merge(part, _read_report(report, now), now):
                    # The sender doesn't know yet that the part is cleared.
                    self._cleared_at[part] = now
            quarantined = sorted(set(self.register.quarantined(now)) - before)
        if quarantined:
            extra = {'step': _STEP, 'source': heartbeat.member, 'parts': quarantined}
            _logger.warning('parts of prompts are quarantined', extra=extra)


def _read_report(report: list[Any], now: float) -> PartEvidence:
    age_s, *names = report
    crashes, answered, companions = map(frozenset, names)
    return PartEvidence(crashes, answered, companions, now - age_s)
