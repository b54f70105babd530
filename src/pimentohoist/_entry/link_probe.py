"""Opens connections to several addresses at once, to find out which can be reached."""

from __future__ import annotations

import errno
import selectors
import socket
from collections.abc import Iterable
from contextlib import suppress

from pimentohoist import _clock
from pimentohoist._addresses import split_address

_PENDING = frozenset((0, errno.EINPROGRESS))


def connect_all(
    addresses: Iterable[str], timeout_s: float
) -> dict[str, socket.socket | None]:
    """Return a blocking, connected socket by address; None where none came in time."""
    opened: dict[str, socket.socket | None] = {}
    deadline = _clock.now() + timeout_s
    with selectors.DefaultSelector() as selector:
        for address in addresses:
            opened[address] = None
            _begin(selector, address)
        while selector.get_map() and _clock.now() < deadline:
            for key, _ in selector.select(max(0, deadline - _clock.now())):
                opened[key.data] = _finish(selector, key)
        for key in tuple(selector.get_map().values()):
            selector.unregister(key.fileobj)
            _socket_of(key).close()
    return opened


def _begin(selector: selectors.BaseSelector, address: str) -> None:
    connection = socket.socket()
    connection.setblocking(False)
    code = -1
    # An address that can't be parsed or routed counts as one that isn't reached.
    with suppress(OSError, OverflowError):
        code = connection.connect_ex(split_address(address))
    if code in _PENDING:
        selector.register(connection, selectors.EVENT_WRITE, address)
    else:
        connection.close()


def _finish(
    selector: selectors.BaseSelector, key: selectors.SelectorKey
) -> socket.socket | None:
    connection = _socket_of(key)
    selector.unregister(connection)
    if connection.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
        connection.close()
        return None
    connection.setblocking(True)
    return connection


def _socket_of(key: selectors.SelectorKey) -> socket.socket:
    found = key.fileobj
    if not isinstance(found, socket.socket):
        raise TypeError(f'expected a socket, got {found!r}')
    return found
