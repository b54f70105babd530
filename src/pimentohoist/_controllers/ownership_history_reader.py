"""Tenures of homes in the views that this daemon has read."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol

from pimentohoist._decisions.ownership_terms import (
    HomeRule,
    Tenure,
    TenureBook,
    first_home,
)
from pimentohoist._view_fold import View


class Views(Protocol):
    """The views as they are read."""

    @property
    def epoch(self) -> int:
        """Number of the present view."""

    def recent_views(self) -> tuple[Sequence[View], bool]:
        """Return the latest views, and whether they begin with the very first."""


class TenureReader:
    """Reads the views before each answer; not safe for several threads at once."""

    def __init__(self, views: Views, home_of: HomeRule = first_home) -> None:
        self.views = views
        self.home_of = home_of
        self.book = TenureBook(is_complete=False, home_of=home_of)

    def tenure(self, thing: str) -> Tenure | None:
        """Return the tenure of a thing's home in the present view."""
        self._read_views()
        return self.book.tenure(thing)

    def _read_views(self) -> None:
        if self.book.views and self.book.views[-1].epoch == self.views.epoch:
            return
        views, is_from_start = self.views.recent_views()
        last = self.book.views[-1].epoch if self.book.views else -1
        if last not in {view.epoch for view in views}:
            self.book = TenureBook(is_complete=is_from_start, home_of=self.home_of)
        for view in views:
            if view.epoch > last:
                self.book.add(view)
