"""Decoding of the operators' records; raises `DocumentError`, which callers log."""

from __future__ import annotations

from collections.abc import Mapping
from functools import partial
from types import MappingProxyType
from typing import Any

from pimentohoist.entry_models import (
    AdapterKey,
    CallerLimits,
    Declaration,
    EndpointGroup,
    EngineLimits,
    ExecutionPolicy,
    ModelSize,
    Route,
    WeightedGroup,
    Workspace,
)
from pimentohoist.exceptions import DocumentError
from pimentohoist.platform._document_fields import (
    decode_document,
    integer_field,
    text_field,
)

_STEP = 'decode'
_MS_PER_S = 1000
_REPEAT_POLICIES: Mapping[str, ExecutionPolicy] = MappingProxyType(
    {
        'safe': ExecutionPolicy.IDEMPOTENT,
        'unsafe': ExecutionPolicy.AT_MOST_ONCE,
        'stream': ExecutionPolicy.STREAM,
    }
)


def decode_declaration(text: bytes) -> Declaration:
    """Decode the operators' configuration; raises DocumentError."""
    return decode_document(text, 'configuration', partial(_declaration, text))


def decode_adapter_version(text: bytes) -> tuple[AdapterKey, int]:
    """Decode a declared version of an adapter; raises DocumentError."""
    return decode_document(text, 'version', _adapter_version)


def _declaration(text: bytes, document: Mapping[str, Any]) -> Declaration:
    return Declaration(
        int(document['version']),
        tuple(_route(entry) for entry in document['routes']),
        {entry['name']: _group(entry) for entry in document['services']},
        tuple(_workspace(entry) for entry in document.get('tenants') or ()),
        _limits(document['limits']),
        text,
    )


def _limits(entry: Mapping[str, Any]) -> CallerLimits:
    return CallerLimits(
        int(entry['max-header-bytes']),
        int(entry['max-body-bytes']),
        entry['header-timeout-ms'] / _MS_PER_S,
        entry['idle-timeout-ms'] / _MS_PER_S,
    )


def _adapter_version(document: Mapping[str, Any]) -> tuple[AdapterKey, int]:
    adapter = document.get('adapter')
    if adapter is not None and not isinstance(adapter, str):
        raise DocumentError(
            f'adapter: expected a name, got {adapter!r:.80}', step=_STEP
        )
    key = AdapterKey(text_field(document, 'model'), adapter or '')
    return key, integer_field(document, 'version')


def _route(entry: Mapping[str, Any]) -> Route:
    shares = entry.get('backends') or [{'service': entry.get('service'), 'weight': 1}]
    return Route(
        entry['name'],
        entry['host'].lower(),
        entry['path-prefix'],
        _REPEAT_POLICIES[entry['kind']],
        entry['timeout-ms'] / _MS_PER_S,
        entry['goal-ms'] / _MS_PER_S,
        int(entry.get('priority') or 0),
        tuple(WeightedGroup(share['service'], share['weight']) for share in shares),
        int(entry.get('attempts') or 1),
        bool(entry.get('public')),
        bool(entry.get('can-resume')),
        _homes(entry),
    )


def _homes(entry: Mapping[str, Any]) -> frozenset[str]:
    regions = entry.get('allowed-regions') or []
    is_list = isinstance(regions, list)
    if not (is_list and all(isinstance(region, str) for region in regions)):
        raise DocumentError(
            f'allowed-regions: expected a list of names, got {regions!r:.80}',
            step=_STEP,
        )
    return frozenset(regions)


def _group(entry: Mapping[str, Any]) -> EndpointGroup:
    engine = entry.get('engine')
    limits = None if engine is None else _engine_limits(engine)
    return EndpointGroup(
        entry['name'],
        int(entry['max-conns']),
        limits,
        *_cold_limit(entry),
    )


def _cold_limit(entry: Mapping[str, Any]) -> tuple[float, float]:
    """Return `cold-s` and `cold-per-s`; both are 0 unless both are in force."""
    cold_s = float(entry.get('cold-s') or 0)
    cold_per_s = float(entry.get('cold-per-s') or 0)
    if not all(0 <= number < float('inf') for number in (cold_s, cold_per_s)):
        raise DocumentError('cold-s, cold-per-s: expected numbers from 0', step=_STEP)
    return (cold_s, cold_per_s) if cold_s and cold_per_s else (0, 0)


def _engine_limits(entry: Mapping[str, Any]) -> EngineLimits:
    sizes = (
        ModelSize(model['name'], model['weights-mb'], model.get('adapter-mb') or 0)
        for model in entry.get('models', ())
    )
    return EngineLimits(
        int(entry['slots']),
        entry.get('weights-mb') or 0,
        int(entry.get('adapter-slots') or 0),
        tuple(sizes),
    )


def _workspace(entry: Mapping[str, Any]) -> Workspace:
    plain = entry.get('plain-tokens') or 0
    return Workspace(
        entry['name'],
        frozenset(entry.get('api-keys') or ()),
        entry.get('priority'),
        entry.get('rate-per-s') or 0,
        entry.get('burst') or 0,
        int(plain) if entry.get('unit') == 'tokens' else 1,
        _homes(entry),
    )
