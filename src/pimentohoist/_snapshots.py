"""Snapshots of a stream's fold, stored in a separate stream.

A snapshot is split into chunks, one record each. A reader uses a snapshot only if it
has every chunk and their joined content matches the digest in the chunk headers.
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

_MAX_CHUNK_BYTES = 131_072
_MAX_CHUNKS = 4096
_MAX_UNCOMPRESSED_BYTES = 268_435_456
_INITIAL_WINDOW_RECORDS = 64
_ID_BYTES = 8
_SEPARATOR = b'\n'


class ChunkHeader(BaseModel, frozen=True, extra='forbid'):
    """Header line of a chunk; the chunk's bytes follow on the next line."""

    kind: Literal['snapshot'] = 'snapshot'
    snapshot_id: str
    next_offset: Annotated[int, Field(ge=0)]
    digest: str
    chunk: Annotated[int, Field(ge=0)]
    chunks: Annotated[int, Field(ge=1, le=_MAX_CHUNKS)]


_HEADER_ADAPTER: TypeAdapter[ChunkHeader] = TypeAdapter(ChunkHeader)


@dataclass(frozen=True, slots=True)
class Snapshot:
    """State of a fold that has applied the records before `next_offset`."""

    next_offset: int
    body: bytes = field(repr=False)


@dataclass(slots=True)
class _ChunkSet:
    header: ChunkHeader
    bodies: dict[int, bytes] = field(default_factory=dict)


def snapshots_stream(stream: str) -> str:
    """Return the name of the stream that stores the snapshots of `stream`."""
    return f'{stream}-snapshots'


def chunk_records(snapshot: Snapshot) -> list[bytes]:
    """Return the records that store a snapshot."""
    compressed = zlib.compress(snapshot.body)
    starts = range(0, len(compressed), _MAX_CHUNK_BYTES)
    snapshot_id = secrets.token_hex(_ID_BYTES)
    digest = hashlib.sha256(compressed).hexdigest()
    records = []
    for chunk, start in enumerate(starts):
        header = ChunkHeader(
            snapshot_id=snapshot_id,
            next_offset=snapshot.next_offset,
            digest=digest,
            chunk=chunk,
            chunks=len(starts),
        )
        part = compressed[start : start + _MAX_CHUNK_BYTES]
        records.append(header.model_dump_json().encode() + _SEPARATOR + part)
    return records


def join_chunks(records: Iterable[LogRecord]) -> list[Snapshot]:
    """Return the complete snapshots among `records`, highest `next_offset` first."""
    chunk_sets: dict[str, _ChunkSet] = {}
    for record in records:
        head, _, body = record.body.partition(_SEPARATOR)
        try:
            header = _HEADER_ADAPTER.validate_json(head)
        except ValidationError:
            continue
        chunk_set = chunk_sets.setdefault(header.snapshot_id, _ChunkSet(header))
        chunk_set.bodies.setdefault(header.chunk, body)
    found = filter(None, map(_assemble, chunk_sets.values()))
    return sorted(found, key=_snapshot_offset, reverse=True)


def find_snapshots(log: Log, stream: str, min_offset: int) -> Iterator[Snapshot]:
    """Yield the stored snapshots whose `next_offset` is at least `min_offset`.

    The newest records are read first, and older ones only if the caller continues after
    the snapshots among the newer ones. From each range of records that was read, the
    snapshot with the highest `next_offset` comes first.
    """
    name = snapshots_stream(stream)
    first, head = _stream_bounds(log, name)
    start = head
    window = _INITIAL_WINDOW_RECORDS
    while start > first:
        start = max(first, head - window)
        window *= 2
        for snapshot in join_chunks(_read_records(log, name, start, head)):
            if snapshot.next_offset >= min_offset:
                yield snapshot


def _assemble(chunk_set: _ChunkSet) -> Snapshot | None:
    count = chunk_set.header.chunks
    if not chunk_set.bodies.keys() >= set(range(count)):
        return None
    compressed = b''.join(chunk_set.bodies[chunk] for chunk in range(count))
    if hashlib.sha256(compressed).hexdigest() != chunk_set.header.digest:
        return None
    decompressor = zlib.decompressobj()
    try:
        body = decompressor.decompress(compressed, _MAX_UNCOMPRESSED_BYTES)
    except zlib.error:
        return None
    return Snapshot(chunk_set.header.next_offset, body) if decompressor.eof else None


def _snapshot_offset(snapshot: Snapshot) -> int:
    return snapshot.next_offset


def _stream_bounds(log: Log, name: str) -> tuple[int, int]:
    offset = 0
    while True:
        try:
            page = log.read(name, offset, wait_s=0)
        except OffsetExpiredError as error:
            offset = error.first_offset
        else:
            return page.first_offset, page.next_offset


def _read_records(log: Log, name: str, start: int, end: int) -> Iterator[LogRecord]:
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
