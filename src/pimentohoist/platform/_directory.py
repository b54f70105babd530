"""The directory, from which callers get the addresses to connect to."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from urllib.parse import parse_qsl

DIRECTORY_PATH = '/v1/resolve'
_MAX_ADDRESSES = 64
"""Callers read at most this many addresses."""

_MAX_QUERY_FIELDS = 16


@dataclass(frozen=True, slots=True)
class DirectoryQuery:
    """What a caller of the directory says of itself.

    Attributes
    ----------
    name : str
        Host, or name, of the routes that it wants to reach; empty if it doesn't say.
    region, failure_domain : str
        Where the caller is; empty if it doesn't say.
    """

    name: str = ''
    region: str = ''
    failure_domain: str = ''


def decode_directory_query(text: str) -> DirectoryQuery:
    """Return what a query says; one that can't be read says nothing."""
    try:
        found = dict(parse_qsl(text, max_num_fields=_MAX_QUERY_FIELDS))
    except ValueError:
        return DirectoryQuery()
    return DirectoryQuery(
        found.get('name', '').partition(':')[0].lower(),
        found.get('region', ''),
        found.get('zone', ''),
    )


def encode_directory(addresses: Sequence[str], max_age_s: float) -> dict[str, object]:
    """Return the response to a caller, which may cache it for `max_age_s` seconds."""
    return {'addresses': list(addresses[:_MAX_ADDRESSES]), 'ttl-s': max_age_s}
