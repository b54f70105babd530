"""Helpers for steps that send a caller's requests to a fleet."""

from __future__ import annotations

import json
import time
from collections.abc import Callable
from dataclasses import replace
from typing import Any

from pimentohoist._http_connection import HttpRequest, HttpResponse
from pimentohoist.configuration import Configuration
from pimentohoist.keys import create_key
from pimentohoist_standins.demo import demo_sections
from pimentohoist_standins.engine import token_text
from pimentohoist_standins.fleet import Fleet

WAIT_S = 20.0
_POLL_S = 0.05
_REQUEST_TIMEOUT_S = 60.0


class Caller:
    """Sends requests to the daemons of a fleet with one key."""

    def __init__(self, fleet: Fleet, key: str) -> None:
        self.fleet = fleet
        self.key = key

    def headers(self) -> dict[str, str]:
        return {
            'Authorization': f'Bearer {self.key}',
            'Content-Type': 'application/json',
        }

    def complete(self, daemon: str, **document: Any) -> HttpResponse:
        request = HttpRequest.from_json('POST', '/v1/completions', document)
        request = replace(request, headers=self.headers(), is_repeatable=False)
        return self.fleet.request(daemon, request, timeout_s=_REQUEST_TIMEOUT_S)


def start_fleet(
    fleet: Fleet, daemons: int, engines: int, **settings: dict[str, Any]
) -> Caller:
    """Start endpoints and daemons, publish a configuration and return its caller."""
    for index in range(1, engines + 1):
        fleet.start_standin(f'engine-{index}', 'engine', token_s=0.02)
    fleet.start_standin('ledger', 'service')
    for index in range(1, daemons + 1):
        fleet.start_daemon(f'entry-{index}', settings)
    section, key = create_key('line-1', 'lipstick-house')
    report = fleet.publish(Configuration.of(*demo_sections(fleet), section))
    assert report.is_in_force, report.text()
    return Caller(fleet, key)


def expected_text(prompt: str, model: str, tokens: int) -> str:
    return ''.join(token_text(prompt, model, offset) for offset in range(tokens))


def streamed_text(reply: HttpResponse) -> str:
    """Return the text of a complete stream; fail if its end event is missing."""
    assert reply.status == 200, reply
    lines = [line for line in reply.body.decode().splitlines() if line]
    assert lines[-1] == 'data: [DONE]', lines[-2:]
    events = [json.loads(line.removeprefix('data: ')) for line in lines[:-1]]
    return ''.join(event['choices'][0]['text'] for event in events)


def runs(fleet: Fleet, engine: str) -> list[dict[str, Any]]:
    """Return the requests that an engine received to run."""
    return [entry for entry in fleet.received_requests(engine) if 'request_id' in entry]


def wait_for(condition: Callable[[], bool], what: str, limit_s: float = WAIT_S) -> None:
    deadline = time.monotonic() + limit_s
    while not condition():
        assert time.monotonic() < deadline, (
            f'timed out after {limit_s} s waiting for {what}'
        )
        time.sleep(_POLL_S)
