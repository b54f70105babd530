"""Claims on actions, decided by their order in the platform's log."""

from __future__ import annotations

import threading
import time
import uuid
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any, Self

from pimentohoist._claims_fold import (
    ClaimRecord,
    OutcomeRecord,
    ReleaseRecord,
    StoredResponse,
    TakeoverRecord,
)
from pimentohoist._controllers.claims_appender import ClaimsAppender
from pimentohoist._controllers.claims_reader import ClaimsReader
from pimentohoist._controllers.claims_takeover import Membership, TakeoverSelector
from pimentohoist._decisions.claims import (
    MAX_BATCH_RECORDS,
    ClaimVerdict,
    decide,
)
from pimentohoist.exceptions import (
    ActionConflictError,
    ActionInProgressError,
    ActionUnknownError,
    LogError,
    PimentohoistError,
    UnavailableError,
)
from pimentohoist.protocols import Clock, Log

_STEP = 'claims'
_CLAIM_TIMEOUT_S = 3.0
_RETRY_AFTER_S = 1.0
_RETRY_AFTER_UNKNOWN_S = 5.0
_TAKEOVER_PERIOD_S = 0.5
_MAX_STORED_BODY_BYTES = 16_384


@dataclass(frozen=True, slots=True)
class Action:
    """A call that must not run twice, and the digest of its whole request."""

    action_id: str
    digest: str


class ClaimsController:
    """Appends this daemon's claims on actions to the log, and stores the outcomes.

    Each daemon claims any action directly, without a call to another daemon.

    Parameters
    ----------
    max_batch_records : int
        Maximum number of records in one append.
    """

    def __init__(
        self,
        log: Log,
        membership: Membership,
        *,
        clock: Clock = time.monotonic,
        wall_clock: Clock = time.time,
        max_batch_records: int = MAX_BATCH_RECORDS,
    ) -> None:
        self.log = log
        self.membership = membership
        self.clock = clock
        self.wall_clock = wall_clock
        self.reader = ClaimsReader(log, clock)
        self.follower = self.reader.follower
        self.appender = ClaimsAppender(
            log, clock, self._record_refused_claims, max_batch_records
        )
        self.takeover_selector = TakeoverSelector(membership, clock)
        self._refusal_errors: dict[str, LogError] = {}
        self._closed = threading.Event()
        self._takeover_thread = threading.Thread(
            target=self._run_takeovers, name='claims-watch', daemon=True
        )

    def __enter__(self) -> Self:
        """Start to follow the stream, append, and take over departed daemons' claims."""
        self.follower.__enter__()
        self.appender.__enter__()
        self._takeover_thread.start()
        return self

    def __exit__(self, *exc_info: object) -> None:
        """Append the queued records, for a limited time, and stop."""
        self._closed.set()
        self._takeover_thread.join()
        self.appender.__exit__(*exc_info)
        self.follower.__exit__(*exc_info)

    def claim(self, action: Action, deadline: float) -> ClaimRecord | StoredResponse:
        """Return a claim to run once now, or the stored response of an earlier claim.

        Raises
        ------
        UnavailableError
            The claim could not be confirmed, for example because the log can't be
            reached; the action was not run.
        ActionConflictError, ActionInProgressError, ActionUnknownError
            An earlier claim holds the action.
        """
        record = self._new_claim(action)
        with self.follower.changed:
            verdict = decide(self.follower.fold, record)
            earlier_response = self.follower.fold.answer(record.action)
        if verdict is ClaimVerdict.UNDECIDED:
            self._require_ready()
            verdict, earlier_response = self._append_claim(record, deadline)
        if verdict is ClaimVerdict.RUN:
            return record
        if verdict is ClaimVerdict.REPLAY and earlier_response is not None:
            return earlier_response
        raise _verdict_error(verdict)

    def record_response(self, claim: ClaimRecord, answer: StoredResponse) -> None:
        """Store a claim's response for repeats, without its body if that is large."""
        body = answer.body
        if body is not None and len(body) > _MAX_STORED_BODY_BYTES:
            body = None
        self._append_outcome(
            claim, StoredResponse(answer.status, answer.content_type, body)
        )

    def record_unknown_outcome(self, claim: ClaimRecord) -> None:
        """Record that a claim's call was sent and its outcome is unknown."""
        self._append_outcome(claim, StoredResponse(0, '', None))

    def release(self, claim: ClaimRecord) -> None:
        """Release a claim that was not run and never will be."""
        self.appender.put(
            ReleaseRecord(
                action=claim.action, claim_id=claim.claim_id, **self._common_fields()
            )
        )

    def dump(self) -> Mapping[str, Any]:
        """Return the follower's position, the fold's sizes and the append counts."""
        with self.follower.changed:
            fold = self.follower.fold
            document = {
                'claims': len(fold.claims),
                'open_claims': {
                    name: len(actions) for name, actions in fold.open_actions.items()
                },
                'departed': len(fold.departed),
                'fold_time': fold.now,
                'skipped_records': fold.skipped_records,
            }
        return {**self.follower.dump(), **document, **self.appender.dump()}

    def take_over(self) -> None:
        """Take over the claims of departed daemons that this daemon is the owner of."""
        with self.follower.changed:
            holders = tuple(self.follower.fold.open_actions)
        for departed in self.takeover_selector.select_departed(holders):
            record = TakeoverRecord(
                departed=departed, epoch=self.membership.epoch, **self._common_fields()
            )
            self.appender.put(record)

    def _new_claim(self, action: Action) -> ClaimRecord:
        return ClaimRecord(
            action=action.action_id,
            claim_id=uuid.uuid4().hex,
            digest=action.digest,
            **self._common_fields(),
        )

    def _append_outcome(self, claim: ClaimRecord, answer: StoredResponse) -> None:
        self.appender.put(
            OutcomeRecord(
                action=claim.action,
                claim_id=claim.claim_id,
                status=answer.status,
                content_type=answer.content_type,
                body=answer.body,
                **self._common_fields(),
            )
        )

    def _require_ready(self) -> None:
        if not self.reader.refresh():
            raise _not_run_error('the claims stream could not be read to its head')
        members = self.membership.members()
        if self.membership.incarnation not in {one.incarnation for one in members}:
            raise _not_run_error('this daemon is not in the view')

    def _append_claim(
        self, record: ClaimRecord, deadline: float
    ) -> tuple[ClaimVerdict, StoredResponse | None]:
        with self.follower.changed:
            self.reader.awaited_claim_ids.add(record.claim_id)
            self.appender.put(record)
            self.follower.changed.wait_for(
                lambda: self._is_decided(record),
                min(_CLAIM_TIMEOUT_S, deadline - self.clock()),
            )
            verdict = decide(self.follower.fold, record)
            earlier_response = self.follower.fold.answer(record.action)
            self.reader.awaited_claim_ids.discard(record.claim_id)
            error = self._refusal_errors.pop(record.claim_id, None)
        if verdict is ClaimVerdict.RUN and self.clock() >= deadline:
            verdict = ClaimVerdict.VOID
        self._withdraw_claim(record, verdict)
        if error is not None and verdict is ClaimVerdict.UNDECIDED:
            raise _not_run_error(error.message) from error
        return verdict, earlier_response

    def _is_decided(self, record: ClaimRecord) -> bool:
        is_undecided = decide(self.follower.fold, record) is ClaimVerdict.UNDECIDED
        return not is_undecided or record.claim_id in self._refusal_errors

    def _withdraw_claim(self, record: ClaimRecord, verdict: ClaimVerdict) -> None:
        may_be_in_log = self.appender.withdraw(record.claim_id)
        if may_be_in_log and verdict is not ClaimVerdict.RUN:
            # A copy may appear in the log later and hold the action until released.
            self.release(record)

    def _record_refused_claims(
        self, claim_ids: frozenset[str], error: LogError
    ) -> None:
        with self.follower.changed:
            self._refusal_errors.update(
                (claim_id, error)
                for claim_id in claim_ids & self.reader.awaited_claim_ids
            )
            self.follower.changed.notify_all()

    def _common_fields(self) -> dict[str, Any]:
        return {
            'incarnation': self.membership.incarnation,
            'written_at': self.wall_clock(),
        }

    def _run_takeovers(self) -> None:
        while not self._closed.wait(_TAKEOVER_PERIOD_S):
            self.take_over()


def _not_run_error(message: str) -> UnavailableError:
    return UnavailableError(message, step=_STEP, retry_after_s=_RETRY_AFTER_S)


def _verdict_error(verdict: ClaimVerdict) -> PimentohoistError:
    match verdict:
        case ClaimVerdict.CONFLICT:
            return ActionConflictError(
                'this idempotency key was used for a different request', step=_STEP
            )
        case ClaimVerdict.IN_PROGRESS:
            return ActionInProgressError(
                'an earlier request with this idempotency key is in progress',
                step=_STEP,
                retry_after_s=_RETRY_AFTER_S,
            )
        case ClaimVerdict.UNKNOWN:
            return ActionUnknownError(
                'the action may have run and will not be run again under this key',
                step=_STEP,
                retry_after_s=_RETRY_AFTER_UNKNOWN_S,
            )
    return _not_run_error('the claim was not confirmed in the log')
