"""What operators see on a daemon: its state and the configuration in force."""

from __future__ import annotations

import json
from collections.abc import Callable, Iterable, Mapping
from typing import Any

from werkzeug.exceptions import HTTPException
from werkzeug.routing import Map, Rule
from werkzeug.wrappers import Request, Response

from pimentohoist._controllers.configuration import ConfigurationController
from pimentohoist.protocols import Controller

_JSON = 'application/json'


class OperatorsApp:
    """WSGI application on the operators' address."""

    def __init__(
        self,
        name: str,
        controllers: Mapping[str, Controller],
        configuration: ConfigurationController,
    ) -> None:
        self.name = name
        self.controllers = controllers
        self.configuration = configuration
        self.paths: dict[str, Callable[[Request], Response]] = {
            '/state': self._state,
            '/configuration': self._configuration,
            '/publishes': self._publish,
        }
        self._routes = Map([Rule(path, endpoint=path) for path in self.paths])

    def __call__(self, environ: Any, start_response: Any) -> Iterable[bytes]:
        """Answer one request."""
        try:
            path, _ = self._routes.bind_to_environ(environ).match()
        except HTTPException as error:
            return error(environ, start_response)
        return self.paths[path](Request(environ))(environ, start_response)

    def _state(self, request: Request) -> Response:
        document = {
            'name': self.name,
            **{name: part.dump() for name, part in self.controllers.items()},
        }
        return Response(json.dumps(document), content_type=_JSON)

    def _configuration(self, request: Request) -> Response:
        in_force = self.configuration.in_force()
        document = {
            'text': in_force.text,
            'digest': in_force.digest,
            'next_offset': in_force.next_offset,
        }
        return Response(json.dumps(document), content_type=_JSON)

    def _publish(self, request: Request) -> Response:
        verdict = self.configuration.verdict(request.args.get('id', ''))
        document = None
        if verdict is not None:
            document = {
                'offset': verdict.offset,
                'is_accepted': verdict.is_accepted,
                'conflicts': verdict.conflicts,
                'faults': verdict.faults,
            }
        return Response(json.dumps(document), content_type=_JSON)
