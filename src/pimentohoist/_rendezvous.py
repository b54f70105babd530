"""Rendezvous hashing: each thing's order of names, alike at every daemon."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable


def rank_names(thing: str, names: Iterable[str]) -> list[str]:
    """Return the names by rendezvous weight for `thing`, the highest first."""
    return sorted(names, key=lambda name: _weight(thing, name), reverse=True)


def _weight(thing: str, name: str) -> bytes:
    text = f'{thing}\n{name}'.encode()
    return hashlib.blake2b(text, digest_size=8).digest()
