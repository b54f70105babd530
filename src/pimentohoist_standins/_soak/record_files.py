"""Files of records, which outlast the processes that write them."""

from __future__ import annotations

import json
import os
import threading
from collections.abc import Iterator, Mapping
from dataclasses import asdict
from pathlib import Path
from types import MappingProxyType
from typing import Any, Self

from pimentohoist_standins._soak.records import (
    CallerRecord,
    ConnectionEnd,
    FaultRecord,
    OrderRecord,
    RequestKind,
    RunOutcome,
    RunRecord,
)

_FILE_MODE = 0o600
SeenRecord = CallerRecord | FaultRecord | RunRecord | OrderRecord

_TYPES: Mapping[str, type[SeenRecord]] = MappingProxyType(
    {
        record_type.__name__: record_type
        for record_type in (CallerRecord, FaultRecord, RunRecord, OrderRecord)
    }
)


def _read_kind(text: str) -> str:
    """Return the kind of a request, or the name of a kind of fault."""
    return RequestKind(text) if text in set(RequestKind) else text


_FIELDS: Mapping[str, Any] = MappingProxyType(
    {
        'kind': _read_kind,
        'end': ConnectionEnd,
        'outcome': RunOutcome,
        'events': tuple,
    }
)
"""How a field is read, if it isn't a plain JSON value."""


class RecordFile:
    """Context manager that appends records to a file, each by one system call."""

    def __init__(self, path: str) -> None:
        self.path = path
        self._lock = threading.Lock()
        self._count = 0

    def __enter__(self) -> Self:
        """Open the file."""
        self._file = os.open(
            self.path, os.O_WRONLY | os.O_APPEND | os.O_CREAT, _FILE_MODE
        )
        return self

    def __exit__(self, *exc_info: object) -> None:
        """Close the file."""
        os.close(self._file)

    def next_number(self) -> int:
        """Return a new number for a record."""
        with self._lock:
            self._count += 1
            return self._count

    def write(self, number: int, record: SeenRecord) -> None:
        """Append a record; it replaces an earlier one with the same number."""
        row = {'type': type(record).__name__, 'number': number, **asdict(record)}
        os.write(self._file, f'{json.dumps(row)}\n'.encode())


def read_records(paths: list[Path]) -> list[SeenRecord]:
    """Return the records of several files, the newest of each number."""
    return [record for path in paths for record in _read_file(path)]


def _read_file(path: Path) -> Iterator[SeenRecord]:
    rows = {}
    for line in path.read_text().splitlines():
        row = json.loads(line)
        rows[row.pop('number')] = row
    for row in rows.values():
        record_type = _TYPES[row.pop('type')]
        yield record_type(
            **{name: _FIELDS.get(name, _same)(text) for name, text in row.items()}
        )


def _same(field: Any) -> Any:
    return field
