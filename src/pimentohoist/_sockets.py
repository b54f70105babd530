"""Questions about the state of a socket."""

from __future__ import annotations

import select
import socket


def has_input(sock: socket.socket) -> bool:
    """Return whether bytes or the end of the connection have arrived unread."""
    poll = select.poll()
    poll.register(sock, select.POLLIN)
    return bool(poll.poll(0))
