"""Stand-in for a model engine: batching, adapter slots and violation counts."""

from __future__ import annotations

import hashlib
import json
import os
import threading
import time
from collections.abc import Iterator
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import Any

from werkzeug.wrappers import Request, Response

from pimentohoist._http_client import HttpClient
from pimentohoist._http_connection import HttpRequest
from pimentohoist.exceptions import PeerError
from pimentohoist_standins.faults import StandIn, json_response

_EVENT_STREAM_TYPE = 'text/event-stream'
_WEIGHTS_TIMEOUT_S = 30.0
_EXIT_CRASHED = 70


@dataclass(frozen=True, slots=True)
class EngineOptions:
    """Configuration of an engine.

    Attributes
    ----------
    slots : int
        Adapter slots: the most adapters that are resident at once.
    knee_requests : int
        Requests in flight up to which each request keeps its full speed.
    token_s : float
        Time for one token of each request, in seconds, up to `knee_requests`.
    checks_fencing : bool
        Whether load and unload orders with an old fencing number are refused.
    status_lag_s : float
        Highest age of the report of ``/v1/status``, in seconds.
    store_address : str
        Weight store that adapters are loaded from; empty for no transfer.
    """

    slots: int = 8
    knee_requests: int = 16
    token_s: float = 0.01
    checks_fencing: bool = True
    status_lag_s: float = 0.2
    store_address: str = ''


@dataclass(slots=True)
class EngineState:
    """Resident adapters, running requests and counters of an engine."""

    resident: set[str] = field(default_factory=set)
    running: dict[str, str] = field(default_factory=dict)
    cancelled: set[str] = field(default_factory=set)
    fencing_number: int = 0
    restarts: int = 0
    violations: list[str] = field(default_factory=list)
    loads: int = 0


def token_text(prompt: str, adapter: str, offset: int) -> str:
    """Return the token generated for a prompt, an adapter and an offset."""
    text = f'{prompt}\n{adapter}\n{offset}'.encode()
    return f'{hashlib.blake2b(text, digest_size=3).hexdigest()} '


class EngineStandIn(StandIn):
    """Streams the tokens of completions on resident adapters."""

    controls = ('crash_on', 'fail_loads', 'is_leaving', 'restart_cold', 'wrong_answers')

    def __init__(self, options: EngineOptions) -> None:
        super().__init__()
        self.options = options
        self.state = EngineState()
        self.crash_on = ''
        self.fail_loads = 0
        self.wrong_answers = 0
        self.is_leaving = False
        self._lock = threading.RLock()
        self._status_report: tuple[float, dict[str, Any]] = (float('-inf'), {})
        self._paths = {
            '/v1/completions': self._complete,
            '/v1/load_lora_adapter': self._load,
            '/v1/unload_lora_adapter': self._unload,
            '/v1/cancel': self._cancel,
            '/v1/status': self._status,
            '/v1/violations': self._violations,
        }

    @property
    def restart_cold(self) -> bool:
        """Setting it to true drops all adapters and cuts all streams."""
        return False

    @restart_cold.setter
    def restart_cold(self, is_wanted: bool) -> None:
        with self._lock:
            if is_wanted:
                self.state.resident.clear()
                self.state.restarts += 1

    def dump(self) -> dict[str, Any]:
        """Return the resident adapters, the running requests and the counters."""
        with self._lock:
            return {
                'resident': sorted(self.state.resident),
                'running': dict(self.state.running),
                'fencing_number': self.state.fencing_number,
                'restarts': self.state.restarts,
                'loads': self.state.loads,
                'violations': list(self.state.violations),
            }

    def answer(self, request: Request) -> Response:
        """Answer a request by its path."""
        if request.path not in self._paths:
            return Response(f'no such path: {request.path}', HTTPStatus.NOT_FOUND)
        return self._paths[request.path](request)

    def _complete(self, request: Request) -> Response:
        document = request.get_json()
        adapter = document['model']
        with self._lock:
            if adapter not in self.state.resident:
                return Response(f'not resident: {adapter}', HTTPStatus.NOT_FOUND)
            self.state.running[document['request_id']] = adapter
        adapter_name, _, version = adapter.rpartition('@')
        self.record(
            request,
            request_id=document['request_id'],
            adapter=adapter_name,
            version=int(version),
        )
        if self.crash_on and self.crash_on in document['prompt']:
            os._exit(_EXIT_CRASHED)
        return Response(
            _TokenStream(self, document),
            content_type=_EVENT_STREAM_TYPE,
            direct_passthrough=True,
        )

    def _load(self, request: Request) -> Response:
        document = request.get_json()
        adapter = document['lora_name']
        refusal = self._check_fencing(document)
        if refusal is not None:
            return refusal
        if adapter in self.state.resident:
            return json_response({'resident': True})
        if not self._fetch_weights(adapter):
            return Response('load failed', HTTPStatus.INTERNAL_SERVER_ERROR)
        with self._lock:
            if len(self.state.resident) >= self.options.slots:
                return Response('no free slot', HTTPStatus.CONFLICT)
            self.state.resident.add(adapter)
            self.state.loads += 1
        self.record(request)
        return json_response({'resident': True})

    def _unload(self, request: Request) -> Response:
        document = request.get_json()
        refusal = self._check_fencing(document)
        if refusal is not None:
            return refusal
        adapter = document['lora_name']
        with self._lock:
            if adapter in self.state.running.values():
                self.state.violations.append(f'evicted in use: {adapter}')
            self.state.resident.discard(adapter)
        self.record(request)
        return json_response({'resident': False})

    def _cancel(self, request: Request) -> Response:
        request_id = request.get_json()['request_id']
        with self._lock:
            if request_id in self.state.running:
                self.state.cancelled.add(request_id)
        return json_response({})

    def _status(self, request: Request) -> Response:
        now = time.monotonic()
        with self._lock:
            if now - self._status_report[0] >= self.options.status_lag_s:
                document = {
                    'resident': sorted(self.state.resident),
                    'requests_in_flight': len(self.state.running),
                    'slots': self.options.slots,
                    'is_leaving': self.is_leaving,
                }
                self._status_report = (now, document)
            return json_response(self._status_report[1])

    def _violations(self, request: Request) -> Response:
        document = {'violations': self.state.violations, 'loads': self.state.loads}
        return json_response(document)

    def _check_fencing(self, document: dict[str, Any]) -> Response | None:
        fencing_number = document['fencing_number']
        with self._lock:
            if (
                self.options.checks_fencing
                and fencing_number < self.state.fencing_number
            ):
                return Response('old fencing number', HTTPStatus.CONFLICT)
            self.state.fencing_number = max(fencing_number, self.state.fencing_number)
        return None

    def _fetch_weights(self, adapter: str) -> bool:
        with self._lock:
            if self.fail_loads > 0:
                self.fail_loads -= 1
                return False
        if not self.options.store_address:
            return True
        client = HttpClient(
            self.options.store_address, timeout_s=_WEIGHTS_TIMEOUT_S, step='load'
        )
        name, _, version = adapter.rpartition('@')
        path = f'/weights/{name}/{version}/content'
        try:
            client.request_json(HttpRequest.from_json('GET', path))
        except PeerError:
            return False
        return True


class _TokenStream:
    """Yields the events of one completion."""

    def __init__(self, engine: EngineStandIn, document: dict[str, Any]) -> None:
        self.engine = engine
        self.document = document
        self.restarts = engine.state.restarts

    def __iter__(self) -> Iterator[bytes]:
        last = self.document['max_tokens'] - 1
        for offset in range(self.document['resume_offset'], last + 1):
            self._wait_for_token()
            yield self._event(offset, 'length' if offset == last else None)
        yield b'data: [DONE]\n\n'

    def close(self) -> None:
        request_id = self.document['request_id']
        with self.engine._lock:  # noqa: SLF001
            self.engine.state.running.pop(request_id, None)
            self.engine.state.cancelled.discard(request_id)

    def _wait_for_token(self) -> None:
        options = self.engine.options
        state = self.engine.state
        slowdown = max(1, len(state.running) / options.knee_requests)
        time.sleep(options.token_s * slowdown)
        is_cancelled = self.document['request_id'] in state.cancelled
        if is_cancelled or state.restarts != self.restarts:
            raise ConnectionAbortedError('cancelled or restarted')

    def _event(self, offset: int, finish_reason: str | None) -> bytes:
        adapter = self.document['model']
        request_id = self.document['request_id']
        prompt = self.document['prompt']
        if self.engine.wrong_answers > 0:
            self.engine.wrong_answers -= 1
            request_id = 'another-request'
            prompt = request_id
        event = {
            'id': request_id,
            'model': adapter,
            'offset': offset,
            'text': token_text(prompt, adapter, offset),
            'finish_reason': finish_reason,
        }
        return b'data: ' + json.dumps(event).encode() + b'\n\n'
