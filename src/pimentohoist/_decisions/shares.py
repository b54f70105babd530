"""Owner's side of a workspace's limit: one share of its token bucket.

A token stays in the bucket until it is reported to the owner as spent. Granted tokens
count as still in the bucket, so accrual is bounded by the burst less all tokens that may
yet be spent, and no window receives more than its length times the rate plus the burst.

A refund corrects a charge that was too high at its admission. The bucket is set to the
level that it would have had with the lower charge: tokens that would have overflowed
since then are lost.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from math import floor

from pimentohoist._decisions.peaks import PeakHistory

SHARES_PER_WORKSPACE = 3
DRIFT = 0.001
"""Largest rate error of a monotonic clock, as a fraction."""
CLOCK_RATIO = (1 + DRIFT) / (1 - DRIFT)
"""Largest ratio between two daemons' measures of the same period."""
GRANT_LIFETIME_S = 3.0
"""Time for which the taker of a grant may spend it."""
REFUND_S = 120.0
"""Time after which a grant's unused tokens are no longer credited."""
_PREFETCH_DIVISOR = 8
"""Tokens granted in advance of need are at most the level divided by this."""


@dataclass(frozen=True, slots=True)
class ShareLimit:
    """Rate and burst of one share."""

    rate_tokens_per_s: float
    burst_tokens: int

    @classmethod
    def of(cls, rate_tokens_per_s: float, burst_tokens: int, share: int) -> ShareLimit:
        """Return share number `share` of a limit; the shares' bursts add up to its own."""
        whole, rest = divmod(burst_tokens, SHARES_PER_WORKSPACE)
        return cls(rate_tokens_per_s / SHARES_PER_WORKSPACE, whole + (share < rest))


@dataclass(frozen=True, slots=True)
class GrantOrder:
    """A request for a grant.

    Attributes
    ----------
    grant_id : str
        Chosen by the taker; a repeated order gets the same grant.
    need_tokens : int
        Tokens that a request waits for.
    extra_tokens : int
        Tokens wanted in advance of need.
    """

    grant_id: str
    need_tokens: int
    extra_tokens: int = 0


@dataclass(frozen=True, slots=True)
class Grant:
    """Tokens that the taker may spend; `expires_after_s` is by the owner's clock."""

    grant_id: str
    tokens: int
    expires_after_s: float


@dataclass(frozen=True, slots=True)
class GrantUse:
    """Use of a grant by its taker so far.

    Attributes
    ----------
    spent_tokens : int
        Total of the tokens charged to the grant.
    refunded_tokens : int
        Tokens of these that were not used in the end.
    is_closed : bool
        Whether the taker will charge nothing more.
    """

    grant_id: str
    spent_tokens: int
    refunded_tokens: int = 0
    is_closed: bool = False


@dataclass(frozen=True, slots=True)
class ShareState:
    """State of a share that is handed over to its next owner."""

    level_tokens: float
    open_grants: tuple[Grant, ...] = ()


@dataclass(slots=True)
class _GrantRecord:
    tokens: int
    expires_at: float
    spent: int = 0
    refunded: int = 0
    mark: int | None = None
    is_ended: bool = False

    @property
    def open_tokens(self) -> int:
        return 0 if self.is_ended else self.tokens - self.spent


class ShareBucket:
    """A share at its owner; all times are of the owner's monotonic clock.

    Attributes
    ----------
    level_tokens : float
        Tokens that can be granted.
    open_tokens : int
        Tokens granted and not yet reported as spent.
    accrued_at : float
        Time up to which tokens have accrued.
    """

    def __init__(self, limit: ShareLimit, state: ShareState, now: float) -> None:
        self.limit = limit
        self.level_tokens = min(state.level_tokens, float(limit.burst_tokens))
        self.open_tokens = 0
        self.accrued_at = now
        self.peaks = PeakHistory()
        self._records: dict[str, _GrantRecord] = {}
        for grant in state.open_grants:
            self._open(grant, now)
        self._cap_level()
        self.peaks.push(self.total_tokens, now)

    @property
    def total_tokens(self) -> float:
        """Tokens that may yet be spent without further accrual."""
        return self.level_tokens + self.open_tokens

    def advance(self, now: float, fresh_since: float) -> None:
        """Accrue up to `now`, nothing before `fresh_since`, then end expired grants.

        A grant that expired meanwhile limits accrual up to `now`, since the time at which
        it was spent is not known.
        """
        elapsed_s = max(0, now - max(self.accrued_at, fresh_since))
        self.accrued_at = max(now, self.accrued_at)
        self.level_tokens += elapsed_s * self.limit.rate_tokens_per_s * (1 - DRIFT)
        self._cap_level()
        self.peaks.push(self.total_tokens, now)
        for record in self._records.values():
            if now > record.expires_at and not record.is_ended:
                self._expire(record)
        self._discard_old(now)

    def resize(self, limit: ShareLimit) -> None:
        """Apply a changed limit; call `advance` first."""
        self.limit = limit
        self._cap_level()

    def grant(self, order: GrantOrder, now: float) -> Grant:
        """Grant as many tokens as the level allows, maybe none; call `advance` first."""
        record = self._records.get(order.grant_id)
        if record is not None:
            return Grant(order.grant_id, record.tokens, record.expires_at - now)
        level = floor(self.level_tokens)
        needed = min(order.need_tokens, level)
        extra = min(order.extra_tokens, (level - needed) // _PREFETCH_DIVISOR)
        grant = Grant(order.grant_id, needed + extra, GRANT_LIFETIME_S)
        if grant.tokens:
            self.level_tokens -= grant.tokens
            self._open(grant, now)
        return grant

    def record_uses(self, uses: Iterable[GrantUse], now: float) -> None:
        """Record the reported uses of grants; call `advance` first."""
        for use in uses:
            record = self._records.get(use.grant_id)
            if record is not None:
                self._spend(record, use.spent_tokens, now)
                self._refund(record, use.refunded_tokens, now)
                if use.is_closed:
                    self._close(record, now)

    def state(self, now: float) -> ShareState:
        """Return the state for the next owner; grant nothing afterwards."""
        return ShareState(
            self.level_tokens,
            tuple(
                Grant(grant_id, record.open_tokens, record.expires_at - now)
                for grant_id, record in self._records.items()
                if record.open_tokens
            ),
        )

    def _open(self, grant: Grant, now: float) -> None:
        expires_at = now + grant.expires_after_s * (1 + DRIFT)
        self._records[grant.grant_id] = _GrantRecord(grant.tokens, expires_at)
        self.open_tokens += grant.tokens

    def _cap_level(self) -> None:
        room = self.limit.burst_tokens - self.open_tokens
        self.level_tokens = max(0, min(self.level_tokens, room))

    def _spend(self, record: _GrantRecord, spent_tokens: int, now: float) -> None:
        spent = min(spent_tokens, record.tokens)
        if spent <= record.spent:
            return
        open_before = record.open_tokens
        record.spent = spent
        self.open_tokens += record.open_tokens - open_before
        self._set_mark(record, now)

    def _refund(self, record: _GrantRecord, refunded_tokens: int, now: float) -> None:
        refunded = min(refunded_tokens, record.spent)
        if refunded <= record.refunded or record.mark is None:
            return
        amount = refunded - record.refunded
        record.refunded = refunded
        room = self.limit.burst_tokens - self.peaks.since(record.mark)
        credit = max(0, min(amount, room))
        self.level_tokens += credit
        self.peaks.raise_all(credit)
        self.peaks.push(self.total_tokens, now)

    def _close(self, record: _GrantRecord, now: float) -> None:
        unspent = record.open_tokens
        record.is_ended = True
        self.open_tokens -= unspent
        self.level_tokens += unspent
        # The burst may have been lowered since they were granted.
        self._cap_level()
        self.peaks.push(self.total_tokens, now)

    def _expire(self, record: _GrantRecord) -> None:
        self.open_tokens -= record.open_tokens
        record.is_ended = True
        self._set_mark(record, self.accrued_at)

    def _set_mark(self, record: _GrantRecord, now: float) -> None:
        mark = self.peaks.push(self.total_tokens, now)
        if record.mark is None:
            record.mark = mark

    def _discard_old(self, now: float) -> None:
        oldest = next(iter(self._records.items()), None)
        while oldest and now > oldest[1].expires_at + REFUND_S:
            self._records.pop(oldest[0])
            oldest = next(iter(self._records.items()), None)
        self.peaks.discard_before(now - GRANT_LIFETIME_S - REFUND_S)
