"""The WSGI application for operators: state, configuration, publishes and drain."""

from __future__ import annotations

import json
from collections.abc import Callable, Iterable, Mapping
from dataclasses import asdict
from typing import Any

from werkzeug.exceptions import HTTPException
from werkzeug.routing import Map, Rule
from werkzeug.wrappers import Request, Response

from pimentohoist._configuration_fold import PublishVerdict
from pimentohoist._controllers.configuration import ConfigurationController
from pimentohoist.protocols import Controller

_JSON = 'application/json'
_POST_PATHS = frozenset(('/drain',))


class OperatorsApp:
    """WSGI application that serves the operators' address."""

    def __init__(
        self,
        name: str,
        controllers: Mapping[str, Controller],
        configuration: ConfigurationController,
        drain: Callable[[], None],
    ) -> None:
        self.name = name
        self.controllers = controllers
        self.configuration = configuration
        self.drain = drain
        self.paths: dict[str, Callable[[Request], Response]] = {
            '/state': self._state,
            '/configuration': self._configuration,
            '/publishes': self._publish,
            '/history': self._history,
            '/drain': self._drain,
        }
        self._routes = Map(
            [Rule(path, endpoint=path, methods=_methods(path)) for path in self.paths]
        )

    def __call__(self, environ: Any, start_response: Any) -> Iterable[bytes]:
        """Handle one request."""
        try:
            path, _ = self._routes.bind_to_environ(environ).match()
        except HTTPException as error:
            return error(environ, start_response)
        return self.paths[path](Request(environ))(environ, start_response)

    def _state(self, request: Request) -> Response:
        document = {
            'name': self.name,
            **{
                name: controller.dump() for name, controller in self.controllers.items()
            },
        }
        return Response(json.dumps(document), content_type=_JSON)

    def _drain(self, request: Request) -> Response:
        self.drain()
        return Response(json.dumps({'is_asked': True}), content_type=_JSON)

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
        document = None if verdict is None else _verdict_document(verdict)
        return Response(json.dumps(document), content_type=_JSON)

    def _history(self, request: Request) -> Response:
        document = [
            _verdict_document(verdict) for verdict in self.configuration.verdicts()
        ]
        return Response(json.dumps(document), content_type=_JSON)


def _verdict_document(verdict: PublishVerdict) -> dict[str, Any]:
    return {**asdict(verdict), 'is_accepted': verdict.is_accepted}


def _methods(path: str) -> list[str]:
    return ['POST'] if path in _POST_PATHS else ['GET']
