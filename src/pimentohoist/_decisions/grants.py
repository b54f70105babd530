"""Entry side of a workspace's limit: grants held, and requests charged to them."""

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

_AVERAGE_S = 1.0
"""Time over which demand is averaged."""
_AHEAD_S = 0.5
"""Time for which grants are taken in advance."""
_IDLE_S = 1.0
"""Time without a charge after which a grant goes back to its share."""


@dataclass(frozen=True, slots=True)
class ShareOwner:
    """Where a grant came from: the share's number and its home's incarnation."""

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
    reported, reported_refunds : int
        Highest `spent` and `refunded` that the home may know of.
    """

    owner: ShareOwner
    tokens: int
    expires_at: float
    touched_at: float
    spent: int = 0
    refunded: int = 0
    unsettled: int = 0
    reported: int = 0
    reported_refunds: int = 0
    is_closed: bool = False

    def available(self, now: float) -> int:
        """Return the tokens that may be spent at `now`."""
        is_usable = not self.is_closed and now < self.expires_at
        return self.tokens - self.spent if is_usable else 0

    def has_news(self, now: float) -> bool:
        """Return whether the home has to be told of this grant."""
        is_ended = self.is_closed or now >= self.expires_at
        return (
            self.spent > self.reported
            or self.refunded > self.reported_refunds
            or (is_ended and not self.unsettled)
        )


def split_need(tokens: int, rotation: int) -> tuple[int, ...]:
    """Return how many tokens to ask of each share, as evenly as can be.

    A share that is drained alone would leave the others full, where nothing accrues.
    `rotation` says which share gives the first odd token.
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
        """Hold a grant whose request was sent at `asked_at`."""
        expires_at = asked_at + grant.expires_after_s * (1 - DRIFT)
        self.grants[grant.grant_id] = HeldGrant(owner, grant.tokens, expires_at, now)

    def add_lost(self, grant_id: str, owner: ShareOwner, now: float) -> None:
        """Note a grant whose reply was lost, so that its home takes it back."""
        self.grants[grant_id] = HeldGrant(owner, 0, now, now, is_closed=True)

    def available(self, now: float) -> int:
        """Return the tokens that may be spent at `now`."""
        return sum(grant.available(now) for grant in self.grants.values())

    def charge(self, tokens: int, now: float) -> tuple[Charge, ...] | None:
        """Charge a request, oldest grants first; None if they don't cover it."""
        if self.available(now) < tokens:
            return None
        charges: list[Charge] = []
        for grant_id in sorted(self.grants, key=self._expiry):
            grant = self.grants[grant_id]
            taken = min(tokens, grant.available(now))
            if taken:
                grant.spent += taken
                grant.unsettled += taken
                grant.touched_at = now
                tokens -= taken
                charges.append(Charge(grant_id, taken))
        return tuple(charges)

    def settle(self, charges: tuple[Charge, ...], unused_tokens: int) -> None:
        """End a request; what it didn't use goes back to its grants.

        Tokens that the home knows as spent go back through the home, which may have
        accrued in their place.
        """
        for charge in reversed(charges):
            unused = min(unused_tokens, charge.tokens)
            unused_tokens -= unused
            grant = self.grants.get(charge.grant_id)
            if grant is not None:
                grant.unsettled -= charge.tokens
                unknown = min(unused, grant.spent - grant.reported)
                grant.spent -= unknown
                grant.refunded += unused - unknown

    def close_idle(self, now: float) -> None:
        """Close grants that no request has used for a while."""
        for grant in self.grants.values():
            if now - grant.touched_at > _IDLE_S:
                grant.is_closed = True

    def close_all(self) -> None:
        """Close every grant."""
        for grant in self.grants.values():
            grant.is_closed = True

    def take_uses(self, owner: ShareOwner) -> tuple[GrantUse, ...]:
        """Return the report for a home; what it says may be known there from now on."""
        return tuple(self._uses(owner))

    def confirm(self, uses: tuple[GrantUse, ...], now: float) -> None:
        """Forget what is over and has arrived at its home."""
        for use in uses:
            grant = self.grants.get(use.grant_id)
            if grant is not None:
                is_over = use.is_closed or now >= grant.expires_at
                has_all = (use.spent_tokens, use.refunded_tokens) == (
                    grant.spent,
                    grant.refunded,
                )
                if is_over and has_all and not grant.unsettled:
                    self.grants.pop(use.grant_id)

    def forget_old(self, now: float) -> None:
        """Forget grants whose home no longer credits refunds."""
        for grant_id, grant in tuple(self.grants.items()):
            if now > grant.expires_at + REFUND_S:
                self.grants.pop(grant_id)

    def owners(self, now: float) -> set[ShareOwner]:
        """Return the homes that have something to be told."""
        return {grant.owner for grant in self.grants.values() if grant.has_news(now)}

    def _uses(self, owner: ShareOwner) -> Iterator[GrantUse]:
        for grant_id, grant in self.grants.items():
            if grant.owner == owner:
                grant.reported = grant.spent
                grant.reported_refunds = grant.refunded
                yield GrantUse(
                    grant_id, grant.spent, grant.refunded, is_closed=grant.is_closed
                )

    def _expiry(self, grant_id: str) -> float:
        return self.grants[grant_id].expires_at


class Demand:
    """Rate at which a workspace spends tokens here, and what to hold for it."""

    def __init__(self) -> None:
        self.tokens: float = 0
        self.recorded_at: float = 0

    def add(self, tokens: int, now: float) -> None:
        """Note a request's tokens."""
        self.tokens = self._decayed(now) + tokens
        self.recorded_at = now

    def rate(self, now: float) -> float:
        """Return the tokens a second, averaged over a short time."""
        return self._decayed(now) / _AVERAGE_S

    def wanted(self, now: float, pool: GrantPool) -> int:
        """Return the tokens to take in advance; none while the half is there."""
        target = self.rate(now) * _AHEAD_S
        held = pool.available(now + _AHEAD_S)
        return 0 if held * 2 >= target else int(target - held)

    def _decayed(self, now: float) -> float:
        return self.tokens * exp((self.recorded_at - now) / _AVERAGE_S)
