"""Sends an experiment's requests and records how each ended."""

from __future__ import annotations

import json
import time
from collections.abc import Mapping
from dataclasses import dataclass
from http import HTTPStatus
from typing import Any

from pimentohoist._http_connection import HttpRequest, HttpResponse
from pimentohoist._openai import END_EVENT
from pimentohoist.exceptions import PeerConnectError, PeerError, RunState
from pimentohoist_standins._experiment_plan import Arrival, Experiment
from pimentohoist_standins.engine import token_text
from pimentohoist_standins.fleet import Fleet

OK = 'ok'
_REQUEST_TIMEOUT_S = 15.0
_DEADLINE_MARGIN_S = 1.0
_FINAL_EVENT = END_EVENT.strip()
_MAX_ATTEMPTS = 3
_RETRY_PAUSE_S = 0.2
_KEY_HEADER = 'Idempotency-Key'
_LEDGER_PATH = '/services/release/entries'
_CALLER = 'caller'


@dataclass(frozen=True)
class RequestOutcome:
    """How an attempt or a request ended.

    Attributes
    ----------
    code : str
        ``ok`` or the error code.
    run_state : str
        Execution state that the response reported.
    step : str
        Step at which the error arose; ``caller`` if the caller detected it.
    """

    code: str = OK
    run_state: str = RunState.RUN.value
    step: str = ''
    body: bytes = b''

    @property
    def is_ok(self) -> bool:
        """Whether the request was answered."""
        return self.code == OK


@dataclass(frozen=True)
class Result:
    """A request and how it ended.

    Attributes
    ----------
    is_expected : bool
        Whether the answer equals the expected one, token by token.
    latency_s : float
        Time from when the request was due to its end, in seconds.
    """

    arrival: Arrival
    outcome: RequestOutcome
    is_expected: bool
    latency_s: float

    @property
    def code(self) -> str:
        """``ok`` or the code of the error that was kept."""
        return self.outcome.code

    @property
    def run_state(self) -> str:
        """Execution state that the response reported."""
        return self.outcome.run_state


class LoadSender:
    """Sends arrivals to the daemons of a fleet."""

    def __init__(
        self, experiment: Experiment, fleet: Fleet, keys: Mapping[str, str]
    ) -> None:
        self.experiment = experiment
        self.fleet = fleet
        self.keys = keys

    def send_at(self, started_at: float, arrival: Arrival) -> Result:
        """Send a request at its due time and return how it ended."""
        due_at = started_at + arrival.at_s
        sleep_until(due_at)
        outcome = self._send_until_answered(arrival)
        return Result(
            arrival,
            outcome,
            is_expected=outcome.is_ok and self._is_expected(arrival, outcome.body),
            latency_s=time.monotonic() - due_at,
        )

    def _send_until_answered(self, arrival: Arrival) -> RequestOutcome:
        """Send to one daemon after another until the request is answered.

        Completions may be repeated, and actions carry an idempotency key. If an attempt
        of an action had an unknown outcome, a later refusal as not run doesn't apply to
        that attempt, so the request's state stays unknown.
        """
        daemons = self.experiment.daemon_names
        unknown_outcome = None
        for attempt in range(_MAX_ATTEMPTS):
            daemon = daemons[(arrival.number + attempt) % len(daemons)]
            outcome = self._send(arrival, daemon)
            if outcome.is_ok:
                return outcome
            if arrival.is_action and outcome.run_state == RunState.UNKNOWN:
                unknown_outcome = outcome
            time.sleep(_RETRY_PAUSE_S)
        return unknown_outcome or outcome

    def _send(self, arrival: Arrival, daemon: str) -> RequestOutcome:
        try:
            reply = self.fleet.request(
                daemon, self._request(arrival), _REQUEST_TIMEOUT_S
            )
        except PeerConnectError:
            return RequestOutcome('connection_refused', RunState.NOT_RUN.value, _CALLER)
        except PeerError as error:
            return RequestOutcome(error.code, RunState.UNKNOWN.value, _CALLER)
        return _read_reply(arrival, reply)

    def _request(self, arrival: Arrival) -> HttpRequest:
        headers = {
            'Authorization': f'Bearer {self.keys[arrival.workspace]}',
            'Content-Type': 'application/json',
            'X-Request-Timeout-S': f'{_REQUEST_TIMEOUT_S - _DEADLINE_MARGIN_S:g}',
        }
        if arrival.is_action:
            headers[_KEY_HEADER] = f'entry-{arrival.number}'
            document: dict[str, Any] = {'entry': arrival.number}
            path = _LEDGER_PATH
        else:
            path = '/v1/completions'
            document = {
                'model': arrival.adapter,
                'prompt': arrival.prompt,
                'max_tokens': self.experiment.max_tokens,
                'stream': True,
            }
        body = json.dumps(document).encode()
        # LoadSender retries by itself, so the HTTP client must not.
        return HttpRequest('POST', path, body, headers, is_repeatable=False)

    def _is_expected(self, arrival: Arrival, body: bytes) -> bool:
        if arrival.is_action:
            return b'entry' in body
        adapter = f'{arrival.adapter}@1'
        tokens = range(self.experiment.max_tokens)
        texts = (token_text(arrival.prompt, adapter, offset) for offset in tokens)
        return body == ''.join(texts).encode()


def sleep_until(moment: float) -> None:
    """Sleep until a monotonic time."""
    time.sleep(max(0, moment - time.monotonic()))


def _read_reply(arrival: Arrival, reply: HttpResponse) -> RequestOutcome:
    if reply.status >= HTTPStatus.BAD_REQUEST:
        return _error_outcome(json.loads(reply.body)['error'])
    if arrival.is_action:
        return RequestOutcome(body=reply.body)
    texts: list[str] = []
    for line in reply.body.split(b'\n\n')[:-1]:
        if line == _FINAL_EVENT:
            return RequestOutcome(body=''.join(texts).encode())
        event = json.loads(line.removeprefix(b'data: '))
        error = event.get('error')
        if error is not None:
            return _error_outcome(error)
        texts.append(event['choices'][0]['text'])
    return RequestOutcome('cut_stream', RunState.UNKNOWN.value, _CALLER)


def _error_outcome(error: Mapping[str, Any]) -> RequestOutcome:
    return RequestOutcome(error['code'], error['run'], error['step'])
