"""Stand-in for the platform's log, with named streams, retention and long polls."""

from __future__ import annotations

import threading
import time
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import Any

from werkzeug.wrappers import Request, Response

from pimentohoist_standins.faults import StandIn, json_response

_MAX_PAGE_RECORDS = 500


@dataclass(slots=True)
class Stream:
    """Records of a stream, oldest first, with the time of each append."""

    first_offset: int = 0
    bodies: list[str] = field(default_factory=list)
    appended_at: list[float] = field(default_factory=list)

    @property
    def next_offset(self) -> int:
        """Offset of the next record."""
        return self.first_offset + len(self.bodies)

    def drop_before(self, offset: int) -> None:
        """Drop the records before an offset."""
        count = min(len(self.bodies), max(0, offset - self.first_offset))
        del self.bodies[:count]
        del self.appended_at[:count]
        self.first_offset += count


class LogStandIn(StandIn):
    """Keeps streams in memory.

    Parameters
    ----------
    keep_records : int
        Highest number of records that a stream keeps.
    keep_s : float
        Longest time that a record is kept, in seconds.
    appends_per_s : float
        Highest rate of append requests, per second; requests above it wait.
    """

    controls = ('keep_records', 'keep_s', 'appends_per_s')

    def __init__(self, keep_records: int, keep_s: float, appends_per_s: float) -> None:
        super().__init__()
        self.keep_records = keep_records
        self.keep_s = keep_s
        self.appends_per_s = appends_per_s
        self.streams: dict[str, Stream] = {}
        self.changed = threading.Condition()
        self._next_append_at = time.monotonic()

    def answer(self, request: Request) -> Response:
        """Append to or read a stream."""
        name = request.path.removeprefix('/streams/')
        if request.method == 'POST':
            return self._append(name, request)
        offset = int(request.args.get('offset', 0))
        wait_s = float(request.args.get('wait_s', 0))
        return self._read(name, offset, wait_s)

    def dump(self) -> dict[str, Any]:
        """Return the range of offsets that each stream keeps."""
        with self.changed:
            return {
                'streams': {
                    name: {
                        'first_offset': stream.first_offset,
                        'next_offset': stream.next_offset,
                    }
                    for name, stream in self.streams.items()
                }
            }

    def _append(self, name: str, request: Request) -> Response:
        bodies = request.get_json()
        if not isinstance(bodies, list):
            return Response(
                f'body: expected a list, got {type(bodies).__name__}',
                HTTPStatus.BAD_REQUEST,
            )
        self._wait_for_append_rate()
        with self.changed:
            stream = self.streams.setdefault(name, Stream())
            offset = stream.next_offset
            stream.bodies.extend(bodies)
            stream.appended_at.extend(time.monotonic() for _ in bodies)
            self._expire(stream)
            self.changed.notify_all()
        return json_response({'offset': offset})

    def _read(self, name: str, offset: int, wait_s: float) -> Response:
        with self.changed:
            stream = self.streams.setdefault(name, Stream())
            self.changed.wait_for(
                lambda: stream.next_offset > offset or self.faults.is_down, wait_s
            )
            self._expire(stream)
            start = max(0, offset - stream.first_offset)
            document = {
                'first_offset': stream.first_offset,
                'next_offset': stream.next_offset,
                'records': stream.bodies[start : start + _MAX_PAGE_RECORDS],
            }
        if self.faults.is_down:
            return Response('down', HTTPStatus.SERVICE_UNAVAILABLE)
        return json_response(document)

    def _wait_for_append_rate(self) -> None:
        with self.changed:
            append_at = max(time.monotonic(), self._next_append_at)
            self._next_append_at = append_at + 1 / self.appends_per_s
        time.sleep(max(0, append_at - time.monotonic()))

    def _expire(self, stream: Stream) -> None:
        oldest = time.monotonic() - self.keep_s
        expired = sum(1 for appended_at in stream.appended_at if appended_at < oldest)
        first_kept_offset = stream.next_offset - self.keep_records
        stream.drop_before(max(stream.first_offset + expired, first_kept_offset))
