"""The WSGI application for callers: completions, services and entry addresses."""

from __future__ import annotations

import json
import logging
import math
import time
import uuid
from collections.abc import Callable, Iterable, Mapping
from contextlib import closing
from typing import Any
from urllib.parse import quote, urlsplit

from werkzeug.exceptions import HTTPException, RequestEntityTooLarge
from werkzeug.routing import Map, Rule
from werkzeug.wrappers import Request, Response

from pimentohoist._openai import (
    count_tokens,
    error_document,
    parse_body,
    read_max_tokens,
    read_prompt,
)
from pimentohoist._relay import Relay
from pimentohoist.exceptions import (
    InvalidRequestError,
    NotFoundError,
    OversizedRequestError,
    PimentohoistError,
    UnavailableError,
)
from pimentohoist.exchanges import (
    CallerResponse,
    ReadReadiness,
    CallerRequest,
    Exchange,
    RequestKind,
)
from pimentohoist.protocols import Handler
from pimentohoist.settings import CallersSettings

_STEP = 'callers_app'
_JSON = 'application/json'
_TIMEOUT_HEADER = 'X-Request-Timeout-S'
_SAFE_URI_CHARACTERS = "%/?:@!$&'()*+,;=~[]"
_SERVICE_PREFIX_SEGMENTS = 2
_SERVICE_METHODS = ('GET', 'POST', 'PUT', 'DELETE', 'PATCH')
_logger = logging.getLogger(__name__)

_ROUTES = Map(
    [
        Rule('/v1/completions', endpoint=RequestKind.COMPLETION, methods=['POST']),
        Rule('/v1/chat/completions', endpoint=RequestKind.CHAT, methods=['POST']),
        Rule('/v1/models', endpoint=RequestKind.MODELS, methods=['GET']),
        Rule('/v1/entries', endpoint='entries', methods=['GET']),
        Rule(
            '/services/<route>', endpoint=RequestKind.SERVICE, methods=_SERVICE_METHODS
        ),
        Rule(
            '/services/<route>/<path:path>',
            endpoint=RequestKind.SERVICE,
            methods=_SERVICE_METHODS,
        ),
    ]
)


class _StreamedResponse(Response):
    """A response whose body yields empty parts where it would block."""

    readiness: ReadReadiness


class CallersApp:
    """WSGI application that serves the callers' address.

    Parameters
    ----------
    handler : Handler
        The filter chain.
    entries : callable
        Returns the addresses that callers may use.
    """

    def __init__(
        self,
        handler: Handler,
        entries: Callable[[], tuple[str, ...]],
        settings: CallersSettings,
        relay: Relay,
    ) -> None:
        self.handler = handler
        self.entries = entries
        self.settings = settings
        self.relay = relay

    def __call__(self, environ: Any, start_response: Any) -> Iterable[bytes]:
        """Handle one request."""
        request_id = uuid.uuid4().hex
        try:
            response = self._respond(environ, request_id)
        except PimentohoistError as error:
            response = self._error_response(error, request_id)
        except Exception:
            _logger.exception('request failed', extra={'request_id': request_id})
            response = self._error_response(
                PimentohoistError('internal error', step=_STEP), request_id
            )
        response.headers['X-Request-Id'] = request_id
        if isinstance(response, _StreamedResponse):
            return self._stream(response, environ, start_response)
        return response(environ, start_response)

    def refuse(self, environ: Any, start_response: Any) -> Iterable[bytes]:
        """Answer a request that arrives while the server closes; it hasn't run."""
        error = UnavailableError('the daemon is stopping', step=_STEP, retry_after_s=0)
        response = self._error_response(error, uuid.uuid4().hex)
        return response(environ, start_response)

    def _stream(
        self, response: _StreamedResponse, environ: Any, start_response: Any
    ) -> Iterable[bytes]:
        """Write the body's parts as they arrive; return an empty body."""
        headers = response.get_wsgi_headers(environ).to_wsgi_list()
        write = start_response(response.status, headers)
        with closing(response):
            self.relay.run(iter(response.response), response.readiness, write)
        return ()

    def _respond(self, environ: Any, request_id: str) -> Response:
        request = Request(environ)
        request.max_content_length = self.settings.max_body_bytes
        try:
            kind, arguments = _ROUTES.bind_to_environ(environ).match()
        except HTTPException as error:
            raise NotFoundError(f'no such path: {request.path}', step=_STEP) from error
        if kind == 'entries':
            return self._entries()
        exchange = _read_exchange(
            self._read_request(request, kind, arguments, request_id), environ
        )
        caller_response = self.handler(exchange)
        _logger.info('request answered', extra=_log_fields(exchange, caller_response))
        return _response(caller_response)

    def _entries(self) -> Response:
        document = {
            'entries': self.entries(),
            'max_age_s': self.settings.entries_max_age_s,
        }
        return Response(json.dumps(document), content_type=_JSON)

    def _read_request(
        self,
        request: Request,
        kind: RequestKind,
        arguments: Mapping[str, str],
        request_id: str,
    ) -> CallerRequest:
        body = _read_body(request)
        is_generation = kind in {RequestKind.COMPLETION, RequestKind.CHAT}
        return CallerRequest(
            request_id,
            kind,
            request.method,
            path=_path_below_route(request.environ),
            authorization=request.headers.get('Authorization', ''),
            body=body,
            content_type=request.headers.get('Content-Type', ''),
            deadline=time.monotonic() + self._timeout_s(request),
            idempotency_key=request.headers.get('Idempotency-Key', ''),
            route=arguments.get('route', ''),
            document=parse_body(body) if is_generation else {},
        )

    def _timeout_s(self, request: Request) -> float:
        text = request.headers.get(_TIMEOUT_HEADER)
        if text is None:
            return self.settings.timeout_s
        try:
            timeout_s = float(text)
        except ValueError:
            timeout_s = math.nan
        if not 0 < timeout_s <= self.settings.timeout_s:
            raise InvalidRequestError(
                f'header {_TIMEOUT_HEADER}: expected seconds above 0 and at most '
                f'{self.settings.timeout_s:g}, got {text!r}',
                step=_STEP,
            )
        return timeout_s

    def _error_response(self, error: PimentohoistError, request_id: str) -> Response:
        _logger.info(
            'request refused: %s',
            error.message,
            extra={
                'request_id': request_id,
                'step': error.step,
                'peer': error.peer,
                'code': error.code,
                'run': error.run_state.value,
            },
        )
        body = json.dumps({'error': error_document(error)})
        response = Response(body, error.status, content_type=_JSON)
        if error.retry_after_s is not None:
            response.headers['Retry-After'] = str(math.ceil(error.retry_after_s))
        return response


def _response(caller_response: CallerResponse) -> Response:
    kind = Response if caller_response.readiness is None else _StreamedResponse
    response = kind(
        caller_response.body,
        caller_response.status,
        caller_response.headers,
        content_type=caller_response.content_type,
        direct_passthrough=True,
    )
    if (
        isinstance(response, _StreamedResponse)
        and caller_response.readiness is not None
    ):
        response.readiness = caller_response.readiness
    return response


def _read_body(request: Request) -> bytes:
    try:
        return request.get_data(cache=False)
    except RequestEntityTooLarge as error:
        raise OversizedRequestError(
            f'body: expected at most {request.max_content_length} bytes', step=_STEP
        ) from error


def _path_below_route(environ: Mapping[str, Any]) -> str:
    """Return path and query after ``/services/<route>`` as the caller encoded them."""
    target = urlsplit(environ['REQUEST_URI'])
    parts = target.path.lstrip('/').split('/', _SERVICE_PREFIX_SEGMENTS)
    path = ''.join(parts[_SERVICE_PREFIX_SEGMENTS:])
    query = f'?{target.query}' if target.query else ''
    return quote(f'/{path}{query}', safe=_SAFE_URI_CHARACTERS, encoding='latin-1')


def _read_exchange(request: CallerRequest, environ: Mapping[str, Any]) -> Exchange:
    exchange = Exchange(request)
    exchange.is_cancelled = environ.get(
        'waitress.client_disconnected', _never_cancelled
    )
    if request.kind in {RequestKind.COMPLETION, RequestKind.CHAT}:
        exchange.prompt = read_prompt(request.kind, request.document)
        exchange.max_tokens = read_max_tokens(request.document)
        exchange.cost_tokens = count_tokens(exchange.prompt) + exchange.max_tokens
    return exchange


def _never_cancelled() -> bool:
    return False


def _log_fields(exchange: Exchange, caller_response: CallerResponse) -> dict[str, Any]:
    return {
        'request_id': exchange.request.request_id,
        'step': 'answered',
        'peer': exchange.endpoint,
        'workspace': exchange.workspace.name if exchange.workspace else '',
        'key_name': exchange.key_name,
        'adapter': str(exchange.adapter_version or ''),
        'status': int(caller_response.status),
    }
