"""Snapshots of a stream's fold, kept in a stream of their own.

A snapshot is cut in chunks, each one record. A reader takes a snapshot only if it holds
every chunk and their content has the digest that each chunk names.
"""

from __future__ import annotations

import hashlib
import secrets
import zlib
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from typing import Annotated, Literal

from pydantic import BaseModel, Field, TypeAdapter, ValidationError

from pimentohoist.exceptions import OffsetExpiredError
from pimentohoist.models import LogRecord
from pimentohoist.protocols import Log

_CHUNK_BYTES = 131_072
_MAX_CHUNKS = 4096
_MAX_BODY_BYTES = 268_435_456
_FIRST_WINDOW_RECORDS = 64
_ID_BYTES = 8
_SEPARATOR = b'\n'


class ChunkHeader(BaseModel, frozen=True, extra='forbid'):
    """Head of a chunk; the chunk's bytes follow on the next line."""

    kind: Literal['snapshot'] = 'snapshot'
    snapshot_id: str
    next_offset: Annotated[int, Field(ge=0)]
    digest: str
    chunk: Annotated[int, Field(ge=0)]
    chunks: Annotated[int, Field(ge=1, le=_MAX_CHUNKS)]


_HEADER: TypeAdapter[ChunkHeader] = TypeAdapter(ChunkHeader)


@dataclass(frozen=True, slots=True)
class Snapshot:
    """State of a fold that has applied the records before `next_offset`."""

    next_offset: int
    body: bytes = field(repr=False)


@dataclass(slots=True)
class _Parts:
    header: ChunkHeader
    bodies: dict[int, bytes] = field(default_factory=dict)


def snapshots_stream(stream: str) -> str:
    """Return the name of the stream that keeps the snapshots of `stream`."""
    return f'{stream}-snapshots'


def chunk_records(snapshot: Snapshot) -> list[bytes]:
    """Return the records that keep a snapshot."""
    packed = zlib.compress(snapshot.body)
    starts = range(0, len(packed), _CHUNK_BYTES)
    snapshot_id = secrets.token_hex(_ID_BYTES)
    digest = hashlib.sha256(packed).hexdigest()
    records = []
    for chunk, start in enumerate(starts):
        header = ChunkHeader(
            snapshot_id=snapshot_id,
            next_offset=snapshot.next_offset,
            digest=digest,
            chunk=chunk,
            chunks=len(starts),
        )
        part = packed[start : start + _CHUNK_BYTES]
        records.append(header.model_dump_json().encode() + _SEPARATOR + part)
    return records


def join_chunks(records: Iterable[LogRecord]) -> list[Snapshot]:
    """Return the whole snapshots among `records`, the one that covers most first."""
    parts: dict[str, _Parts] = {}
    for record in records:
        head, _, body = record.body.partition(_SEPARATOR)
        try:
            header = _HEADER.validate_json(head)
        except ValidationError:
            continue
        known = parts.setdefault(header.snapshot_id, _Parts(header))
        known.bodies.setdefault(header.chunk, body)
    found = filter(None, map(_join, parts.values()))
    return sorted(found, key=_covered, reverse=True)


def find_snapshots(log: Log, stream: str, min_offset: int) -> Iterator[Snapshot]:
    """Yield the kept snapshots that cover `min_offset`, the most covering first.

    The newest records are read first, and older ones only as long as no snapshot among
    the newer ones serves the caller.
    """
    name = snapshots_stream(stream)
    first, head = _bounds(log, name)
    start = head
    window = _FIRST_WINDOW_RECORDS
    while start > first:
        start = max(first, head - window)
        window *= 2
        for snapshot in join_chunks(_read(log, name, start, head)):
            if snapshot.next_offset >= min_offset:
                yield snapshot


def _join(parts: _Parts) -> Snapshot | None:
    count = parts.header.chunks
    if not parts.bodies.keys() >= set(range(count)):
        return None
    packed = b''.join(parts.bodies[chunk] for chunk in range(count))
    if hashlib.sha256(packed).hexdigest() != parts.header.digest:
        return None
    unpacker = zlib.decompressobj()
    try:
        body = unpacker.decompress(packed, _MAX_BODY_BYTES)
    except zlib.error:
        return None
    return Snapshot(parts.header.next_offset, body) if unpacker.eof else None


def _covered(snapshot: Snapshot) -> int:
    return snapshot.next_offset


def _bounds(log: Log, name: str) -> tuple[int, int]:
    offset = 0
    while True:
        try:
            page = log.read(name, offset, wait_s=0)
        except OffsetExpiredError as error:
            offset = error.first_offset
        else:
            return page.first_offset, page.next_offset


def _read(log: Log, name: str, start: int, end: int) -> Iterator[LogRecord]:
    while start < end:
        try:
            page = log.read(name, start, wait_s=0)
        except OffsetExpiredError as error:
            start = error.first_offset
            continue
        if not page.records:
            return
        yield from page.records
        start = page.records[-1].offset + 1
