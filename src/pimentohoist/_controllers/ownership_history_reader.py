"""Ownership terms in the views that this daemon has read."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol

from pimentohoist._decisions.ownership_terms import (
    OwnerFunction,
    OwnershipTerm,
    OwnershipHistory,
    rendezvous_owner,
)
from pimentohoist._view_fold import View


class ViewSource(Protocol):
    """Source of the views that were read."""

    @property
    def epoch(self) -> int:
        """Number of the current view."""

    def recent_views(self) -> tuple[Sequence[View], bool]:
        """Return the latest views, and whether the first view ever is among them."""


class OwnershipHistoryReader:
    """Reads new views before each lookup; not thread-safe."""

    def __init__(
        self, source: ViewSource, owner_of: OwnerFunction = rendezvous_owner
    ) -> None:
        self.source = source
        self.owner_of = owner_of
        self.history = OwnershipHistory(is_complete=False, owner_of=owner_of)

    def term(self, resource_key: str) -> OwnershipTerm | None:
        """Return the term of a resource's owner in the current view; None without a view."""
        self._read_views()
        return self.history.term(resource_key)

    def _read_views(self) -> None:
        if self.history.views and self.history.views[-1].epoch == self.source.epoch:
            return
        views, is_from_start = self.source.recent_views()
        last = self.history.views[-1].epoch if self.history.views else -1
        if last not in {view.epoch for view in views}:
            self.history = OwnershipHistory(
                is_complete=is_from_start, owner_of=self.owner_of
            )
        for view in views:
            if view.epoch > last:
                self.history.add(view)
