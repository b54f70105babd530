"""A taker of grants whose owners answer again after some failures."""

from __future__ import annotations

import itertools
import time
from types import SimpleNamespace
from typing import Any

from pimentohoist._controllers.limits import LimitsController
from pimentohoist._decisions.grants import Charge, ShareOwner
from pimentohoist._decisions.shares import GRANT_LIFETIME_S, Grant, GrantOrder
from pimentohoist._decisions.ownership_terms import ShareId
from pimentohoist.configuration import Workspace

_MS = 1000
_WORKSPACE = Workspace('house', rate_tokens_per_s=1000, burst_tokens=3000)


class RecoveringTaker:
    """Replaces `ShareClient`; its owners are silent, then lose replies, then grant.

    Attributes
    ----------
    lookups : int
        Number of lookups of a share's owner.
    waited_ms : int
        Total time that charges have taken, in milliseconds.
    """

    def __init__(self, silent_lookups: int = 0, lost_replies: int = 0) -> None:
        self.silent_lookups = silent_lookups
        self.lost_replies = lost_replies
        self.lookups = 0
        self.waited_ms = 0
        self._ids = itertools.count()
        nothing: Any = SimpleNamespace()
        self.limits = LimitsController(nothing, nothing, nothing, nothing)
        self.limits.share_client = self  # type: ignore[assignment]

    def charge(self, tokens: int) -> tuple[Charge, ...]:
        """Charge a request of the workspace."""
        began_at = time.monotonic()
        try:
            return self.limits.charge(_WORKSPACE, tokens)
        finally:
            self.waited_ms += int((time.monotonic() - began_at) * _MS)

    def owner(self, name: ShareId) -> ShareOwner | None:
        """Return the owner of a share; None if it is silent."""
        self.lookups += 1
        return (
            None
            if self.lookups <= self.silent_lookups
            else ShareOwner(name.share, f'owner-{name.share}')
        )

    def take(
        self, name: ShareId, owner: ShareOwner, order: GrantOrder, uses: Any
    ) -> Grant | None:
        """Return the grant; None if its reply was lost."""
        if next(self._ids) < self.lost_replies:
            return None
        return Grant(order.grant_id, order.need_tokens, GRANT_LIFETIME_S)
