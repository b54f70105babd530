"""Faults and HTTP controls that all stand-ins share."""

from __future__ import annotations

import json
import threading
import time
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field, fields
from http import HTTPStatus
from typing import Any

from werkzeug.wrappers import Request, Response

_JSON = 'application/json'
_MAX_SILENCE_S = 3600.0
_SILENCE_POLL_S = 0.05
_CUT_CONTENT_LENGTH_BYTES = 1_000_000

WsgiApp = Callable[..., Iterable[bytes]]


@dataclass(slots=True)
class Faults:
    """Faults in force.

    Attributes
    ----------
    is_down : bool
        Whether every request is refused.
    delay_s : float
        Time that every request waits before it is handled, in seconds.
    lose_answers : int
        Number of next requests other than GET that take effect but whose responses are
        cut off.
    drop_requests : int
        Number of next requests other than GET that are cut off without effect.
    silent_before : float
        Connections first used before this monotonic time get no more bytes.
    connections : dict of str to float
        Monotonic time of first use, by the client's port.
    """

    is_down: bool = False
    delay_s: float = 0
    lose_answers: int = 0
    drop_requests: int = 0
    silent_before: float = 0
    connections: dict[str, float] = field(default_factory=dict)
    lock: threading.Lock = field(default_factory=threading.Lock)

    def consume(self, name: str) -> bool:
        """Return whether a counted fault applies now, and decrement its count."""
        with self.lock:
            remaining: int = getattr(self, name)
            if remaining <= 0:
                return False
            setattr(self, name, remaining - 1)
            return True

    def is_silent(self, connection: str) -> bool:
        """Return whether a connection gets no more bytes."""
        with self.lock:
            first_used = self.connections.setdefault(connection, time.monotonic())
            return first_used < self.silent_before

    def wait_while_silent(self, connection: str) -> None:
        """Block as long as the connection is silent."""
        deadline = time.monotonic() + _MAX_SILENCE_S
        while self.is_silent(connection) and time.monotonic() < deadline:
            time.sleep(_SILENCE_POLL_S)


class StandIn:
    """Base of the stand-ins: a WSGI application that injects faults into responses.

    A subclass adds `answer` and `dump`; `controls` names its attributes that can be set
    through ``POST /control`` besides the faults. ``/control``, ``/seen`` and ``/state``
    are answered without faults.
    """

    controls: tuple[str, ...] = ()

    def __init__(self) -> None:
        self.faults = Faults()
        self.received_requests: list[dict[str, Any]] = []

    def __call__(self, environ: Any, start_response: Any) -> Iterable[bytes]:
        """Answer one request, subject to the faults in force."""
        request = Request(environ)
        match request.path:
            case '/control':
                return self._control(request)(environ, start_response)
            case '/seen':
                return json_response(list(self.received_requests))(
                    environ, start_response
                )
            case '/state':
                return json_response(self._state())(environ, start_response)
        return self._answer_with_faults(request)(environ, start_response)

    def answer(self, request: Request) -> Response:
        """Answer a request of the protocol."""
        raise NotImplementedError

    def dump(self) -> dict[str, Any]:
        """Return the state of this stand-in for ``/state``."""
        raise NotImplementedError

    def record(self, request: Request, **details: Any) -> None:
        """Store a received request, with its headers, for ``/seen``."""
        self.received_requests.append(
            {
                'method': request.method,
                'path': request.full_path,
                'target': request.environ['REQUEST_URI'],
                'headers': dict(request.headers),
                'body': request.get_data(as_text=True),
                **details,
            }
        )

    def _answer_with_faults(self, request: Request) -> Response:
        connection = str(request.environ.get('REMOTE_PORT'))
        self.faults.wait_while_silent(connection)
        time.sleep(self.faults.delay_s)
        if self.faults.is_down:
            return Response('down', HTTPStatus.SERVICE_UNAVAILABLE)
        if request.method == 'GET':
            return self.answer(request)
        if self.faults.consume('drop_requests'):
            return _cut_response()
        response = self.answer(request)
        if self.faults.consume('lose_answers'):
            return _cut_response()
        return _with_silence(response, self.faults, connection)

    def _state(self) -> dict[str, Any]:
        return {
            'faults': self._faults_in_force(),
            'controls': {name: getattr(self, name) for name in self.controls},
            'requests_seen': len(self.received_requests),
            **self.dump(),
        }

    def _faults_in_force(self) -> dict[str, Any]:
        return {name: getattr(self.faults, name) for name in sorted(_control_names())}

    def _control(self, request: Request) -> Response:
        document = request.get_json(silent=True) or {}
        if document.pop('silence', False):
            document['silent_before'] = time.monotonic()
        fault_names = _control_names()
        for name, value in document.items():
            if name not in fault_names and name not in self.controls:
                return Response(f'unknown control: {name}', HTTPStatus.BAD_REQUEST)
            setattr(self.faults if name in fault_names else self, name, value)
        return json_response(self._faults_in_force())


def _control_names() -> set[str]:
    return {entry.name for entry in fields(Faults)} - {'lock', 'connections'}


def json_response(document: Any, status: int = HTTPStatus.OK) -> Response:
    return Response(json.dumps(document), status, content_type=_JSON)


def _cut_response() -> Response:
    """Return a response whose connection breaks in the middle of the body."""
    response = Response(_broken_body(), content_type=_JSON, direct_passthrough=True)
    response.headers['Content-Length'] = str(_CUT_CONTENT_LENGTH_BYTES)
    return response


def _broken_body() -> Iterator[bytes]:
    yield b'{'
    raise ConnectionAbortedError('response cut by an injected fault')


def _with_silence(response: Response, faults: Faults, connection: str) -> Response:
    if not response.is_streamed:
        return response
    response.response = _silenced_parts(response.response, faults, connection)
    return response


def _silenced_parts(parts: Any, faults: Faults, connection: str) -> Iterator[bytes]:
    try:
        for part in parts:
            faults.wait_while_silent(connection)
            yield part
    finally:
        getattr(parts, 'close', lambda: None)()
