"""Tenures of homes in the views that this daemon has read."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol

from pimentohoist._decisions.ownership_terms import (
    OwnerFunction,
    OwnershipTerm,
    OwnershipHistory,
    first_owner,
)
from pimentohoist._view_fold import View


class Views(Protocol):
    """The views as they are read."""

    @property
    def epoch(self) -> int:
        """Number of the present view."""

    def recent_views(self) -> tuple[Sequence[View], bool]:
        """Return the latest views, and whether they begin with the very first."""


class OwnershipHistoryReader:
    """Reads the views before each answer; not safe for several threads at once."""

    def __init__(self, views: Views, owner_of: OwnerFunction = first_owner) -> None:
        self.views = views
        self.owner_of = owner_of
        self.book = OwnershipHistory(is_complete=False, owner_of=owner_of)

    def term(self, resource_key: str) -> OwnershipTerm | None:
        """Return the tenure of a thing's home in the present view."""
        self._read_views()
        return self.book.term(resource_key)

    def _read_views(self) -> None:
        if self.book.views and self.book.views[-1].epoch == self.views.epoch:
            return
        views, is_from_start = self.views.recent_views()
        last = self.book.views[-1].epoch if self.book.views else -1
        if last not in {view.epoch for view in views}:
            self.book = OwnershipHistory(
                is_complete=is_from_start, owner_of=self.owner_of
            )
        for view in views:
            if view.epoch > last:
                self.book.add(view)
