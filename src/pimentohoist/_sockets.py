"""Questions about the state of a socket."""

from __future__ import annotations

import select
import socket


def has_input(sock: socket.socket) -> bool:
    """Return whether bytes or the end of the connection have arrived unread."""
    poll = select.poll()
    poll.register(sock, select.POLLIN)
    return bool(poll.poll(0))


def has_ended(sock: socket.socket) -> bool:
    """Return whether the other end has closed or reset the connection, or this one has.

    Unlike a read, that doesn't need the bytes before the end to be read.
    """
    poll = select.poll()
    try:
        poll.register(sock, select.POLLRDHUP)
    except ValueError:
        # A closed socket has no descriptor.
        return True
    return bool(poll.poll(0))
