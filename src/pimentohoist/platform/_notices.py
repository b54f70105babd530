"""What the headers of an endpoint's response ask of the daemon."""

from __future__ import annotations

import logging
import re
from collections.abc import Mapping
from http import HTTPStatus

from pimentohoist.entry_models import EndpointNotice
from pimentohoist.platform import _headers as header_names

_MAX_QUIET_S = 120.0
_SECONDS = re.compile(r'[0-9]{1,6}(\.[0-9]{1,6})?')
_MILLISECONDS = re.compile(r'[0-9]{1,7}(\.[0-9]{1,6})?')
_MS_PER_S = 1000
_LEAVING = '1'
_REQUESTS_PER_S = re.compile(r'[0-9]{1,9}(\.[0-9]{1,20})?')
_MIN_LIMIT_PER_S = 0.1
"""An endpoint that allows less still gets a request at times, whose response shows when
its limit has ended."""

_logger = logging.getLogger(__name__)
_logged_endpoints: set[tuple[str, str]] = set()
_MAX_LOGGED_ENDPOINTS = 1000


def decode_notice(
    endpoint_id: str, status: int, headers: Mapping[str, str]
) -> EndpointNotice:
    """Return what a response asks; an invalid value asks nothing and is logged once."""
    leaving = header_names.find(headers, header_names.SERVER_LEAVING)
    if leaving not in {None, _LEAVING}:
        _log_invalid(endpoint_id, header_names.SERVER_LEAVING, leaving)
    quiet_s = None
    if status == HTTPStatus.SERVICE_UNAVAILABLE:
        quiet_s = _decode_quiet_s(endpoint_id, headers)
    limit_per_s, is_limit_readable = _decode_limit(endpoint_id, headers)
    return EndpointNotice(
        leaving == _LEAVING,
        quiet_s,
        limit_per_s,
        is_limit_readable,
        *_decode_brittle(endpoint_id, headers),
        _decode_cold_s(endpoint_id, headers),
    )


def _decode_quiet_s(endpoint_id: str, headers: Mapping[str, str]) -> float | None:
    text = header_names.find(headers, header_names.RETRY_AFTER)
    if text is None:
        return None
    if _SECONDS.fullmatch(text) and float(text) <= _MAX_QUIET_S:
        return float(text) or None
    _log_invalid(endpoint_id, header_names.RETRY_AFTER, text)
    return None


def _decode_limit(
    endpoint_id: str, headers: Mapping[str, str]
) -> tuple[float | None, bool]:
    """Return the limit, None without one, and whether it could be read."""
    texts = set(header_names.find_all(headers, header_names.SERVER_LIMIT))
    if not texts:
        return None, True
    text = texts.pop()
    is_readable = not texts and _REQUESTS_PER_S.fullmatch(text) is not None
    limit_per_s = float(text) if is_readable else None
    if not limit_per_s:
        _log_invalid(endpoint_id, header_names.SERVER_LIMIT, ', '.join((text, *texts)))
    if limit_per_s is None:
        return None, False
    return max(_MIN_LIMIT_PER_S, limit_per_s), True


def _decode_brittle(
    endpoint_id: str, headers: Mapping[str, str]
) -> tuple[float | None, bool]:
    """Return the rejections that it bears, None without any, and if it could be read."""
    texts = set(header_names.find_all(headers, header_names.SERVER_BRITTLE))
    if not texts:
        return None, True
    text = texts.pop()
    if texts or not _REQUESTS_PER_S.fullmatch(text):
        found = ', '.join((text, *texts))
        _log_invalid(endpoint_id, header_names.SERVER_BRITTLE, found)
        return None, False
    return float(text), True


def _decode_cold_s(endpoint_id: str, headers: Mapping[str, str]) -> float | None:
    text = header_names.find(headers, header_names.COLD_MS)
    if text is None:
        return None
    if _MILLISECONDS.fullmatch(text):
        return float(text) / _MS_PER_S
    _log_invalid(endpoint_id, header_names.COLD_MS, text)
    return None


def _log_invalid(endpoint_id: str, header: str, text: str | None) -> None:
    key = (endpoint_id, header)
    if key in _logged_endpoints or len(_logged_endpoints) >= _MAX_LOGGED_ENDPOINTS:
        return
    _logged_endpoints.add(key)
    extra = {
        'step': 'endpoints',
        'endpoint': endpoint_id,
        'header': header,
        'cause': f'{text:.80}',
    }
    _logger.warning('invalid header ignored', extra=extra)
