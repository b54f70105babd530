"""Rendezvous hashing: ranks names for a key, identically at every daemon."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable
from functools import lru_cache

_MAX_CACHED_WEIGHTS = 16_384
"""Of a fleet's members for the few keys that are ranked again and again."""


def rank_names(hash_key: str, names: Iterable[str]) -> list[str]:
    """Return the names by their rendezvous weight for `hash_key`, highest first."""
    return sorted(names, key=lambda name: _weight(hash_key, name), reverse=True)


@lru_cache(_MAX_CACHED_WEIGHTS)
def _weight(hash_key: str, name: str) -> bytes:
    text = f'{hash_key}\n{name}'.encode()
    return hashlib.blake2b(text, digest_size=8).digest()
