"""Fold of the claims stream, which decides who may execute an action.

An action is a call that may not be repeated, identified by workspace, route and
idempotency key. Only the first claim in log order may execute it. That decision depends
on no clock; recorded times decide only when a settled claim is dropped.
"""

from __future__ import annotations

import base64
import json
from collections import deque
from collections.abc import Callable, Mapping
from dataclasses import asdict, dataclass, replace
from enum import StrEnum
from types import MappingProxyType
from typing import Annotated, Any, Literal, TypeAlias

from pydantic import BaseModel, ConfigDict, Field, TypeAdapter, ValidationError

from pimentohoist.models import LogRecord

CLAIMS_STREAM = 'claims'
CLAIM_RETENTION_S = 86_400.0
"""Retention of a settled claim; a constant, since all readers must agree on it."""

_MAX_CLOCK_SOURCES = 7
_MAX_ID_LENGTH = 200
_Id = Annotated[str, Field(min_length=1, max_length=_MAX_ID_LENGTH)]


class _BaseRecord(BaseModel):
    """Fields that all records have in common.

    Attributes
    ----------
    incarnation : str
        Incarnation of the daemon that wrote the record.
    written_at : float
        Time of the write on that daemon's wall clock, in seconds since 1970.
    """

    model_config = ConfigDict(
        frozen=True, extra='forbid', ser_json_bytes='base64', val_json_bytes='base64'
    )

    incarnation: _Id
    written_at: Annotated[float, Field(ge=0, allow_inf_nan=False)]


class ClaimRecord(_BaseRecord):
    """A daemon's request to execute an action; `digest` covers the whole request."""

    kind: Literal['claim'] = 'claim'
    action: _Id
    claim_id: _Id
    digest: _Id


class OutcomeRecord(_BaseRecord):
    """Outcome of a claim: a response, or an unknown outcome if `status` is 0.

    Attributes
    ----------
    body : bytes or None
        Body of the response; None if it was too large to be kept.
    """

    kind: Literal['outcome'] = 'outcome'
    action: _Id
    claim_id: _Id
    status: int = 0
    content_type: str = ''
    body: bytes | None = None


class ReleaseRecord(_BaseRecord):
    """The claimed action was not executed and never will be under this claim."""

    kind: Literal['release'] = 'release'
    action: _Id
    claim_id: _Id


class TakeoverRecord(_BaseRecord):
    """An incarnation has left the view: no more records are expected from it.

    Attributes
    ----------
    departed : str
        The incarnation that left.
    epoch : int
        Epoch of the view that no longer contains it.
    """

    kind: Literal['takeover'] = 'takeover'
    departed: _Id
    epoch: int


ClaimsRecord: TypeAlias = ClaimRecord | OutcomeRecord | ReleaseRecord | TakeoverRecord
_RECORD_ADAPTER: TypeAdapter[ClaimsRecord] = TypeAdapter(
    Annotated[ClaimsRecord, Field(discriminator='kind')]
)


class ClaimState(StrEnum):
    """State of a claim.

    ``LOST``: its daemon left the view without recording an outcome or a release; such a
    record still counts if it comes later.
    ``UNKNOWN``: its daemon sent the call and received no response.
    """

    OPEN = 'open'
    LOST = 'lost'
    UNKNOWN = 'unknown'
    ANSWERED = 'answered'


@dataclass(frozen=True, slots=True)
class StoredResponse:
    """A service's response; `body` is None if it was too large to be kept."""

    status: int
    content_type: str
    body: bytes | None


@dataclass(frozen=True, slots=True)
class Claim:
    """The claim that holds an action.

    Attributes
    ----------
    settled_at : float
        Time of the fold when the state was last set; the retention starts there.
    """

    claim_id: str
    digest: str
    incarnation: str
    state: ClaimState = ClaimState.OPEN
    settled_at: float = 0
    answer: StoredResponse | None = None


class ClaimsFold:
    """State of the claims stream.

    Attributes
    ----------
    claims : dict of str to Claim
        By action. An open claim is never dropped.
    open_actions : dict of str to set of str
        Actions with an open claim, by incarnation.
    released : dict of str to float
        Time of the fold at the release, by id of a claim that was not executed. A late
        copy of such a claim is ignored.
    departed : dict of str to float
        Time of the fold at the takeover, by incarnation. Later claims of such an
        incarnation are ignored.
    now : float
        Time of the fold, in seconds since 1970: the lower median of the times last
        written by the incarnations that wrote most recently. It never decreases. One
        wrong clock among three can't move it beyond the others.
    """

    def __init__(self, window_s: float = CLAIM_RETENTION_S) -> None:
        self.window_s = window_s
        self.claims: dict[str, Claim] = {}
        self.open_actions: dict[str, set[str]] = {}
        self.released: dict[str, float] = {}
        self.departed: dict[str, float] = {}
        self.now: float = 0
        self.skipped_records = 0
        self._last_written_at: dict[str, float] = {}
        self._settled: deque[tuple[float, str]] = deque()
        self._next_offset = 0
        self._appliers: Mapping[type[ClaimsRecord], Callable[[Any], None]] = (
            MappingProxyType(
                {
                    ClaimRecord: self._apply_claim,
                    OutcomeRecord: self._apply_outcome,
                    ReleaseRecord: self._apply_release,
                    TakeoverRecord: self._apply_takeover,
                }
            )
        )

    @property
    def next_offset(self) -> int:
        """Offset of the first record not yet applied."""
        return self._next_offset

    def apply(self, record: LogRecord) -> None:
        """Apply one record; count and skip a malformed or unknown one."""
        self._next_offset = record.offset + 1
        try:
            event = _RECORD_ADAPTER.validate_json(record.body)
        except ValidationError:
            self.skipped_records += 1
            return
        self._advance_clock(event)
        self._drop_expired()
        self._appliers[type(event)](event)

    def answer(self, action: str) -> StoredResponse | None:
        """Return the stored response of an action; None if there is none yet."""
        claim = self.claims.get(action)
        return None if claim is None else claim.answer

    def snapshot(self) -> bytes:
        """Return the whole state, encoded as JSON."""
        return json.dumps(
            {
                'next_offset': self._next_offset,
                'claims': {
                    action: _encode_claim(claim)
                    for action, claim in self.claims.items()
                },
                'released': self.released,
                'departed': self.departed,
                'now': self.now,
                'reporters': self._last_written_at,
                'skipped_records': self.skipped_records,
            }
        ).encode()

    def restore(self, body: bytes) -> None:
        """Replace the state by a snapshot's if the snapshot covers more records."""
        document = json.loads(body)
        if document['next_offset'] <= self._next_offset:
            return
        self._next_offset = document['next_offset']
        self.released = dict(document['released'])
        self.departed = dict(document['departed'])
        self.now = document['now']
        self._last_written_at = dict(document['reporters'])
        self.skipped_records = document['skipped_records']
        self.claims = {
            action: _parse_claim(fields)
            for action, fields in document['claims'].items()
        }
        self._rebuild_indexes()

    def _rebuild_indexes(self) -> None:
        self.open_actions = {}
        settled = []
        for action, claim in self.claims.items():
            if claim.state is ClaimState.OPEN:
                self.open_actions.setdefault(claim.incarnation, set()).add(action)
            else:
                settled.append((claim.settled_at, action))
        self._settled = deque(sorted(settled))

    def _apply_claim(self, event: ClaimRecord) -> None:
        is_ignored = (
            event.claim_id in self.released or event.incarnation in self.departed
        )
        if is_ignored or event.action in self.claims:
            return
        self.claims[event.action] = Claim(
            event.claim_id, event.digest, event.incarnation
        )
        self.open_actions.setdefault(event.incarnation, set()).add(event.action)

    def _apply_outcome(self, event: OutcomeRecord) -> None:
        claim = self.claims.get(event.action)
        if claim is None or claim.claim_id != event.claim_id:
            return
        if claim.state is ClaimState.ANSWERED:
            return
        if event.status:
            response = StoredResponse(event.status, event.content_type, event.body)
            self._set_state(event.action, ClaimState.ANSWERED, response)
        elif claim.state is not ClaimState.UNKNOWN:
            self._set_state(event.action, ClaimState.UNKNOWN)

    def _apply_release(self, event: ReleaseRecord) -> None:
        self.released.setdefault(event.claim_id, self.now)
        claim = self.claims.get(event.action)
        if claim is None or claim.claim_id != event.claim_id:
            return
        if claim.state in {ClaimState.OPEN, ClaimState.LOST}:
            self._remove_from_open(event.action, claim)
            self.claims.pop(event.action)

    def _apply_takeover(self, event: TakeoverRecord) -> None:
        self.departed.setdefault(event.departed, self.now)
        for action in sorted(self.open_actions.get(event.departed, ())):
            self._set_state(action, ClaimState.LOST)

    def _set_state(
        self, action: str, state: ClaimState, response: StoredResponse | None = None
    ) -> None:
        claim = self.claims[action]
        self._remove_from_open(action, claim)
        self.claims[action] = replace(
            claim, state=state, settled_at=self.now, answer=response
        )
        self._settled.append((self.now, action))

    def _remove_from_open(self, action: str, claim: Claim) -> None:
        actions = self.open_actions.get(claim.incarnation, set())
        actions.discard(action)
        if not actions:
            self.open_actions.pop(claim.incarnation, None)

    def _advance_clock(self, event: ClaimsRecord) -> None:
        self._last_written_at.pop(event.incarnation, None)
        self._last_written_at[event.incarnation] = event.written_at
        if len(self._last_written_at) > _MAX_CLOCK_SOURCES:
            self._last_written_at.pop(next(iter(self._last_written_at)))
        times = sorted(self._last_written_at.values())
        self.now = max(self.now, times[(len(times) - 1) // 2])

    def _drop_expired(self) -> None:
        oldest = self.now - self.window_s
        while self._settled and self._settled[0][0] < oldest:
            settled_at, action = self._settled.popleft()
            claim = self.claims.get(action)
            is_settled = claim is not None and claim.state is not ClaimState.OPEN
            if claim is not None and is_settled and claim.settled_at == settled_at:
                self.claims.pop(action)
        for times in (self.released, self.departed):
            _drop_before(times, oldest)


def _drop_before(times: dict[str, float], oldest: float) -> None:
    """Drop the entries before `oldest`; `times` is ordered by time."""
    while times:
        name = next(iter(times))
        if times[name] >= oldest:
            return
        times.pop(name)


def _encode_claim(claim: Claim) -> dict[str, Any]:
    document = asdict(claim)
    if claim.answer is not None and claim.answer.body is not None:
        document['answer']['body'] = base64.b64encode(claim.answer.body).decode()
    return document


def _parse_claim(document: Mapping[str, Any]) -> Claim:
    response = document['answer']
    if response is not None:
        body = None if response['body'] is None else base64.b64decode(response['body'])
        response = StoredResponse(response['status'], response['content_type'], body)
    state = ClaimState(document['state'])
    return Claim(**{**document, 'state': state, 'answer': response})
