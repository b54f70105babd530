"""The directory, from which callers get the addresses to connect to."""

from __future__ import annotations

from collections.abc import Sequence

DIRECTORY_PATH = '/v1/resolve'
_MAX_ADDRESSES = 64
"""Callers read at most this many addresses."""


def encode_directory(addresses: Sequence[str], max_age_s: float) -> dict[str, object]:
    """Return the response to a caller, which may cache it for `max_age_s` seconds."""
    return {'addresses': list(addresses[:_MAX_ADDRESSES]), 'ttl-s': max_age_s}
