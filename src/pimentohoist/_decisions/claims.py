"""Decisions on claims of actions, and the queue of records for the claims log."""

from __future__ import annotations

import hashlib
import json
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass
from enum import StrEnum

from pimentohoist._claims_fold import (
    Claim,
    ClaimRecord,
    ClaimsFold,
    ClaimsRecord,
    ClaimState,
)

MAX_BATCH_RECORDS = 256
MAX_BATCH_BYTES = 1_048_576
_ID_BYTES = 16


class ClaimVerdict(StrEnum):
    """Whether the log lets a daemon run the action that it claimed.

    ``VOID`` means that the claim doesn't hold the action and has not run it.
    """

    UNDECIDED = 'undecided'
    RUN = 'run'
    REPLAY = 'replay'
    IN_PROGRESS = 'in_progress'
    UNKNOWN = 'unknown'
    CONFLICT = 'conflict'
    VOID = 'void'


_VERDICTS_BY_STATE = (
    (ClaimState.OPEN, ClaimVerdict.IN_PROGRESS),
    (ClaimState.LOST, ClaimVerdict.UNKNOWN),
    (ClaimState.UNKNOWN, ClaimVerdict.UNKNOWN),
    (ClaimState.ANSWERED, ClaimVerdict.REPLAY),
)


def action_id(workspace: str, route: str, key: str) -> str:
    """Return the id of an action, the same for all its retries."""
    return _digest(json.dumps([workspace, route, key]).encode())


def request_digest(method: str, path: str, content_type: str, body: bytes) -> str:
    """Return the digest of the request parts that a retry must not change."""
    return _digest(json.dumps([method, path, content_type]).encode() + b'\n' + body)


def decide(fold: ClaimsFold, claim: ClaimRecord) -> ClaimVerdict:
    """Return the verdict on `claim`, whether or not it is in the log."""
    holder = fold.claims.get(claim.action)
    if holder is None:
        is_void = claim.incarnation in fold.departed or claim.claim_id in fold.released
        return ClaimVerdict.VOID if is_void else ClaimVerdict.UNDECIDED
    if holder.claim_id == claim.claim_id:
        is_open = holder.state is ClaimState.OPEN
        return ClaimVerdict.RUN if is_open else ClaimVerdict.VOID
    return _decide_other(holder, claim.digest)


def _decide_other(holder: Claim, digest: str) -> ClaimVerdict:
    if holder.digest != digest:
        return ClaimVerdict.CONFLICT
    return dict(_VERDICTS_BY_STATE)[holder.state]


@dataclass(frozen=True, slots=True)
class _Entry:
    record: ClaimsRecord
    body: bytes

    @property
    def claim_id(self) -> str:
        """Id of the claim if the record is one, else empty."""
        return self.record.claim_id if isinstance(self.record, ClaimRecord) else ''


class AppendQueue:
    """Records to append to the log in batches, one append at a time.

    Outcomes, releases and takeovers are appended until the log has them; a second copy
    has no effect. A claim is appended again only while the result of its append is
    unknown and its request still waits.
    """

    def __init__(self, max_records: int = MAX_BATCH_RECORDS) -> None:
        self.max_records = max_records
        self._waiting: deque[_Entry] = deque()
        self._batch: tuple[_Entry, ...] = ()
        self._maybe_appended: set[str] = set()
        self._withdrawn: set[str] = set()

    def __len__(self) -> int:
        """Return the number of records not known to be in the log."""
        return len(self._waiting) + len(self._batch)

    def put(self, record: ClaimsRecord) -> None:
        """Add a record at the end."""
        self._waiting.append(_Entry(record, record.model_dump_json().encode()))

    def take(self) -> tuple[bytes, ...]:
        """Return the next batch to append; empty if no record waits."""
        batch: list[_Entry] = []
        size = 0
        while self._waiting and len(batch) < self.max_records:
            size += len(self._waiting[0].body)
            if batch and size > MAX_BATCH_BYTES:
                break
            batch.append(self._waiting.popleft())
        self._batch = tuple(batch)
        return tuple(entry.body for entry in batch)

    def accept(self) -> None:
        """Record that the batch was appended."""
        self._maybe_appended.update(self._batch_claim_ids() - self._withdrawn)
        self._end_batch(())

    def retry_batch(self) -> None:
        """Record that the batch may have been appended; it will be sent again."""
        self._maybe_appended.update(self._batch_claim_ids() - self._withdrawn)
        self._end_batch(self._batch)

    def refuse(self) -> frozenset[str]:
        """Record that the batch was not appended; drop and return its claims."""
        claim_ids = self._batch_claim_ids() - self._withdrawn
        self._end_batch(entry for entry in self._batch if not entry.claim_id)
        return frozenset(claim_ids)

    def withdraw(self, claim_id: str) -> bool:
        """Stop appending a claim; return whether a copy of it may be in the log."""
        is_under_way = claim_id in self._batch_claim_ids()
        if is_under_way:
            self._withdrawn.add(claim_id)
        self._waiting = deque(
            entry for entry in self._waiting if entry.claim_id != claim_id
        )
        may_be_in_log = is_under_way or claim_id in self._maybe_appended
        self._maybe_appended.discard(claim_id)
        return may_be_in_log

    def _batch_claim_ids(self) -> set[str]:
        return {entry.claim_id for entry in self._batch} - {''}

    def _end_batch(self, again: Iterable[_Entry]) -> None:
        kept = [entry for entry in again if entry.claim_id not in self._withdrawn]
        self._waiting.extendleft(reversed(kept))
        self._batch = ()
        self._withdrawn.clear()


def _digest(text: bytes) -> str:
    return hashlib.blake2b(text, digest_size=_ID_BYTES).hexdigest()
