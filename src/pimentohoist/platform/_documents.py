"""Decoding of the endpoints' records and reports.

Records of endpoints may come from another writer. A record that lacks a field or has
one of the wrong type defines no endpoint: decoding raises `DocumentError`, which callers
log.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from functools import partial
from ipaddress import IPv4Address
from typing import Any

from pimentohoist.entry_models import AdapterKey, Endpoint, EngineReport
from pimentohoist.exceptions import DocumentError
from pimentohoist.platform._document_fields import (
    decode_document,
    integer_field,
    milliseconds_field,
    text_field,
)

_STEP = 'decode'
_MAX_PORT = 65_535
_ENDPOINT_STATES = frozenset(('ready', 'draining'))


def decode_endpoint(endpoint_id: str, text: bytes) -> Endpoint:
    """Decode the record of an endpoint; raises DocumentError."""
    return decode_document(text, 'endpoint', partial(_endpoint, endpoint_id))


def decode_report(text: bytes) -> EngineReport:
    """Decode the report of an engine; raises DocumentError."""
    return decode_document(text, 'report', _report)


def _endpoint(endpoint_id: str, document: Mapping[str, Any]) -> Endpoint:
    state = text_field(document, 'state')
    if state not in _ENDPOINT_STATES:
        raise DocumentError(
            f'state: expected ready or draining, got {state!r:.80}', step=_STEP
        )
    models = document.get('models', [])
    if not isinstance(models, list):
        raise DocumentError(
            f'models: expected a list, got {type(models).__name__}', step=_STEP
        )
    held_models, adapters = _loaded_models(models)
    return Endpoint(
        endpoint_id,
        text_field(document, 'service'),
        _address(text_field(document, 'address')),
        text_field(document, 'zone'),
        integer_field(document, 'slots'),
        state == 'draining',
        integer_field(document, 'born'),
        integer_field(document, 'seq'),
        held_models,
        adapters,
        text_field(document, 'version'),
        cold_s=milliseconds_field(document, 'cold-ms'),
    )


def _report(document: Mapping[str, Any]) -> EngineReport:
    models, adapters = _loaded_models(document['models'])
    loading = [_loading_adapter(name) for name in document.get('coming', ())]
    return EngineReport(
        int(document['born']),
        int(document['seq']),
        models,
        adapters,
        frozenset(loading),
    )


def _loaded_models(
    entries: Iterable[Mapping[str, Any]],
) -> tuple[tuple[str, ...], dict[AdapterKey, int]]:
    models = []
    adapters: dict[AdapterKey, int] = {}
    for entry in entries:
        models.append(str(entry['name']))
        for listed in entry.get('adapters', ()):
            name, _, version = listed.partition('@')
            adapters[AdapterKey(models[-1], name)] = int(version or 0)
    return tuple(models), adapters


def _loading_adapter(listed: str) -> AdapterKey:
    model, _, name = listed.partition('/')
    return AdapterKey(model, name.partition('@')[0])


def _address(text: str) -> str:
    host, _, port = text.rpartition(':')
    try:
        IPv4Address(host)
        is_port = 0 < int(port) <= _MAX_PORT and port.isdecimal()
    except ValueError:
        is_port = False
    if not is_port:
        raise DocumentError(
            f'address: expected IPV4:PORT, got {text!r:.80}', step=_STEP
        )
    return text
