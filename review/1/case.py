"""An entry of another writer keeps daemons from finding any engine."""

from __future__ import annotations

import http.client
import json
import signal
import sys
import time
from collections import Counter
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from fleet import (  # noqa: E402
    FRONT,
    HAS_TROUBLE,
    HOST,
    KEY,
    MODEL,
    Fleet,
    Record,
    configuration,
    run_case,
)
from pimentohoist_standins.keyed_store import KeyedStore  # noqa: E402

RECOVER_S = 12.0
DOWN_S = 1.4
REQUESTS = 40
PAUSE_S = 0.1
ODD_ID = 'i-00c4f1a2'
ODD_ENTRY = {
    'service': 'models',
    'address': '127.0.0.1:9',
    'zone': 'tbs-a',
    'version': 'v1',
    'slots': 64,
    'state': ['ready'],
    'cold-ms': 0,
    'born': 1,
    'seq': 0,
}
"""As an engine writes it, but for the type of one field."""


class SortedStore(KeyedStore):
    """Returns the newest records in the order of their keys, by which pages go on."""

    def _newest(self, topic: str, client_host: str) -> Any:
        reply = super()._newest(topic, client_host)
        document = json.loads(reply.body)
        document['items'].sort(key=lambda item: item['key'])
        reply.body = json.dumps(document).encode()
        return reply


class SortedFleet(Fleet):
    store_class = SortedStore


def send(fleet: Fleet, record: Record, name: str, daemon: int, path: str) -> int:
    headers = {
        'Host': HOST,
        'Pimentohoist-Attempt-Id': name,
        'Pimentohoist-Deadline-Ms': '1000',
        'Api-Key': KEY,
    }
    method, body = ('GET', None) if path == '/look/x' else ('POST', b'{}')
    if path == '/models/x':
        headers['Pimentohoist-Model'] = MODEL
        headers['Pimentohoist-Token-Count'] = '10,70'
    host = fleet.daemons[daemon].host
    connection = http.client.HTTPConnection(host, FRONT, timeout=5)
    status = 0
    try:
        connection.request(method, path, body, headers)
        response = connection.getresponse()
        response.read()
        status = response.status
    except (OSError, http.client.HTTPException) as error:
        record.write(f'{name}: {error!r}')
    finally:
        connection.close()
    record.write(f'{name} {path} at daemon {daemon}: status {status}')
    return status


def served_share(fleet: Fleet, record: Record, when: str) -> float:
    statuses: Counter[int] = Counter()
    for number in range(REQUESTS):
        for path in ('/models/x', '/look/x', '/pay/x'):
            name = f'{when}-{path[1:5]}-{number}'
            statuses[send(fleet, record, name, number % 2, path)] += 1
        time.sleep(PAUSE_S)
    share = statuses[200] / sum(statuses.values())
    record.write(f'{when}: statuses {dict(statuses)}, share served {share:.3f}')
    return share


def play(record: Record) -> bool:
    with SortedFleet(record) as fleet:
        fleet.store.put('keyed.op', 'config', configuration(1))
        for number in range(3):
            fleet.add_engine(f'i-4{number}77ab10', 'models')
            fleet.add_engine(f'i-9{number}51cd20', 'ledger', '')
        fleet.add_daemons(2)
        fleet.wait_ready()
        time.sleep(4)
        if HAS_TROUBLE:
            topic = 'keyed.servers'
            fleet.store.put(topic, ODD_ID, json.dumps(ODD_ENTRY).encode())
            record.write(f'another writer puts {ODD_ENTRY}')
        before = served_share(fleet, record, 'before')
        record.write('all daemons are killed')
        for daemon in fleet.daemons:
            daemon.signal(signal.SIGKILL)
            daemon.process.wait()
        time.sleep(DOWN_S)
        for daemon in fleet.daemons:
            daemon.start()
        record.write('all daemons are started')
        fleet.wait_ready()
        record.write('all daemons say that they are ready')
        time.sleep(RECOVER_S)
        after = served_share(fleet, record, 'after')
        return before >= 0.25 and after < 0.25


if __name__ == '__main__':
    run_case(sys.argv[1], play)
