"""Taker's side of a workspace's limit: grants held, and requests charged to them."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from math import exp

from pimentohoist._decisions.shares import (
    DRIFT,
    REFUND_S,
    SHARES_PER_WORKSPACE,
    Grant,
    GrantUse,
)

_DEMAND_AVERAGE_S = 1.0
"""Time constant of the exponential average of demand."""
_PREFETCH_S = 0.5
"""Length of the expected demand for which grants are taken in advance."""
_MAX_IDLE_S = 1.0
"""Time without a charge after which a grant is returned to its share."""


@dataclass(frozen=True, slots=True)
class ShareOwner:
    """Origin of a grant: the share's number and its owner's incarnation."""

    share: int
    incarnation: str


@dataclass(frozen=True, slots=True)
class Charge:
    """Tokens that one request takes from one grant."""

    grant_id: str
    tokens: int


@dataclass(slots=True)
class HeldGrant:
    """A grant at its taker; times are of the taker's monotonic clock.

    Attributes
    ----------
    last_charged_at : float
        Time of the last charge; before the first one, the time of the grant's arrival.
    spent, refunded : int
        Total tokens charged to the grant, and those of them returned as unused.
    unsettled : int
        Tokens charged by requests that haven't ended.
    reported_spent, reported_refunds : int
        Highest `spent` and `refunded` that have been sent to the owner, which may have
        received them.
    """

    owner: ShareOwner
    tokens: int
    expires_at: float
    last_charged_at: float
    spent: int = 0
    refunded: int = 0
    unsettled: int = 0
    reported_spent: int = 0
    reported_refunds: int = 0
    is_closed: bool = False

    def available(self, now: float) -> int:
        """Return the tokens that may be spent at `now`."""
        is_usable = not self.is_closed and now < self.expires_at
        return self.tokens - self.spent if is_usable else 0

    def has_unreported_changes(self, now: float) -> bool:
        """Return whether the owner needs a report on this grant."""
        is_ended = self.is_closed or now >= self.expires_at
        return (
            self.spent > self.reported_spent
            or self.refunded > self.reported_refunds
            or (is_ended and not self.unsettled)
        )


def split_need(tokens: int, rotation: int) -> tuple[int, ...]:
    """Return how many tokens to request from each share, divided as evenly as possible.

    Taking all tokens from one share would leave the others full, and a full share accrues
    nothing. `rotation` is the share that gives the first token of the remainder.
    """
    whole, rest = divmod(tokens, SHARES_PER_WORKSPACE)
    return tuple(
        whole + ((share - rotation) % SHARES_PER_WORKSPACE < rest)
        for share in range(SHARES_PER_WORKSPACE)
    )


class GrantPool:
    """Grants of one workspace at one entry daemon."""

    def __init__(self) -> None:
        self.grants: dict[str, HeldGrant] = {}

    def add(self, grant: Grant, owner: ShareOwner, asked_at: float, now: float) -> None:
        """Add a grant whose request was sent at `asked_at`."""
        expires_at = asked_at + grant.expires_after_s * (1 - DRIFT)
        self.grants[grant.grant_id] = HeldGrant(owner, grant.tokens, expires_at, now)

    def add_unconfirmed(self, grant_id: str, owner: ShareOwner, now: float) -> None:
        """Record a grant whose reply was lost, so that it is reported as closed."""
        self.grants[grant_id] = HeldGrant(owner, 0, now, now, is_closed=True)

    def available(self, now: float) -> int:
        """Return the tokens that may be spent at `now`."""
        return sum(grant.available(now) for grant in self.grants.values())

    def charge(self, tokens: int, now: float) -> tuple[Charge, ...] | None:
        """Charge a request, first to expire first; None if the grants don't cover it."""
        if self.available(now) < tokens:
            return None
        charges: list[Charge] = []
        for grant_id in sorted(self.grants, key=self._expiry):
            grant = self.grants[grant_id]
            taken = min(tokens, grant.available(now))
            if taken:
                grant.spent += taken
                grant.unsettled += taken
                grant.last_charged_at = now
                tokens -= taken
                charges.append(Charge(grant_id, taken))
        return tuple(charges)

    def settle(self, charges: tuple[Charge, ...], unused_tokens: int) -> None:
        """End a request and return its unused tokens to its grants.

        Tokens that were reported as spent are refunded through the owner instead, which
        may have accrued others in their place.
        """
        for charge in reversed(charges):
            unused = min(unused_tokens, charge.tokens)
            unused_tokens -= unused
            grant = self.grants.get(charge.grant_id)
            if grant is not None:
                grant.unsettled -= charge.tokens
                unreported = min(unused, grant.spent - grant.reported_spent)
                grant.spent -= unreported
                grant.refunded += unused - unreported

    def close_idle(self, now: float) -> None:
        """Close grants that no request has been charged to for `_MAX_IDLE_S`."""
        for grant in self.grants.values():
            if now - grant.last_charged_at > _MAX_IDLE_S:
                grant.is_closed = True

    def close_all(self) -> None:
        """Close every grant."""
        for grant in self.grants.values():
            grant.is_closed = True

    def take_uses(self, owner: ShareOwner) -> tuple[GrantUse, ...]:
        """Return the report for an owner and record its numbers as reported."""
        return tuple(self._uses(owner))

    def confirm(self, uses: tuple[GrantUse, ...], now: float) -> None:
        """Remove ended grants of which the owner has received everything."""
        for use in uses:
            grant = self.grants.get(use.grant_id)
            if grant is not None:
                is_ended = use.is_closed or now >= grant.expires_at
                is_fully_reported = (use.spent_tokens, use.refunded_tokens) == (
                    grant.spent,
                    grant.refunded,
                )
                if is_ended and is_fully_reported and not grant.unsettled:
                    self.grants.pop(use.grant_id)

    def forget_old(self, now: float) -> None:
        """Remove grants whose owner no longer credits refunds."""
        for grant_id, grant in tuple(self.grants.items()):
            if now > grant.expires_at + REFUND_S:
                self.grants.pop(grant_id)

    def owners(self, now: float) -> set[ShareOwner]:
        """Return the owners that need a report."""
        return {
            grant.owner
            for grant in self.grants.values()
            if grant.has_unreported_changes(now)
        }

    def _uses(self, owner: ShareOwner) -> Iterator[GrantUse]:
        for grant_id, grant in self.grants.items():
            if grant.owner == owner:
                grant.reported_spent = grant.spent
                grant.reported_refunds = grant.refunded
                yield GrantUse(
                    grant_id, grant.spent, grant.refunded, is_closed=grant.is_closed
                )

    def _expiry(self, grant_id: str) -> float:
        return self.grants[grant_id].expires_at


class Demand:
    """Rate at which a workspace spends tokens here, and the tokens to hold for it."""

    def __init__(self) -> None:
        self.tokens: float = 0
        self.recorded_at: float = 0

    def add(self, tokens: int, now: float) -> None:
        """Add a request's tokens."""
        self.tokens = self._decayed(now) + tokens
        self.recorded_at = now

    def rate(self, now: float) -> float:
        """Return the average rate of demand in tokens per second."""
        return self._decayed(now) / _DEMAND_AVERAGE_S

    def wanted(self, now: float, pool: GrantPool) -> int:
        """Return the tokens to take in advance; 0 while at least half are held."""
        target = self.rate(now) * _PREFETCH_S
        held = pool.available(now + _PREFETCH_S)
        return 0 if held * 2 >= target else int(target - held)

    def _decayed(self, now: float) -> float:
        return self.tokens * exp((self.recorded_at - now) / _DEMAND_AVERAGE_S)
