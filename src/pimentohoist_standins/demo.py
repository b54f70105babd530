"""Demo of a fleet in separate processes, from publishing to a withdrawn key."""

from __future__ import annotations

import json
import sys
import time
from collections.abc import Callable
from dataclasses import replace
from http import HTTPStatus

from pimentohoist._http_connection import HttpRequest, HttpResponse
from pimentohoist.configuration import (
    Adapter,
    Configuration,
    Endpoint,
    EndpointGroup,
    GroupKind,
    Route,
    Section,
    StoreBudget,
    Workspace,
)
from pimentohoist.keys import create_key
from pimentohoist_standins.fleet import Fleet

_DAEMONS = ('entry-1', 'entry-2', 'entry-3')
_ENGINES = ('engine-1', 'engine-2')
_WITHDRAWAL_TIMEOUT_S = 5.0
_SETTLE_TIMEOUT_S = 30.0
_POLL_S = 0.05
_DEMO_PROMPT = 'Summarise batch record 1147 of the lipstick line.'


class DemoError(Exception):
    """A step of the demo failed."""


def demo_sections(fleet: Fleet) -> tuple[Section, ...]:
    """Return a workspace, adapters, routes and the groups of a fleet's endpoints."""
    engines = tuple(
        Endpoint(name, fleet.addresses[name], 'a', checks_fencing=True)
        for name in fleet.addresses
        if name.startswith('engine')
    )
    ledger = (Endpoint('ledger', fleet.addresses['ledger'], 'a'),)
    return (
        Workspace('lipstick-house', rate_tokens_per_s=5000, burst_tokens=20_000),
        EndpointGroup('review', GroupKind.ENGINE, engines, model='review-7b'),
        EndpointGroup('ledger', GroupKind.SERVICE, ledger),
        Adapter('batch-summary', 'review', (1, 2), 2, ('lipstick-house',)),
        Route('release', 'ledger', is_idempotent=False, workspaces=('lipstick-house',)),
        Route('records', 'ledger', is_idempotent=True, workspaces=('lipstick-house',)),
        StoreBudget('weights', loads_per_s=2.5, loads_at_once=2),
    )


class Demo:
    """Runs the steps of the demo against a running fleet."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.key_section, self.key = create_key('line-1', 'lipstick-house')
        self.entry = ''

    def run(self) -> None:
        """Run every step; raise `DemoError` at the first that fails."""
        steps: tuple[Callable[[], str], ...] = (
            self.start,
            self.publish,
            self.ask_entries,
            self.settle,
            self.complete,
            self.act,
            self.withdraw,
        )
        for step in steps:
            _print_line(f'{step.__name__}: {step()}')

    def start(self) -> str:
        """Start endpoints and daemons."""
        store = self.fleet.addresses['weights']
        for engine in _ENGINES:
            self.fleet.start_standin(engine, 'engine', store_address=store)
        self.fleet.start_standin('ledger', 'service')
        for daemon in _DAEMONS:
            self.fleet.start_daemon(daemon)
        return f'{len(self.fleet.processes)} processes'

    def publish(self) -> str:
        """Publish the configuration."""
        sections = (*demo_sections(self.fleet), self.key_section)
        report = self.fleet.publish(Configuration.of(*sections))
        _require(report.is_in_force, report.text())
        return report.text()

    def ask_entries(self) -> str:
        """Request the addresses of all daemons from one of them."""
        request = HttpRequest.from_json('GET', '/v1/entries')
        document = self.fleet.request(_DAEMONS[0], request).document()
        _require(len(document['entries']) == len(_DAEMONS), str(document))
        self.entry = document['entries'][0]
        return json.dumps(document)

    def settle(self) -> str:
        """Wait until limits and engines have stable owners after the daemons joined.

        Refusals until then must say that the request was not run and when to retry.
        """
        began_at = time.monotonic()
        refusals = 0
        reply = self._complete()
        while reply.status != HTTPStatus.OK:
            error = reply.document()['error']
            is_retryable = (
                error['run'] == 'not_run' and error['retry_after_s'] is not None
            )
            waited_s = time.monotonic() - began_at
            _require(is_retryable and waited_s < _SETTLE_TIMEOUT_S, reply.body.decode())
            refusals += 1
            time.sleep(error['retry_after_s'])
            reply = self._complete()
        waited_s = time.monotonic() - began_at
        return f'first answer after {waited_s:.1f} s and {refusals} refusals'

    def complete(self) -> str:
        """Send a streamed completion on an adapter."""
        reply = self._complete()
        _require(reply.status == HTTPStatus.OK, reply.body.decode())
        events = [line for line in reply.body.decode().splitlines() if line]
        _require(events[-1] == 'data: [DONE]', events[-1])
        parts = [json.loads(event.removeprefix('data: ')) for event in events[:-1]]
        text = ''.join(part['choices'][0]['text'] for part in parts)
        return f'{len(parts)} tokens on {parts[0]["model"]}: {text}'

    def act(self) -> str:
        """Send an action to the plain service."""
        reply = self._send('/services/release/lots', b'{"lot": 1147}', 'release-1147')
        _require(reply.status == HTTPStatus.CREATED, reply.body.decode())
        entries = len(self.fleet.received_requests('ledger'))
        _require(entries == 1, f'{entries} calls reached the ledger')
        return reply.body.decode()

    def withdraw(self) -> str:
        """Withdraw the key and wait until it is refused."""
        withdrawn_at = time.monotonic()
        report = self.fleet.publish(Configuration.of(*demo_sections(self.fleet)))
        _require(report.is_in_force, report.text())
        reply = self._complete()
        while reply.status != HTTPStatus.UNAUTHORIZED:
            _require(
                time.monotonic() - withdrawn_at < _WITHDRAWAL_TIMEOUT_S,
                'the withdrawn key still works',
            )
            time.sleep(_POLL_S)
            reply = self._complete()
        return f'{reply.status} {reply.body.decode()}'

    def _complete(self) -> HttpResponse:
        document = {
            'model': 'batch-summary@1',
            'prompt': _DEMO_PROMPT,
            'max_tokens': 12,
            'stream': True,
        }
        return self._send('/v1/completions', json.dumps(document).encode())

    def _send(self, path: str, body: bytes, idempotency_key: str = '') -> HttpResponse:
        request = HttpRequest.from_json('POST', path)
        headers = {
            **request.headers,
            'Authorization': f'Bearer {self.key}',
            'Idempotency-Key': idempotency_key,
        }
        return self.fleet.request(
            _DAEMONS[1], replace(request, body=body, headers=headers)
        )


def _require(is_met: bool, message: str) -> None:
    if not is_met:
        raise DemoError(message)


def _print_line(line: str) -> None:
    sys.stdout.write(f'{line}\n')
    sys.stdout.flush()


def main() -> None:
    """Run ``pimentohoist-demo``."""
    with Fleet() as fleet:
        try:
            Demo(fleet).run()
        except DemoError as error:
            sys.stderr.write(f'demo failed: {error}\n')
            sys.exit(1)
        for daemon in _DAEMONS:
            _print_line(f'stopped {daemon}: exit code {fleet.processes[daemon].stop()}')
