"""Sends an experiment's requests and notes how each ended."""

from __future__ import annotations

import json
import time
from collections.abc import Mapping
from dataclasses import dataclass
from http import HTTPStatus
from typing import Any

from pimentohoist._http_client import HttpResponse, HttpRequest
from pimentohoist._openai import END_EVENT
from pimentohoist.exceptions import PeerConnectError, PeerError, RunState
from pimentohoist_standins._experiment_plan import Arrival, Experiment
from pimentohoist_standins.engine import token_text
from pimentohoist_standins.fleet import Fleet

OK = 'ok'
_TIMEOUT_S = 15.0
_MARGIN_S = 1.0
_LAST_LINE = END_EVENT.strip()
_TRIES = 3
_PAUSE_S = 0.2
_KEY_HEADER = 'Idempotency-Key'
_LEDGER_PATH = '/services/release/entries'
_CALLER = 'caller'


@dataclass(frozen=True)
class Ending:
    """How a try or a request ended.

    Attributes
    ----------
    code : str
        ``ok``, or the code of the error.
    run_state : str
        What the caller was told of its execution.
    step : str
        Where the error arose; ``caller`` if the caller itself noticed it.
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
    """A request and its ending.

    Attributes
    ----------
    is_whole : bool
        Whether the answer is, token by token, the one that belongs to the request.
    """

    arrival: Arrival
    ending: Ending
    is_whole: bool
    latency_s: float

    @property
    def code(self) -> str:
        """``ok``, or the code of the last error."""
        return self.ending.code

    @property
    def run_state(self) -> str:
        """What the caller was told of its execution."""
        return self.ending.run_state


class LoadSender:
    """Sends arrivals to the daemons of a fleet."""

    def __init__(
        self, experiment: Experiment, fleet: Fleet, keys: Mapping[str, str]
    ) -> None:
        self.experiment = experiment
        self.fleet = fleet
        self.keys = keys

    def send_at(self, started_at: float, arrival: Arrival) -> Result:
        """Send a request when it is due and return how it ended."""
        due_at = started_at + arrival.at_s
        sleep_until(due_at)
        ending = self._send_until_answered(arrival)
        return Result(
            arrival,
            ending,
            is_whole=ending.is_ok and self._is_expected(arrival, ending.body),
            latency_s=time.monotonic() - due_at,
        )

    def _send_until_answered(self, arrival: Arrival) -> Ending:
        """Send to one daemon after another until the request is answered.

        Generations may be repeated, and actions carry an idempotency key. A repeat of an
        action that is refused as not run says nothing of an earlier try of unknown
        outcome, so the state stays unknown then.
        """
        daemons = self.experiment.daemon_names
        unknown = None
        for attempt in range(_TRIES):
            daemon = daemons[(arrival.number + attempt) % len(daemons)]
            ending = self._send(arrival, daemon)
            if ending.is_ok:
                return ending
            if arrival.is_action and ending.run_state == RunState.UNKNOWN:
                unknown = ending
            time.sleep(_PAUSE_S)
        return unknown or ending

    def _send(self, arrival: Arrival, daemon: str) -> Ending:
        try:
            reply = self.fleet.ask(daemon, self._request(arrival), _TIMEOUT_S)
        except PeerConnectError:
            return Ending('connection_refused', RunState.NOT_RUN.value, _CALLER)
        except PeerError as error:
            return Ending(error.code, RunState.UNKNOWN.value, _CALLER)
        return _read_reply(arrival, reply)

    def _request(self, arrival: Arrival) -> HttpRequest:
        headers = {
            'Authorization': f'Bearer {self.keys[arrival.workspace]}',
            'Content-Type': 'application/json',
            'X-Request-Timeout-S': f'{_TIMEOUT_S - _MARGIN_S:g}',
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
        # The caller itself decides on repeats, so its client must not.
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


def _read_reply(arrival: Arrival, reply: HttpResponse) -> Ending:
    if reply.status >= HTTPStatus.BAD_REQUEST:
        return _refusal(json.loads(reply.body)['error'])
    if arrival.is_action:
        return Ending(body=reply.body)
    texts: list[str] = []
    for line in reply.body.split(b'\n\n')[:-1]:
        if line == _LAST_LINE:
            return Ending(body=''.join(texts).encode())
        event = json.loads(line.removeprefix(b'data: '))
        error = event.get('error')
        if error is not None:
            return _refusal(error)
        texts.append(event['choices'][0]['text'])
    return Ending('cut_stream', RunState.UNKNOWN.value, _CALLER)


def _refusal(error: Mapping[str, Any]) -> Ending:
    return Ending(error['code'], error['run'], error['step'])
