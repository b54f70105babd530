"""Finds the workspace whose key came with the request."""

from __future__ import annotations

from collections.abc import Callable

from pimentohoist._controllers.configuration import ConfigurationController
from pimentohoist.configuration import Key
from pimentohoist.exceptions import AuthenticationError, UnavailableError
from pimentohoist.exchanges import CallerResponse, Exchange
from pimentohoist.keys import UNKNOWN_KEY, is_secret_of, split_authorization
from pimentohoist.protocols import Handler

_STEP = 'authenticate'
_RETRY_AFTER_S = 1.0


class Authenticate:
    """Implements `Filter`.

    Parameters
    ----------
    is_fresh : callable
        Whether this daemon would know by now of a key's withdrawal.
    """

    def __init__(
        self, configuration: ConfigurationController, is_fresh: Callable[[], bool]
    ) -> None:
        self.configuration = configuration
        self.is_fresh = is_fresh

    def __call__(self, exchange: Exchange, proceed: Handler) -> CallerResponse:
        """Set the workspace, or refuse unless the route is open to all."""
        self.configuration.require_known()
        route = self.configuration.route(exchange.request.route)
        if route is None or not route.is_open:
            key = self._key(exchange.request.authorization)
            exchange.workspace = self.configuration.workspace(key.workspace)
            exchange.key_name = key.name
        return proceed(exchange)

    def _key(self, header: str) -> Key:
        name, secret = split_authorization(header)
        if not self.is_fresh():
            raise UnavailableError(
                'keys cannot be checked now', step=_STEP, retry_after_s=_RETRY_AFTER_S
            )
        known = self.configuration.key(name)
        # An unknown name takes as long as a wrong secret.
        if not is_secret_of(known or UNKNOWN_KEY, secret) or known is None:
            raise AuthenticationError('the key is not valid', step=_STEP)
        return known
