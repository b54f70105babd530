"""The form in which daemons forward callers' requests to one another.

A forwarded request is the caller's, with headers that say what the first daemon has
decided. They are removed from what callers and endpoints send.
"""

from __future__ import annotations

from collections.abc import Iterable

from pimentohoist.entry_models import ForwardedOrigin
from pimentohoist.exceptions import InvalidRequestError

Headers = list[tuple[str, str]]

_STEP = 'decode_forwarded'
_PREFIX = 'x-forwarded-by-daemon-'
_MEMBER = f'{_PREFIX}address'
_WORKSPACE = f'{_PREFIX}workspace'
_MAX_EXECUTIONS = f'{_PREFIX}executions'
_STREAM_VERSION = f'{_PREFIX}stream-version'
_SOFTWARE_VERSION = f'{_PREFIX}software-version'


def encode_origin(origin: ForwardedOrigin) -> Headers:
    """Return the headers that are added to a request."""
    headers = [(_MEMBER, origin.member), (_MAX_EXECUTIONS, str(origin.max_executions))]
    if origin.workspace is not None:
        headers.append((_WORKSPACE, origin.workspace))
    if origin.stream_version is not None:
        headers.append((_STREAM_VERSION, origin.stream_version))
    return headers


def decode_origin(headers: Iterable[tuple[str, str]]) -> ForwardedOrigin:
    """Return what the first daemon has decided; raises InvalidRequestError."""
    found = {name.lower(): text for name, text in headers}
    executions = found.get(_MAX_EXECUTIONS, '')
    if _MEMBER not in found or not executions.isdecimal():
        raise InvalidRequestError(
            'the request was not forwarded by a daemon', step=_STEP
        )
    return ForwardedOrigin(
        found[_MEMBER],
        found.get(_WORKSPACE),
        int(executions),
        found.get(_STREAM_VERSION),
    )


def encode_version(software_version: str) -> Headers:
    """Return the header that tells the version of the engine that began a stream."""
    return [(_SOFTWARE_VERSION, software_version)]


def decode_version(headers: Iterable[tuple[str, str]]) -> str:
    """Return the version of the engine that began a forwarded stream."""
    found = {name.lower(): text for name, text in headers}
    return found.get(_SOFTWARE_VERSION, '')


def without_origin(headers: Iterable[tuple[str, str]]) -> Headers:
    """Return the headers but those of this module."""
    return [pair for pair in headers if not pair[0].lower().startswith(_PREFIX)]
