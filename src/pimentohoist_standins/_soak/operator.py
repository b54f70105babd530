"""The operator of the soak, which sends configurations to the store and records them."""

from __future__ import annotations

import json
import threading
import time
from types import MappingProxyType
from typing import Any

from pimentohoist_standins._soak.addresses import SERVICE_PORT, Network
from pimentohoist_standins._soak.caller_requests import (
    HOST,
    KEYS,
    MODEL,
    PLAIN_TOKENS,
    TIMEOUT_S,
)
from pimentohoist_standins._soak.http_call import call
from pimentohoist_standins._soak.records import ConfigurationRecord

ENGINE_GROUP = 'models'
SERVICE_GROUP = 'ledger'
_KEY = b'config'
_APPEND_PATH = '/v1/log-append?topic=keyed.op&part=0'
_RETRY_PAUSE_S = 0.3
_MAX_TRIES = 30
_SPOILS = 4
_MS_PER_S = 1000
_MAX_CONNECTIONS = 200
_RATES = MappingProxyType({'house': (0, 0), 'yard': (20_000.0, 20_000.0)})
"""Tokens a second and burst by workspace; 0 means no limit."""


class Operator:
    """Sends configurations, each with a higher version.

    Attributes
    ----------
    records : list of ConfigurationRecord
        Configurations whose sending has ended.
    extra_routes : list of str
        Routes besides those of the first configuration.
    withdrawn : set of str
        Keys that the configuration leaves out.
    """

    def __init__(self, network: Network) -> None:
        self.network = network
        self.records: list[ConfigurationRecord] = []
        self.extra_routes: list[str] = []
        self.withdrawn: set[str] = set()
        self._version = 0
        self._lock = threading.Lock()

    def send(self, *, is_valid: bool = True) -> None:
        """Send the configuration until the store acknowledges it or tries are used up.

        An invalid one lacks a field or names a group that isn't there; the version decides.
        """
        with self._lock:
            self._version += 1
            keys = {
                key: workspace
                for key, workspace in KEYS.items()
                if key not in self.withdrawn
            }
            document = self._document(keys)
            if not is_valid:
                _spoil(document)
            sent_at = time.monotonic()
            acknowledged_at = self._send_with_retries(json.dumps(document).encode())
            record = ConfigurationRecord(
                self._version,
                sent_at,
                acknowledged_at,
                frozenset(route['name'] for route in document['routes']),
                keys,
                dict(_RATES),
                is_valid,
                {
                    route['name']: route.get('service', '')
                    for route in document['routes']
                },
            )
            self.records.append(record)

    def _send_with_retries(self, body: bytes) -> float | None:
        record = bytes((0, 0, 0, 0, len(_KEY))) + _KEY + body
        for _ in range(_MAX_TRIES):
            reply = call(self.network.store, SERVICE_PORT, 'POST', _APPEND_PATH, record)
            if reply is not None:
                return time.monotonic()
            time.sleep(_RETRY_PAUSE_S)
        return None

    def _document(self, keys: dict[str, str]) -> dict[str, Any]:
        routes = [
            _route('models', 'stream', ENGINE_GROUP),
            {**_route('resumed', 'stream', ENGINE_GROUP), 'can-resume': True},
            _route('pay', 'unsafe', SERVICE_GROUP),
            _route('look', 'safe', SERVICE_GROUP),
            *(_route(name, 'safe', SERVICE_GROUP) for name in self.extra_routes),
        ]
        return {
            'version': self._version,
            'routes': routes,
            'services': _services(),
            'limits': {
                'max-header-bytes': 4096,
                'max-body-bytes': 20_000,
                'header-timeout-ms': 1000,
                'idle-timeout-ms': 15_000,
            },
            'tenants': [_workspace(name, keys) for name in _RATES],
        }


def _spoil(document: dict[str, Any]) -> None:
    route = document['routes'][0]
    match document['version'] % _SPOILS:
        case 0:
            route.pop('service')
        case 1:
            route['service'] = 'nowhere'
        case 2:
            document.pop('services')
        case _:
            route['kind'] = 'unknown'


def _route(name: str, kind: str, group: str) -> dict[str, Any]:
    return {
        'name': name,
        'path-prefix': f'/{name}/',
        'kind': kind,
        'service': group,
        'host': HOST,
        'timeout-ms': int(TIMEOUT_S * _MS_PER_S),
        'goal-ms': 1000,
        'priority': 0,
        'attempts': 2,
        'public': False,
    }


def _services() -> list[dict[str, Any]]:
    engine = {
        'slots': 8,
        'weights-mb': 1100,
        'adapter-slots': 4,
        'models': [{'name': MODEL, 'weights-mb': 1000, 'adapter-mb': 10}],
    }
    return [
        {'name': ENGINE_GROUP, 'max-conns': _MAX_CONNECTIONS, 'engine': engine},
        {'name': SERVICE_GROUP, 'max-conns': _MAX_CONNECTIONS},
    ]


def _workspace(name: str, keys: dict[str, str]) -> dict[str, Any]:
    rate, burst = _RATES[name]
    return {
        'name': name,
        'api-keys': [key for key, workspace in keys.items() if workspace == name],
        'unit': 'tokens',
        'plain-tokens': PLAIN_TOKENS,
        'rate-per-s': rate,
        'burst': burst,
    }
