"""Composes filters into a handler."""

from __future__ import annotations

from collections.abc import Sequence
from functools import partial, reduce

from pimentohoist.protocols import Filter, Handler


def build_handler(filters: Sequence[Filter], last: Handler) -> Handler:
    """Return a handler that passes an exchange through the filters to `last`."""
    return reduce(
        lambda handler, outer: partial(outer, proceed=handler), reversed(filters), last
    )
