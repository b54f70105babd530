"""What callers ask to learn where to connect."""

from __future__ import annotations

from collections.abc import Sequence

DIRECTORY_PATH = '/v1/resolve'
_MAX_ADDRESSES = 64
"""More than these aren't read by callers."""


def encode_directory(addresses: Sequence[str], age_s: float) -> dict[str, object]:
    """Return the answer to a caller that may keep it for `age_s`."""
    return {'addresses': list(addresses[:_MAX_ADDRESSES]), 'ttl-s': age_s}
