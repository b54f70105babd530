"""Filters that authenticate the caller and resolve the requested model or route."""

from __future__ import annotations

from collections.abc import Callable

from pimentohoist._controllers.configuration import ConfigurationController
from pimentohoist._filters.authenticate import Authenticate
from pimentohoist._filters.resolve import Resolve
from pimentohoist._filters.watch_key import WatchKey
from pimentohoist.protocols import Filter


def caller_filters(
    configuration: ConfigurationController, is_fresh: Callable[[], bool]
) -> tuple[Filter, ...]:
    """Return the filters in the order of the chain.

    Parameters
    ----------
    is_fresh : callable
        Returns whether this daemon's configuration is recent enough to show that a
        key was withdrawn.
    """
    return (
        Authenticate(configuration, is_fresh),
        Resolve(configuration),
        WatchKey(configuration, is_fresh),
    )
