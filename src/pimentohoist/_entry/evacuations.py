"""The evacuated failure domains, as the operators' records and other daemons tell them.

Heartbeats carry what is known, so that it reaches daemons that the store turns away.
"""

from __future__ import annotations

import logging
import threading
from collections.abc import Callable, Sequence
from typing import Any

from pimentohoist._decisions.evacuations import (
    EvacuationKnowledge,
    Position,
    decode_knowledge,
)
from pimentohoist._entry.heartbeat import Heartbeat
from pimentohoist._entry.members import MembersController
from pimentohoist.platform import EVACUATION_KEYS, KeyedRecord

_logger = logging.getLogger(__name__)


class Evacuations:
    """Keeps what this daemon knows of evacuated failure domains.

    Attributes
    ----------
    on_end : callable
        Called with the failure domains whose evacuation ends, before their endpoints may
        get requests again.
    """

    def __init__(self, members: MembersController) -> None:
        self.members = members
        self.knowledge = EvacuationKnowledge()
        self.on_end: Callable[[frozenset[str]], None] = _ignore
        self._is_used = False
        self._lock = threading.Lock()
        members.on_heartbeat.append(self._record_heartbeat)

    @property
    def domains(self) -> frozenset[str]:
        """Return the failure domains whose endpoints get no requests."""
        return self.knowledge.evacuated

    def covers(self, failure_domain: str) -> bool:
        """Return whether a failure domain is evacuated."""
        return failure_domain in self.knowledge.evacuated

    def announced(self) -> list[Any]:
        """Return what is known for heartbeats; empty if no daemon has known a record."""
        return self.knowledge.encoded() if self._is_used else []

    def apply_records(
        self, records: Sequence[KeyedRecord], position: Position, *, is_whole: bool
    ) -> None:
        """Apply what a read of the operators' records, up to a position, has brought."""
        changes = [
            (record.key.removeprefix(EVACUATION_KEYS), record.body is not None)
            for record in records
            if record.key.startswith(EVACUATION_KEYS)
        ]
        if not (changes or is_whole):
            return
        with self._lock:
            knowledge = self.knowledge
            if is_whole:
                listed = frozenset(domain for domain, is_listed in changes if is_listed)
                knowledge = knowledge.after_whole(position, listed)
            else:
                knowledge = knowledge.after_changes(position, changes)
            has_changed = self._replace(knowledge, 'store')
        if has_changed:
            self.members.send_soon()

    def _record_heartbeat(self, heartbeat: Heartbeat, before: Heartbeat | None) -> None:
        if heartbeat.evacuations:
            told = decode_knowledge(heartbeat.evacuations)
            with self._lock:
                self._is_used = True
                self._replace(self.knowledge.merged(told), heartbeat.member)

    def _replace(self, knowledge: EvacuationKnowledge, source: str) -> bool:
        before = self.knowledge
        ended = before.evacuated - knowledge.evacuated
        if ended:
            self.on_end(ended)
        self.knowledge = knowledge
        self._is_used = self._is_used or bool(knowledge.settled or knowledge.former)
        if knowledge.evacuated == before.evacuated:
            return False
        era, offset = knowledge.position
        extra = {
            'step': 'configuration',
            'source': source,
            'evacuated': sorted(knowledge.evacuated),
            'before': sorted(before.evacuated),
            'era': era,
            'offset': offset,
        }
        _logger.info('evacuated failure domains changed', extra=extra)
        return True


def _ignore(domains: frozenset[str]) -> None:
    """Do nothing as the evacuation of failure domains ends."""
