"""HTTP client of an engine, in the format of common model servers."""

from __future__ import annotations

import json
import time
from collections.abc import Iterator, Sequence
from functools import lru_cache
from http import HTTPStatus
from typing import Any

from pimentohoist._http_client import HttpClient, PendingResponse
from pimentohoist._http_connection import HttpRequest
from pimentohoist._http_errors import translate_errors
from pimentohoist._limited_reader import ByteLimitError, LimitedResponse
from pimentohoist.exceptions import PeerError, PeerRefusedError
from pimentohoist.exchanges import ReadReadiness
from pimentohoist.models import (
    AdapterOrder,
    AdapterVersion,
    EngineStatus,
    Generation,
    TokenChunk,
)

_STEP = 'engine'
_MAX_CACHED_ADAPTER_NAMES = 4096
_LOAD_TIMEOUT_S = 30.0
_EVENT_PREFIX = b'data: '
_END_OF_STREAM = b'[DONE]'
_MAX_REFUSAL_BYTES = 65_536
_MAX_LINE_BYTES = 1_048_576
_decoder = json.JSONDecoder()


class HttpEngine:
    """Implements `Engine`."""

    def __init__(self, address: str, *, timeout_s: float) -> None:
        self.client = HttpClient(address, timeout_s=timeout_s, step=_STEP)

    def status(self) -> EngineStatus:
        """Return the resident adapters and the load that the engine reports."""
        document = self.client.request_json(HttpRequest.from_json('GET', '/v1/status'))
        return EngineStatus(
            frozenset(parse_adapter_version(name) for name in document['resident']),
            document['requests_in_flight'],
            document['slots'],
            document['is_leaving'],
        )

    def load(self, order: AdapterOrder) -> None:
        """Load an adapter version; returns when it is resident."""
        self._send_order('/v1/load_lora_adapter', order)

    def evict(self, order: AdapterOrder) -> None:
        """Evict an adapter version."""
        self._send_order('/v1/unload_lora_adapter', order)

    def generate(
        self, generation: Generation, readiness: ReadReadiness, *, timeout_s: float
    ) -> Iterator[Sequence[TokenChunk]]:
        """Run a request and yield its tokens in order, in batches as received."""
        # The caller of this method counts and limits retries, so none is made here when a
        # reused connection turns out to be closed.
        request = HttpRequest.from_json(
            'POST', '/v1/completions', _completion_body(generation)
        )
        with translate_errors(self.client):
            with self.client.start(request, timeout_s=timeout_s) as pending:
                readiness.wait_for(pending.socket)
                yield from _yield_until_ready(readiness, timeout_s)
                # Only a part of the response head may have arrived yet, so that reading it
                # may block.
                readiness.clear()
                yield ()
                response = pending.response()
                if response.status >= HTTPStatus.BAD_REQUEST:
                    raise self._refused_error(
                        response.status, response.read_all(_MAX_REFUSAL_BYTES)
                    )
                yield from self._batches(pending, response, readiness, timeout_s)

    def cancel(self, request_id: str) -> None:
        """Stop a request."""
        document = {'request_id': request_id}
        self.client.request_json(HttpRequest.from_json('POST', '/v1/cancel', document))

    def _send_order(self, path: str, order: AdapterOrder) -> None:
        document = {
            'lora_name': str(order.adapter),
            'fencing_number': order.fencing_number,
        }
        self.client.request_json(
            HttpRequest.from_json('POST', path, document), timeout_s=_LOAD_TIMEOUT_S
        )

    def _refused_error(self, status: int, body: bytes) -> PeerRefusedError:
        text = body.decode(errors='replace')
        return PeerRefusedError(
            text, step=_STEP, peer=self.client.address, peer_status=status
        )

    def _batches(
        self,
        pending: PendingResponse,
        response: LimitedResponse,
        readiness: ReadReadiness,
        timeout_s: float,
    ) -> Iterator[Sequence[TokenChunk]]:
        events = EventReader()
        # A chunked body, sent although HTTP/1.0 was requested, may arrive in parts of a
        # chunk, so that reading it may block.
        may_block = response.chunked
        if not may_block and not pending.start_body(response):
            readiness.wait_for(pending.socket)
        while not events.has_ended:
            if readiness.source is not None:
                yield from _yield_until_ready(readiness, timeout_s)
            batch = self._parse_events(events.feed(self._read_part(response)))
            if may_block or events.has_ended:
                readiness.clear()
            else:
                readiness.wait_for(pending.socket)
            yield batch

    def _read_part(self, response: LimitedResponse) -> bytes:
        part = response.read_part()
        if not part:
            raise PeerError(
                'the stream ended before its last event',
                step=_STEP,
                peer=self.client.address,
            )
        return part

    def _parse_events(self, events: Sequence[bytes]) -> Sequence[TokenChunk]:
        try:
            return [_parse_chunk(event.decode()) for event in events]
        except (ValueError, KeyError, TypeError) as error:
            raise PeerError(
                f'invalid event: {error}', step=_STEP, peer=self.client.address
            ) from error


class EventReader:
    """Splits a stream of server-sent events into the data of each event.

    Attributes
    ----------
    has_ended : bool
        Whether the event that ends the stream was received.
    """

    def __init__(self) -> None:
        self.has_ended = False
        self._incomplete_line = bytearray()

    def feed(self, part: bytes) -> list[bytes]:
        """Return the data of the events that `part` completes; raises ByteLimitError."""
        self._incomplete_line += part
        if b'\n' not in part:
            if len(self._incomplete_line) > _MAX_LINE_BYTES:
                raise ByteLimitError('event', _MAX_LINE_BYTES)
            return []
        lines = self._incomplete_line.split(b'\n')
        self._incomplete_line = lines.pop()
        events = []
        for line in lines:
            event = bytes(line.strip()).removeprefix(_EVENT_PREFIX)
            if event == _END_OF_STREAM:
                self.has_ended = True
                break
            if event:
                events.append(event)
        return events


def _yield_until_ready(
    readiness: ReadReadiness, timeout_s: float
) -> Iterator[Sequence[TokenChunk]]:
    """Yield empty batches until there is something to read."""
    deadline = time.monotonic() + timeout_s
    while not readiness.is_ready:
        if time.monotonic() > deadline:
            raise TimeoutError(f'nothing was received for {timeout_s:.3g} s')
        yield ()


@lru_cache(maxsize=_MAX_CACHED_ADAPTER_NAMES)
def parse_adapter_version(name: str) -> AdapterVersion:
    """Return the adapter version of an engine's ``name@version``; raises ValueError."""
    adapter, _, version = name.rpartition('@')
    return AdapterVersion(adapter, int(version))


def _parse_chunk(event: str) -> TokenChunk:
    document, end = _decoder.raw_decode(event)
    if end != len(event):
        raise ValueError('more than one JSON value')
    return TokenChunk(
        document['id'],
        parse_adapter_version(document['model']),
        document['offset'],
        document['text'],
        document['finish_reason'],
    )


def _completion_body(generation: Generation) -> dict[str, Any]:
    return {
        'request_id': generation.request_id,
        'model': str(generation.adapter),
        'prompt': generation.prompt,
        'max_tokens': generation.max_tokens,
        'cache_salt': generation.cache_salt,
        'resume_offset': generation.resume_offset,
        'priority': 0 if generation.is_urgent else 1,
        'stream': True,
    }
