"""Bytes that are held until a body or an event is complete."""

from __future__ import annotations

import mmap
from collections.abc import Iterator

_SMALL_BYTES = 16_384
_BLOCK_BYTES = 262_144
_PART_BYTES = 65_536
_MAPPING_FLAGS = mmap.MAP_PRIVATE | mmap.MAP_ANONYMOUS
"""Mappings are shared with other processes by default."""


class HeldBytes:
    """Bytes that are appended in parts of any size.

    Large ones are held in mappings of their own: memory of the allocator's heap stays
    with each thread that has once held a large response, since smaller objects that were
    allocated meanwhile keep it from being returned.
    """

    def __init__(self) -> None:
        self._small = bytearray()
        self._blocks: list[mmap.mmap] = []
        self._size = 0

    def __len__(self) -> int:
        """Return the number of bytes."""
        return self._size

    def __iter__(self) -> Iterator[bytes]:
        """Yield all bytes in parts."""
        if not self._blocks:
            yield bytes(self._small)
        for start in range(0, len(self._blocks) and self._size, _PART_BYTES):
            block = self._blocks[start // _BLOCK_BYTES]
            end = min(self._size, start + _PART_BYTES)
            first = start % _BLOCK_BYTES
            yield block[first : first + end - start]

    def append(self, part: bytes) -> None:
        """Add bytes."""
        self._size += len(part)
        if self._blocks:
            self._write(part)
        else:
            self._small += part
            if self._size > _SMALL_BYTES:
                self._write(self._small)
                self._small = bytearray()

    def clear(self) -> None:
        """Discard all bytes and return their memory."""
        for block in self._blocks:
            block.close()
        self._blocks.clear()
        self._small.clear()
        self._size = 0

    def _write(self, part: bytes | bytearray) -> None:
        left = memoryview(part)
        while left:
            if not self._blocks or self._blocks[-1].tell() == _BLOCK_BYTES:
                self._blocks.append(mmap.mmap(-1, _BLOCK_BYTES, _MAPPING_FLAGS))
            block = self._blocks[-1]
            count = block.write(left[: _BLOCK_BYTES - block.tell()])
            left = left[count:]
