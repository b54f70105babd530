"""WSGI applications for requests, the directory, readiness and metrics."""

from __future__ import annotations

import json
from collections.abc import Callable, Iterable, Mapping
from dataclasses import replace
from http import HTTPStatus
from typing import Any

from pimentohoist import _clock
from pimentohoist._entry.forwarded_request import decode_origin, without_origin
from pimentohoist._entry.request_context import EntryResponse
from pimentohoist._entry.request_handler import RequestHandler
from pimentohoist._entry.server import RECEIVED_AT, REFUSAL
from pimentohoist._entry.shutdown import Shutdown
from pimentohoist._http_server import WsgiApp
from pimentohoist.entry_models import EntryRequest
from pimentohoist.exceptions import PimentohoistError
from pimentohoist.platform import (
    DIRECTORY_PATH,
    DirectoryQuery,
    RawRequest,
    decode_directory_query,
    encode_directory,
    forwarding_error_headers,
    read_request,
)

Environ = Mapping[str, Any]
StartResponse = Callable[..., object]

_JSON = ('Content-Type', 'application/json')
_HTTP_PREFIX = 'HTTP_'
_GATEWAY_STATUSES = frozenset((HTTPStatus.BAD_GATEWAY, HTTPStatus.GATEWAY_TIMEOUT))
_MAX_DIRECTORY_AGE_S = 2.0
"""A lost or draining daemon may stay in callers' copies of the directory this long."""


class RequestsApp:
    """Serves callers' requests."""

    def __init__(self, handler: RequestHandler) -> None:
        self.handler = handler

    def __call__(
        self, environ: Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
        """Handle a request and return the response's body as it arrives."""
        try:
            request = read_request(_raw_request(environ), environ[RECEIVED_AT])
            _check_refusal(self.handler, request, environ)
            response = self.handler.handle(
                request, environ['waitress.client_disconnected']
            )
        except PimentohoistError as error:
            return _send_error(error, start_response)
        return _send_response(response, start_response)

    def check_head(self, method: str, target: str, headers: Mapping[str, str]) -> str:
        """Return the workspace of a request whose body hasn't come; raises its error.

        Parameters
        ----------
        headers : mapping of str to str
            By name as in the WSGI environment, without a prefix.
        """
        named = tuple(
            (_header_name(_HTTP_PREFIX + name), text) for name, text in headers.items()
        )
        head = RawRequest(method, target, named, b'')
        return self.handler.check_head(read_request(head, _clock.now()))


class ForwardedApp:
    """Serves callers' requests that other daemons forward."""

    def __init__(self, handler: RequestHandler) -> None:
        self.handler = handler

    def __call__(
        self, environ: Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
        """Handle a request; a response tells whether the request may have run."""
        raw = _raw_request(environ)
        try:
            request = _read_forwarded(raw, environ[RECEIVED_AT])
            _check_refusal(self.handler, request, environ)
            response = self.handler.handle(
                request, environ['waitress.client_disconnected']
            )
        except PimentohoistError as error:
            return _send_forwarding_error(error, raw, start_response)
        return _send_response(response, start_response)


class RefusalApp:
    """Answers requests that arrive while the server closes; they haven't run."""

    def __init__(self, shutdown: Shutdown) -> None:
        self.shutdown = shutdown

    def __call__(
        self, environ: Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
        """Return 503, and when to come back."""
        error = self.shutdown.refusal('it accepts no more requests')
        return _send_error(error, start_response)


class ForwardingRefusalApp:
    """Answers forwarded requests that arrive while the server closes; they haven't run."""

    def __init__(self, shutdown: Shutdown) -> None:
        self.shutdown = shutdown

    def __call__(
        self, environ: Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
        """Return that the request hasn't run."""
        error = self.shutdown.refusal('it accepts no more requests')
        return _send_forwarding_error(error, _raw_request(environ), start_response)


class RefusableApp:
    """Serves an application, except for requests that weren't read to their end."""

    def __init__(self, app: WsgiApp) -> None:
        self.app = app

    def __call__(
        self, environ: Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
        """Return the application's response, or why the request was given up."""
        refusal = environ[REFUSAL]
        if refusal is not None:
            return _send_error(refusal, start_response)
        return self.app(environ, start_response)


class DirectoryApp:
    """Serves the directory: the addresses to which callers connect."""

    def __init__(
        self, addresses: Callable[[DirectoryQuery], list[str]], max_age_s: float
    ) -> None:
        self.addresses = addresses
        self.max_age_s = min(_MAX_DIRECTORY_AGE_S, max_age_s)

    def __call__(
        self, environ: Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
        """Return the addresses of the ready daemons, or 503 if there are none."""
        if environ['PATH_INFO'] != DIRECTORY_PATH:
            return _send_json(HTTPStatus.NOT_FOUND, {}, start_response)
        query = decode_directory_query(environ.get('QUERY_STRING', ''))
        addresses = self.addresses(query)
        if not addresses:
            return _send_json(HTTPStatus.SERVICE_UNAVAILABLE, {}, start_response)
        document = encode_directory(addresses, self.max_age_s)
        return _send_json(HTTPStatus.OK, document, start_response)


class ReadyApp:
    """Serves the readiness check of the platform."""

    def __init__(self, is_ready: Callable[[], bool]) -> None:
        self.is_ready = is_ready

    def __call__(
        self, environ: Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
        """Return 200 if the daemon is ready, else 503."""
        is_ready = self.is_ready()
        status = HTTPStatus.OK if is_ready else HTTPStatus.SERVICE_UNAVAILABLE
        return _send_json(status, {'is_ready': is_ready}, start_response)


class MetricsApp:
    """Serves metrics as text, and the state of all controllers as JSON."""

    def __init__(
        self, lines: Callable[[], Iterable[str]], state: Callable[[], Any]
    ) -> None:
        self.lines = lines
        self.state = state

    def __call__(
        self, environ: Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
        """Return the metrics, or the state below ``/state``."""
        if environ['PATH_INFO'] == '/state':
            return _send_json(HTTPStatus.OK, self.state(), start_response)
        body = ''.join(f'{line}\n' for line in self.lines()).encode()
        start_response('200 OK', [('Content-Type', 'text/plain')])
        return [body]


def _raw_request(environ: Environ) -> RawRequest:
    headers = [
        (_header_name(name), text)
        for name, text in environ.items()
        if name.startswith(_HTTP_PREFIX)
    ]
    content_type = environ.get('CONTENT_TYPE')
    if content_type:
        headers.append(('Content-Type', content_type))
    body = environ['wsgi.input'].read()
    return RawRequest(
        environ['REQUEST_METHOD'],
        environ['REQUEST_URI'],
        tuple(headers),
        body,
        environ['SERVER_PROTOCOL'],
    )


def _check_refusal(
    handler: RequestHandler, request: EntryRequest, environ: Environ
) -> None:
    """Raise the error of a request whose body wasn't read to the end."""
    refusal = environ[REFUSAL]
    if refusal is not None:
        handler.refuse(request, refusal)


def _header_name(name: str) -> str:
    return name[len(_HTTP_PREFIX) :].replace('_', '-').title()


def _send_response(
    response: EntryResponse, start_response: StartResponse
) -> Iterable[bytes]:
    headers = list(response.headers)
    if response.length is not None:
        headers.append(('Content-Length', str(response.length)))
    start_response(f'{response.status} {response.reason}', headers)
    return response.parts


def _send_error(
    error: PimentohoistError, start_response: StartResponse
) -> Iterable[bytes]:
    document = {'error': {'code': error.code, 'message': error.message}}
    headers = []
    if error.retry_after_s is not None:
        headers.append(('Retry-After', f'{error.retry_after_s:.2f}'))
    return _send_json(error.status, document, start_response, headers)


def _read_forwarded(raw: RawRequest, received_at: float) -> EntryRequest:
    """Decode a forwarded request; raises InvalidRequestError."""
    received = replace(raw, headers=tuple(without_origin(raw.headers)))
    request = read_request(received, received_at)
    return replace(request, origin=decode_origin(raw.headers))


def _send_forwarding_error(
    error: PimentohoistError, raw: RawRequest, start_response: StartResponse
) -> Iterable[bytes]:
    """Send an error to the daemon that forwarded a request.

    Only errors of a gateway may come after the request was sent to an endpoint.
    """
    document = {'error': {'code': error.code, 'message': error.message}}
    may_have_run = error.status in _GATEWAY_STATUSES
    status = error.status if may_have_run else HTTPStatus.SERVICE_UNAVAILABLE
    headers = forwarding_error_headers(raw.headers, may_have_run=may_have_run)
    return _send_json(status, document, start_response, headers)


def _send_json(
    status: HTTPStatus,
    document: object,
    start_response: StartResponse,
    headers: Iterable[tuple[str, str]] = (),
) -> Iterable[bytes]:
    body = json.dumps(document).encode()
    length = ('Content-Length', str(len(body)))
    start_response(f'{status.value} {status.phrase}', [_JSON, length, *headers])
    return [body]
