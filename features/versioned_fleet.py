"""Streams on a fleet whose engines have several software versions."""

from __future__ import annotations

import http.client
import re
import time
from dataclasses import dataclass, field

from entry_fleet import KEY, MODEL, EntryFleet, Response

from pimentohoist_standins.opaque_engine import OpaqueEngine
from pimentohoist_standins.opaque_engine_state import BrokenStream

EVENTS = 6
_PATH = '/resumed/x'
_EVENT_ID = re.compile(rb'^id: (\d+)', re.MULTILINE)
_TIMEOUT_S = 6.0
_EVENT_S = 0.02


@dataclass
class StreamCall:
    """One stream of a caller, over one or two attempts.

    Attributes
    ----------
    attempts : list of str
        Ids of the caller's attempts; the first one brought the first event.
    events : list of int
        Ids of the events that came.
    """

    name: str
    adapter: str
    daemon: int
    attempts: list[str] = field(default_factory=list)
    events: list[int] = field(default_factory=list)
    status: int = 0
    took_s: float = 0
    failure: str = ''

    def is_whole(self) -> bool:
        """Return whether each event came once and in order."""
        return self.events == list(range(1, EVENTS + 1))


@dataclass
class VersionedFleet:
    """Callers' streams, and which engines ran them."""

    fleet: EntryFleet
    calls: list[StreamCall] = field(default_factory=list)

    def add_engines(self, versions: list[str]) -> None:
        """Add an engine of each version."""
        for number, version in enumerate(versions, len(self.fleet.engines)):
            name = f'engine-{number}'
            engine = self.fleet.add_endpoint(10 + number, name, MODEL)
            engine.version = version
            engine.faults.event_s = _EVENT_S
            self.fleet.engines.append(engine)
            self.fleet.store.put('keyed.servers', name, engine.entry('models'))

    def break_next_stream(self, after_events: int) -> None:
        """Have the next run of a stream reset after some events, whichever engine has it."""
        broken = [BrokenStream(after_events, is_reset=True, is_body_ended=False)]
        for engine in self.fleet.engines:
            engine.faults.broken_streams = broken

    def send(self, call: StreamCall, stop_after: int = EVENTS) -> None:
        """Send a stream's first attempt, or take it up; leave after some events."""
        attempt = f'{call.name}-{len(call.attempts)}'
        call.attempts.append(attempt)
        headers = {
            'Host': 'house.example',
            'Pimentohoist-Attempt-Id': attempt,
            'Pimentohoist-Deadline-Ms': '5000',
            'Api-Key': KEY,
            'Pimentohoist-Model': f'{MODEL}/{call.adapter}',
            'Pimentohoist-Token-Count': '10,20',
        }
        if call.events:
            headers['Last-Event-Id'] = str(call.events[-1])
            headers['Resumes'] = call.attempts[0]
        began_at = time.monotonic()
        host = self.fleet.daemons[call.daemon].host
        connection = http.client.HTTPConnection(host, 8000, timeout=_TIMEOUT_S)
        try:
            self._exchange(call, connection, headers, stop_after)
        except (OSError, http.client.HTTPException) as error:
            call.failure = repr(error)
        finally:
            connection.close()
        call.took_s = time.monotonic() - began_at

    def engines_of(self, call: StreamCall) -> list[OpaqueEngine]:
        """Return the engines that ran attempts of a stream."""
        ids = set(call.attempts)
        return [
            engine
            for engine in self.fleet.engines
            if any(run.request_id in ids for run in engine.state.executed_requests)
        ]

    def versions_of(self, call: StreamCall) -> set[str]:
        """Return the versions of the engines that ran attempts of a stream."""
        return {engine.version for engine in self.engines_of(call)}

    def take_up_unknown(self, number: int, daemon: int = 0) -> Response:
        """Take up a stream that no daemon knows."""
        return self.fleet.send_request(
            daemon=daemon,
            path=_PATH,
            adapter=f'a{number}',
            Last_Event_Id='3',
            Resumes=f'unknown-{number}',
        )

    def _exchange(
        self,
        call: StreamCall,
        connection: http.client.HTTPConnection,
        headers: dict[str, str],
        stop_after: int,
    ) -> None:
        connection.request('POST', _PATH, b'{}', headers)
        response = connection.getresponse()
        call.status = response.status
        before = tuple(call.events)
        received = b''
        while len(call.events) < stop_after:
            part = response.read1()
            if not part:
                break
            received += part
            complete, _, _ = received.rpartition(b'\n\n')
            new = (int(number) for number in _EVENT_ID.findall(complete))
            call.events = [*before, *new]
