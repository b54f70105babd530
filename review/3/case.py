"""All daemons lose power while the engines of a service are replaced by newer software."""

from __future__ import annotations

import http.client
import re
import signal
import sys
import threading
import time
from dataclasses import dataclass, field
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from fleet import (  # noqa: E402
    DIRECTORY,
    FRONT,
    HAS_TROUBLE,
    HOST,
    KEY,
    MODEL,
    Fleet,
    Record,
    configuration,
    run_case,
    versions_held,
)
from pimentohoist_standins.opaque_engine import OpaqueEngine  # noqa: E402

DOWN_S = 2.0
RELEASE_GAP_S = 1.0
SERVED_ON_S = 2.3
"""Drain-ms and a little: an engine whose entry is removed serves on for this time."""

EVENT_S = 0.24
ABANDON_S = 2.0
DEADLINE_S = 12.0
STREAMS = 16
_EVENT_ID = re.compile(rb'^id: (\d+)\ndata: [^\n]*\n\n', re.MULTILINE)


@dataclass
class Stream:
    """One stream of a caller, over its attempts."""

    name: str
    attempts: list[str] = field(default_factory=list)
    events: list[int] = field(default_factory=list)


class Callers:
    """Sends streams as the pages say that callers do."""

    def __init__(self, fleet: Fleet, record: Record) -> None:
        self.fleet = fleet
        self.record = record

    def stream(self, stream: Stream, number: int) -> None:
        """Send a stream; take it up where the directory says, if it is broken off."""
        deadline = time.monotonic() + DEADLINE_S
        self.attempt(stream, self.fleet.daemons[number % 2].host)
        if len(stream.events) in {0, 6}:
            return
        # A caller whose daemon has lost power sees a gap, not an end.
        time.sleep(ABANDON_S)
        address = self.resolve(deadline)
        if address:
            self.attempt(stream, address)

    def resolve(self, deadline: float) -> str:
        """Ask the daemons, in turn, until one names an address."""
        path = f'/v1/resolve?name={HOST}&region=tbilisi&zone=tbs-a'
        turn = 0
        while time.monotonic() < deadline:
            turn += 1
            host = self.fleet.daemons[turn % 2].host
            connection = http.client.HTTPConnection(host, DIRECTORY, timeout=1)
            try:
                connection.request('GET', path)
                response = connection.getresponse()
                if response.status == 200:
                    return host
            except (OSError, http.client.HTTPException):
                time.sleep(0.1)
            finally:
                connection.close()
            time.sleep(0.1)
        return ''

    def attempt(self, stream: Stream, host: str) -> None:
        name = f'{stream.name}-{len(stream.attempts)}'
        stream.attempts.append(name)
        headers = {
            'Host': HOST,
            'Pimentohoist-Attempt-Id': name,
            'Pimentohoist-Deadline-Ms': '5000',
            'Api-Key': KEY,
            'Pimentohoist-Model': MODEL,
            'Pimentohoist-Token-Count': '10,70',
        }
        if stream.events:
            headers['Last-Event-Id'] = str(stream.events[-1])
            headers['Resumes'] = stream.attempts[0]
        before, received, status, end = list(stream.events), b'', 0, 'complete'
        connection = http.client.HTTPConnection(host, FRONT, timeout=ABANDON_S)
        try:
            connection.request('POST', '/models/x', b'{}', headers)
            response = connection.getresponse()
            status = response.status
            while status == 200 and (part := response.read1()):
                received += part
        except (OSError, http.client.HTTPException) as error:
            end = repr(error)
        finally:
            connection.close()
        stream.events = before + [int(each) for each in _EVENT_ID.findall(received)]
        self.record.write(f'{name}: status {status}, events {stream.events}, {end}')


def release(fleet: Fleet, record: Record, old: list[OpaqueEngine]) -> None:
    """Replace the engines one after the other, the new one first."""
    for number, engine in enumerate(old):
        new = fleet.add_engine(f'n-{number}', 'models')
        new.version = 'v2'
        new.faults.event_s = EVENT_S
        fleet.store.put('keyed.servers', new.engine_id, new.entry('models'))
        # This engine never reports that it drains: its entry is removed.
        engine.faults.is_leaving = True
        fleet.store.put('keyed.servers', engine.engine_id, None)
        threading.Timer(SERVED_ON_S, engine.crash).start()
        record.write(f'{new.engine_id} (v2) replaces {engine.engine_id} (v1)')
        time.sleep(RELEASE_GAP_S)


def versions_of(fleet: Fleet, stream: Stream, record: Record) -> set[str]:
    runs = []
    for engine in fleet.engines.values():
        for run in engine.state.executed_requests:
            if run.request_id in stream.attempts:
                after = run.headers.get('last-event-id', '0')
                runs.append((int(after), engine.version))
                record.write(
                    f'{engine.engine_id} ({engine.version}) ran {run.request_id} '
                    f'after event {after}'
                )
    return versions_held(runs, stream.events)


def play(record: Record) -> bool:
    with Fleet(record) as fleet:
        fleet.store.put('keyed.op', 'config', configuration(1))
        old = [fleet.add_engine(f'e-{number}', 'models') for number in range(2)]
        for engine in old:
            engine.faults.event_s = EVENT_S
        fleet.add_daemons(2)
        fleet.wait_ready()
        time.sleep(4)
        callers = Callers(fleet, record)
        streams = [Stream(f'stream-{number}') for number in range(STREAMS)]
        calls = [
            threading.Thread(target=callers.stream, args=(each, number), daemon=True)
            for number, each in enumerate(streams)
        ]
        for call in calls:
            call.start()
        time.sleep(3 * EVENT_S)
        if HAS_TROUBLE:
            record.write('all daemons lose power')
            for daemon in fleet.daemons:
                daemon.signal(signal.SIGKILL)
                daemon.process.wait()
            threading.Timer(DOWN_S, power_on, (fleet, record)).start()
        time.sleep(0.3)
        release(fleet, record, old)
        for call in calls:
            call.join(DEADLINE_S + ABANDON_S)
        mixed = sum(len(versions_of(fleet, each, record)) > 1 for each in streams)
        record.write(f'streams with events of two versions: {mixed}')
        return mixed > 2


def power_on(fleet: Fleet, record: Record) -> None:
    for daemon in fleet.daemons:
        daemon.start()
    record.write('all daemons are started')


if __name__ == '__main__':
    run_case(sys.argv[1], play)
