"""Errors of calls to a peer over HTTP."""

from __future__ import annotations

import http.client
import logging
from collections.abc import Iterator, Mapping
from contextlib import AbstractContextManager, contextmanager
from typing import Protocol

from pimentohoist._head_grammar import MalformedHeadError
from pimentohoist._limited_reader import ByteLimitError
from pimentohoist.exceptions import (
    MalformedResponseError,
    OversizedResponseError,
    PeerError,
    PeerTimeoutError,
)

_MAX_LINE_BYTES = 65_536
"""Limit of `http.client`."""

_logger = logging.getLogger(__name__)


class HttpPeer(Protocol):
    """The peer that errors name.

    Attributes
    ----------
    address : str
        Its ``ip:port``.
    step : str
        The step for which it is called.
    """

    address: str
    step: str


def translate_errors(peer: HttpPeer) -> AbstractContextManager[None]:
    """Return a context that converts errors of reading a response to `PeerError`."""
    return closing_peer_errors(peer)


@contextmanager
def closing_peer_errors(
    peer: HttpPeer, connection: http.client.HTTPConnection | None = None
) -> Iterator[None]:
    """Convert errors to `PeerError`; close the connection, if one is given."""
    try:
        yield
    except (OSError, http.client.HTTPException) as error:
        if connection is not None:
            connection.close()
        raise _peer_error(peer, error) from error


def malformed_response_error(
    error: MalformedHeadError, step: str, peer: str, fields: Mapping[str, str]
) -> MalformedResponseError:
    """Log the line that was refused and return the error to raise.

    Parameters
    ----------
    fields : mapping of str to str
        Further fields of the log record.
    """
    extra = {'step': step, 'peer': peer, 'line': error.line, **fields}
    _logger.warning(str(error), extra=extra)
    return MalformedResponseError(
        f'{error}; the request may have run', step=step, peer=peer
    )


def _peer_error(peer: HttpPeer, error: Exception) -> PeerError:
    if isinstance(error, MalformedHeadError):
        return malformed_response_error(error, peer.step, peer.address, {})
    text = f'{type(error).__name__}: {error}'
    limit_error = _limit_error(error)
    if limit_error is not None:
        extra = {
            'step': peer.step,
            'peer': peer.address,
            'limit': limit_error.limit,
            'max_bytes': limit_error.max_bytes,
        }
        _logger.warning('response exceeds a limit', extra=extra)
        return OversizedResponseError(text, step=peer.step, peer=peer.address)
    error_class = PeerTimeoutError if isinstance(error, TimeoutError) else PeerError
    return error_class(text, step=peer.step, peer=peer.address)


def _limit_error(error: Exception) -> ByteLimitError | None:
    """Return the limit that an error is about; None if it is about none.

    The library's limit on a line comes before ours if a part of the line came with the head.
    """
    if isinstance(error, http.client.LineTooLong):
        return ByteLimitError('line', _MAX_LINE_BYTES)
    return error if isinstance(error, ByteLimitError) else None
