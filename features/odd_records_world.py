"""One of three records that daemons follow can't be handled, for tests."""

from __future__ import annotations

import importlib
import json
import logging
from types import SimpleNamespace
from typing import Any
from unittest import mock

from pimentohoist._entry.declarations import DeclarationsController
from pimentohoist._entry.endpoints import EndpointsController
from pimentohoist._entry.member_list import MemberList
from pimentohoist._entry.stream_log import StreamLog
from pimentohoist.platform import KeyedRecord, ReadPosition

_FAILING = 'version/m.b'
_KEYS = ('version/m.a', _FAILING, 'version/m.c')


class OddRecordsWorld:
    """Applies three records to a controller; the handling of the second one fails.

    Attributes
    ----------
    logged_keys : list of str
        Keys in the log lines on failures.
    in_force : set of str
        Keys of the records whose effect is there.
    """

    def __init__(self, kind: str) -> None:
        self.kind = kind
        self.failing_key = _FAILING
        self.logged_keys: list[str] = []
        self.in_force: set[str] = set()
        self.others = {key for key in _KEYS if key != _FAILING}

    def apply(self) -> None:
        """Apply the records, and collect what is logged."""
        handler = logging.Handler()
        handler.emit = self._collect  # type: ignore[method-assign]
        root = logging.getLogger('pimentohoist')
        root.addHandler(handler)
        try:
            self._controllers()[self.kind]()
        finally:
            root.removeHandler(handler)

    def _collect(self, line: logging.LogRecord) -> None:
        if line.levelno >= logging.ERROR:
            self.logged_keys.append(getattr(line, 'key', ''))

    def _controllers(self) -> dict[str, Any]:
        return {
            'endpoints': self._apply_endpoints,
            'declarations': self._apply_declarations,
            'members': self._apply_members,
            'streams': self._apply_streams,
        }

    def _apply_endpoints(self) -> None:
        members: Any = SimpleNamespace(on_heartbeat=[], live=list)
        controller = EndpointsController(_store(), members)
        entry = {
            **{'service': 'g', 'address': '127.0.0.9:9000', 'zone': 'z', 'slots': 4},
            **{'state': 'ready', 'born': 1, 'seq': 2, 'version': 'v1'},
        }
        with _failing('endpoints.decode_endpoint'):
            controller.follower.sink(_records(entry), True)
        self.in_force = set(controller.endpoints)

    def _apply_declarations(self) -> None:
        members: Any = SimpleNamespace(on_heartbeat=[], live=list)
        controller = DeclarationsController(_store(), members)
        records = [
            KeyedRecord(key, json.dumps(_version(key)).encode()) for key in _KEYS
        ]
        with _failing('declarations.decode_adapter_version'):
            controller.follower.sink(records, True)
        self.in_force = {f'version/m.{key.name}' for key in controller.versions}

    def _apply_members(self) -> None:
        controller = MemberList(_store(), 'own', '127.0.0.1:1', 'z', lambda: True)
        records = [
            KeyedRecord(key, json.dumps({'at': f'127.0.0.1:{number}'}).encode())
            for number, key in enumerate(_KEYS, 2)
        ]
        controller.store = _store(records)
        addresses = {f'127.0.0.1:{number}': key for number, key in enumerate(_KEYS, 2)}
        with _failing('member_list.split_address'):
            controller._publish_and_read()  # noqa: SLF001
        self.in_force = {addresses[each] for each in controller.confirmed_at}

    def _apply_streams(self) -> None:
        records = [
            KeyedRecord(key, json.dumps(_streams(key)).encode()) for key in _KEYS
        ]
        log = StreamLog(_store(records), 'own', 'incarnation-1', lambda: 1)
        with _failing('stream_log._decode'):
            history = log.read()
        assert history is not None
        self.in_force = {key for key in _KEYS if history.register.version(key, 0)}


def _version(key: str) -> dict[str, Any]:
    return {'model': 'm', 'adapter': key.rpartition('.')[2], 'version': 1}


def _streams(key: str) -> dict[str, Any]:
    return {'era': 1, 'groups': {'models': {'v1': [key]}}}


def _records(entry: dict[str, Any]) -> list[KeyedRecord]:
    return [KeyedRecord(key, json.dumps(entry).encode()) for key in _KEYS]


def _store(records: list[KeyedRecord] | None = None) -> Any:
    kept = records or []

    def read_changes(
        topic: str, position: ReadPosition, *, wait_s: float
    ) -> tuple[list[KeyedRecord], ReadPosition]:
        return kept[position.offset :], ReadPosition(len(kept), 1)

    return SimpleNamespace(
        era=SimpleNamespace(current=1),
        put=lambda *given: 1,
        read_newest=lambda topic: (kept, ReadPosition(len(kept), 1)),
        read_changes=read_changes,
    )


def _failing(name: str) -> Any:
    """Let a function of the daemons fail in its second call."""
    module, _, function = f'pimentohoist._entry.{name}'.rpartition('.')
    whole = getattr(importlib.import_module(module), function)
    calls: list[Any] = []

    def fail_second(*given: Any) -> Any:
        calls.append(given)
        if len(calls) == 2:
            raise MemoryError('not handled')
        return whole(*given)

    return mock.patch(f'{module}.{function}', fail_second)
