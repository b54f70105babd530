"""Engines over HTTP, in the format of the usual model servers."""

from __future__ import annotations

import json
import time
from collections.abc import Iterator, Sequence
from functools import lru_cache
from http import HTTPStatus
from http.client import HTTPResponse
from typing import Any

from pimentohoist._http_client import (
    PendingResponse,
    HttpClient,
    HttpRequest,
    errors_of,
)
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
_MAX_NAMES = 4096
_LOAD_TIMEOUT_S = 30.0
_EVENT_PREFIX = b'data: '
_END_OF_STREAM = b'[DONE]'
_PART_BYTES = 65_536
_decoder = json.JSONDecoder()


class HttpEngine:
    """Implements `Engine`."""

    def __init__(self, address: str, *, timeout_s: float) -> None:
        self.client = HttpClient(address, timeout_s=timeout_s, step=_STEP)

    def status(self) -> EngineStatus:
        """Return residency and load as the engine reports them."""
        document = self.client.ask_json(HttpRequest.of_json('GET', '/v1/status'))
        return EngineStatus(
            frozenset(parse_adapter(name) for name in document['resident']),
            document['requests_in_flight'],
            document['slots'],
            document['is_leaving'],
        )

    def load(self, order: AdapterOrder) -> None:
        """Load an adapter version; returns when it is resident."""
        self._order('/v1/load_lora_adapter', order)

    def evict(self, order: AdapterOrder) -> None:
        """Evict an adapter version."""
        self._order('/v1/unload_lora_adapter', order)

    def generate(
        self, generation: Generation, readiness: ReadReadiness, *, timeout_s: float
    ) -> Iterator[Sequence[TokenChunk]]:
        """Run a request and yield its tokens in order, as many as have come."""
        # Repeats are counted and limited by the caller of this method, so none is made
        # on a kept connection that may be dead.
        request = HttpRequest.of_json('POST', '/v1/completions', _body(generation))
        with errors_of(self.client):
            with self.client.start(request, timeout_s=timeout_s) as begun:
                readiness.wait_for(begun.socket)
                yield from _until_ready(readiness, timeout_s)
                # The head may still come in pieces.
                readiness.clear()
                yield ()
                response = begun.response()
                if response.status >= HTTPStatus.BAD_REQUEST:
                    raise self._refusal(response.status, response.read())
                yield from self._batches(begun, response, readiness, timeout_s)

    def cancel(self, request_id: str) -> None:
        """Stop a request."""
        document = {'request_id': request_id}
        self.client.ask_json(HttpRequest.of_json('POST', '/v1/cancel', document))

    def _order(self, path: str, order: AdapterOrder) -> None:
        document = {
            'lora_name': str(order.adapter),
            'fencing_number': order.fencing_number,
        }
        self.client.ask_json(
            HttpRequest.of_json('POST', path, document), timeout_s=_LOAD_TIMEOUT_S
        )

    def _refusal(self, status: int, body: bytes) -> PeerRefusedError:
        text = body.decode(errors='replace')
        return PeerRefusedError(
            text, step=_STEP, peer=self.client.address, peer_status=status
        )

    def _batches(
        self,
        begun: PendingResponse,
        response: HTTPResponse,
        readiness: ReadReadiness,
        timeout_s: float,
    ) -> Iterator[Sequence[TokenChunk]]:
        events = EventReader()
        # Chunks, although HTTP/1.0 was asked for, may come in pieces.
        may_block = response.chunked
        if not may_block and not begun.start_body(response):
            readiness.wait_for(begun.socket)
        while not events.is_over:
            if readiness.source is not None:
                yield from _until_ready(readiness, timeout_s)
            batch = self._parse(events.feed(self._read(response)))
            if may_block or events.is_over:
                readiness.clear()
            else:
                readiness.wait_for(begun.socket)
            yield batch

    def _read(self, response: HTTPResponse) -> bytes:
        part = response.read1(_PART_BYTES)
        if not part:
            raise PeerError('the stream was cut', step=_STEP, peer=self.client.address)
        return part

    def _parse(self, events: Sequence[bytes]) -> Sequence[TokenChunk]:
        try:
            return [_parse_chunk(event.decode()) for event in events]
        except (ValueError, KeyError, TypeError) as error:
            raise PeerError(
                f'broken event: {error}', step=_STEP, peer=self.client.address
            ) from error


class EventReader:
    """Splits a stream of server-sent events into what each carries.

    Attributes
    ----------
    is_over : bool
        Whether the event that ends the stream has come.
    """

    def __init__(self) -> None:
        self.is_over = False
        self._rest = b''

    def feed(self, part: bytes) -> list[bytes]:
        """Return the data of the events that are whole by now."""
        lines = (self._rest + part).split(b'\n')
        self._rest = lines.pop()
        events = []
        for line in lines:
            event = line.strip().removeprefix(_EVENT_PREFIX)
            if event == _END_OF_STREAM:
                self.is_over = True
                break
            if event:
                events.append(event)
        return events


def _until_ready(
    readiness: ReadReadiness, timeout_s: float
) -> Iterator[Sequence[TokenChunk]]:
    """Yield nothing until there is something to read."""
    deadline = time.monotonic() + timeout_s
    while not readiness.is_ready:
        if time.monotonic() > deadline:
            raise TimeoutError(f'nothing came for {timeout_s:.3g} s')
        yield ()


@lru_cache(maxsize=_MAX_NAMES)
def parse_adapter(name: str) -> AdapterVersion:
    """Return the adapter version that an engine names; raises ValueError."""
    adapter, _, version = name.rpartition('@')
    return AdapterVersion(adapter, int(version))


def _parse_chunk(event: str) -> TokenChunk:
    document, end = _decoder.raw_decode(event)
    if end != len(event):
        raise ValueError('more than one JSON text')
    return TokenChunk(
        document['id'],
        parse_adapter(document['model']),
        document['offset'],
        document['text'],
        document['finish_reason'],
    )


def _body(generation: Generation) -> dict[str, Any]:
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
