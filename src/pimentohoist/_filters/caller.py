"""The filters that establish who calls and what is asked for."""

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
    """Return the filters in their order.

    Parameters
    ----------
    is_fresh : callable
        Whether this daemon would know by now of a key's withdrawal.
    """
    return (
        Authenticate(configuration, is_fresh),
        Resolve(configuration),
        WatchKey(configuration, is_fresh),
    )
