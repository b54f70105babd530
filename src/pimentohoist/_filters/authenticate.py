"""Filter that authenticates the request by its key and sets its workspace."""

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
        Returns whether this daemon's configuration is recent enough to show that a
        key was withdrawn.
    """

    def __init__(
        self, configuration: ConfigurationController, is_fresh: Callable[[], bool]
    ) -> None:
        self.configuration = configuration
        self.is_fresh = is_fresh

    def __call__(self, exchange: Exchange, proceed: Handler) -> CallerResponse:
        """Set the workspace and the name of the key; an open route needs no key.

        Raises
        ------
        AuthenticationError
            There is no such key.
        UnavailableError
            The configuration is too old to check keys.
        """
        self.configuration.require_configuration()
        route = self.configuration.route(exchange.request.route)
        if route is None or not route.is_open:
            key = self._authenticated_key(exchange.request.authorization)
            exchange.workspace = self.configuration.workspace(key.workspace)
            exchange.key_name = key.name
        return proceed(exchange)

    def _authenticated_key(self, header: str) -> Key:
        name, secret = split_authorization(header)
        if not self.is_fresh():
            raise UnavailableError(
                'keys cannot be checked now', step=_STEP, retry_after_s=_RETRY_AFTER_S
            )
        stored_key = self.configuration.key(name)
        # The digest is compared for an unknown name too, so that the response time does
        # not show which names exist.
        if not is_secret_of(stored_key or UNKNOWN_KEY, secret) or stored_key is None:
            raise AuthenticationError('the key is not valid', step=_STEP)
        return stored_key
