"""One connection of a caller, which reads a response and sees how it ended."""

from __future__ import annotations

import http.client
import re
import time
from dataclasses import dataclass, field

from pimentohoist_standins._soak.records import ConnectionEnd

CONNECT_TIMEOUT_S = 1.0
_READ_BYTES = 4096
_SLOW_READ_BYTES = 16
_EVENT_ID = re.compile(rb'id: (\d+)\n[^\n]*\n\n')


@dataclass(slots=True)
class Exchange:
    """What a caller saw of one request.

    Attributes
    ----------
    leaves_at : float
        When the caller stops to wait.
    is_kept : bool
        Whether the connection had carried a request before.
    is_leaving_early : bool
        Whether that is before its deadline.
    slow_read_s : float
        Pause before each read.
    """

    leaves_at: float
    sent_at: float
    is_kept: bool
    is_leaving_early: bool = False
    slow_read_s: float = 0
    read_at: float | None = None
    first_byte_at: float | None = None
    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b''
    is_whole: bool = False
    end: ConnectionEnd = ConnectionEnd.NONE

    @property
    def events(self) -> tuple[int, ...]:
        """Return the numbers of the events that came whole."""
        return tuple(int(number) for number in _EVENT_ID.findall(self.body))

    @property
    def retry_after_s(self) -> float | None:
        """Return the time of Retry-After; None without it."""
        text = self.headers.get('retry-after')
        return None if text is None else float(text)

    @property
    def is_closing(self) -> bool:
        """Return whether the connection carries no other request."""
        return not self.is_whole or self.headers.get('connection', '') == 'close'


class CallerConnection:
    """A connection to one daemon.

    Attributes
    ----------
    daemon : str
        The daemon's host.
    requests : int
        Number of requests sent.
    """

    def __init__(self, daemon: str, address: tuple[str, int]) -> None:
        self.daemon = daemon
        self.requests = 0
        self.raw = http.client.HTTPConnection(*address, timeout=CONNECT_TIMEOUT_S)
        self.raw.auto_open = 0

    def close(self) -> None:
        """Close the connection."""
        self.raw.close()

    def exchange(self, path: str, headers: dict[str, str], seen: Exchange) -> None:
        """Send a request and read the response, as far as it comes."""
        try:
            self._exchange(path, headers, seen)
        except TimeoutError:
            seen.end = ConnectionEnd.LEFT
            if not seen.is_leaving_early:
                seen.end = ConnectionEnd.TIMEOUT
        except (http.client.RemoteDisconnected, http.client.IncompleteRead):
            seen.end = ConnectionEnd.CLOSED
        except (http.client.HTTPException, OSError):
            seen.end = ConnectionEnd.RESET
        if seen.is_closing:
            self.close()

    def _exchange(self, path: str, headers: dict[str, str], seen: Exchange) -> None:
        if not self.requests:
            self.raw.connect()
        self.requests += 1
        sock = self.raw.sock
        self.raw.request('POST', path, b'{"a": 1}', headers)
        seen.read_at = time.monotonic()
        sock.settimeout(_left_s(seen))
        response = self.raw.getresponse()
        seen.first_byte_at = time.monotonic()
        seen.status = response.status
        seen.headers = {
            name.lower(): text.lower() for name, text in response.getheaders()
        }
        expected = response.length
        limit = _SLOW_READ_BYTES if seen.slow_read_s else _READ_BYTES
        while part := response.read1(limit):
            seen.body += part
            time.sleep(seen.slow_read_s)
            sock.settimeout(_left_s(seen))
        response.close()
        if expected is not None and len(seen.body) < expected:
            seen.end = ConnectionEnd.CLOSED
            return
        seen.is_whole = True


def _left_s(seen: Exchange) -> float:
    left_s = seen.leaves_at - time.monotonic()
    if left_s <= 0:
        raise TimeoutError
    return left_s
