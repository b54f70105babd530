"""Engines over HTTP, in the format of the usual model servers."""

from __future__ import annotations

import json
from collections.abc import Iterator
from dataclasses import replace
from functools import lru_cache
from http import HTTPStatus
from typing import Any

from pimentohoist._http_client import HttpClient, HttpRequest, errors_of
from pimentohoist.exceptions import PeerError, PeerRefusedError
from pimentohoist.models import (
    AdapterOrder,
    AdapterVersion,
    EngineStatus,
    Generation,
    TokenChunk,
)

_STEP = 'engine'
_MOST_NAMES = 4096
_LOAD_TIMEOUT_S = 30.0
_EVENT_PREFIX = b'data: '
_END_OF_STREAM = b'[DONE]'


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
        self, generation: Generation, *, timeout_s: float
    ) -> Iterator[TokenChunk]:
        """Run a request and yield its tokens in order."""
        # Repeats are counted and limited by the caller of this method, so none is made
        # on a kept connection that may be dead.
        request = replace(
            HttpRequest.of_json('POST', '/v1/completions', _body(generation)),
            is_repeatable=False,
        )
        with self.client.stream(request, timeout_s=timeout_s) as response:
            if response.status >= HTTPStatus.BAD_REQUEST:
                raise self._refusal(response.status, response.read())
            with errors_of(self.client):
                yield from self._chunks(response)

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

    def _chunks(self, lines: Any) -> Iterator[TokenChunk]:
        for line in lines:
            event = line.strip().removeprefix(_EVENT_PREFIX)
            if event == _END_OF_STREAM:
                lines.read()
                return
            if event:
                yield self._chunk(event)
        raise PeerError('the stream was cut', step=_STEP, peer=self.client.address)

    def _chunk(self, event: bytes) -> TokenChunk:
        try:
            return _parse_chunk(json.loads(event))
        except (ValueError, KeyError, TypeError) as error:
            raise PeerError(
                f'broken event: {error}', step=_STEP, peer=self.client.address
            ) from error


@lru_cache(maxsize=_MOST_NAMES)
def parse_adapter(name: str) -> AdapterVersion:
    """Return the adapter version that an engine names; raises ValueError."""
    adapter, _, version = name.rpartition('@')
    return AdapterVersion(adapter, int(version))


def _parse_chunk(document: Any) -> TokenChunk:
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
