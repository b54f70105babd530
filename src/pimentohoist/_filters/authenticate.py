"""Finds the workspace whose key came with the request."""

from __future__ import annotations

from pimentohoist._controllers.configuration import ConfigurationController
from pimentohoist.configuration import Key
from pimentohoist.exceptions import AuthenticationError
from pimentohoist.exchanges import Answer, Exchange
from pimentohoist.keys import is_secret_of, split_authorization
from pimentohoist.protocols import Handler

_STEP = 'authenticate'


class Authenticate:
    """Implements `Filter`."""

    def __init__(self, configuration: ConfigurationController) -> None:
        self.configuration = configuration

    def __call__(self, exchange: Exchange, proceed: Handler) -> Answer:
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
        key = self.configuration.key(name)
        if key is None or not is_secret_of(key, secret):
            raise AuthenticationError('the key is not valid', step=_STEP)
        return key
