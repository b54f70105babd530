"""Runs load against a whole fleet while faults strike, and checks the promises.

An experiment starts its own daemons and stand-ins, sends completions and actions at a
steady rate, causes one or two faults on the way, and ends with what was answered, how
fast, and whether any promise was broken. ``pimentohoist-experiment --help`` lists the
settings.
"""

from __future__ import annotations

import json
import random
import sys
import threading
import time
from collections import Counter
from collections.abc import Iterator, Mapping
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field, replace
from http import HTTPStatus
from itertools import accumulate
from typing import Any

import fire
from hdrh.histogram import HdrHistogram

from pimentohoist._http_client import HttpReply, HttpRequest
from pimentohoist._openai import END_EVENT
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
from pimentohoist.exceptions import PeerConnectError, PeerError, RunState
from pimentohoist.keys import create_key
from pimentohoist_standins._faults_plan import FAULTS, cause, heal
from pimentohoist_standins._promises import Promises
from pimentohoist_standins.engine import token_text
from pimentohoist_standins.fleet import Fleet

_MS_PER_S = 1000
_LONGEST_MS = 600_000
_SIGNIFICANT_DIGITS = 3
_THREADS = 96
_TIMEOUT_S = 15.0
_MARGIN_S = 1.0
_LAST_LINE = END_EVENT.strip()
_TRIES = 3
_MEDIAN = 50
_TAIL = 99
_PAUSE_S = 0.2
_KEY_HEADER = 'Idempotency-Key'
_LEDGER_PATH = '/services/release/entries'


@dataclass(frozen=True)
class Experiment:
    """Size and course of an experiment.

    Attributes
    ----------
    rate_per_s : float
        Arrivals a second, over all workspaces.
    settle_s : float
        Time from the start of the fleet to the first arrival.
    duration_s : float
        Time during which requests arrive; faults strike at a third and heal at two
        thirds of it.
    action_share : float
        Share of arrivals that are non-idempotent actions.
    zipf_exponent : float
        Skew of the adapters' popularity.
    faults : tuple of str
        Names of faults, see ``pimentohoist_standins._faults_plan``.
    """

    daemons: int = 3
    engines: int = 2
    workspaces: int = 3
    adapters: int = 24
    slots: int = 8
    rate_per_s: float = 12
    settle_s: float = 3
    duration_s: float = 9
    max_tokens: int = 8
    action_share: float = 0.2
    zipf_exponent: float = 1
    loads_per_s: float = 10
    rate_tokens_per_s: float = 2000
    burst_tokens: int = 6000
    seed: int = 1
    faults: tuple[str, ...] = ()


@dataclass(frozen=True)
class Arrival:
    """A request to be sent at a time after the start, in seconds."""

    number: int
    at_s: float
    workspace: str
    adapter: str
    is_action: bool

    @property
    def prompt(self) -> str:
        """A prompt of its own, so that answers can't be mistaken for others'."""
        return f'Request {self.number} of {self.workspace}.'


@dataclass(frozen=True)
class Result:
    """How a request ended.

    Attributes
    ----------
    code : str
        ``ok``, or the code of the last error.
    run_state : str
        What the caller was told of its execution.
    is_whole : bool
        Whether the answer is, token by token, the one that belongs to the request.
    """

    arrival: Arrival
    code: str
    run_state: str
    is_whole: bool
    latency_s: float


@dataclass
class Outcome:
    """Everything that an experiment found."""

    experiment: Experiment
    results: list[Result] = field(default_factory=list)
    broken: tuple[str, ...] = ()

    def counts(self) -> Counter[str]:
        """Return the number of requests by how they ended."""
        return Counter(result.code for result in self.results)

    def latency_ms(self, percentile: float) -> float:
        """Return a percentile of the answered requests' time, in milliseconds."""
        histogram = HdrHistogram(1, _LONGEST_MS, _SIGNIFICANT_DIGITS)
        for result in self.results:
            if result.code == 'ok':
                histogram.record_value(max(1, int(result.latency_s * _MS_PER_S)))
        return float(histogram.get_value_at_percentile(percentile))


def arrivals(experiment: Experiment) -> Iterator[Arrival]:
    """Yield the requests in order of time, the same for the same seed."""
    source = random.Random(experiment.seed)
    weights = list(
        accumulate(
            1 / (rank + 1) ** experiment.zipf_exponent
            for rank in range(experiment.adapters)
        )
    )
    at_s = source.expovariate(experiment.rate_per_s)
    number = 0
    while at_s < experiment.duration_s:
        adapter = source.choices(range(experiment.adapters), cum_weights=weights)[0]
        yield Arrival(
            number,
            at_s,
            workspace=_workspace(adapter % experiment.workspaces),
            adapter=f'adapter-{adapter}',
            is_action=source.random() < experiment.action_share,
        )
        number += 1
        at_s += source.expovariate(experiment.rate_per_s)


def _workspace(index: int) -> str:
    return f'workspace-{index}'


class Runner:
    """One run of an experiment against its own fleet."""

    def __init__(self, experiment: Experiment, fleet: Fleet) -> None:
        self.experiment = experiment
        self.fleet = fleet
        self.keys: dict[str, str] = {}
        self.daemons = tuple(
            f'entry-{index}' for index in range(1, experiment.daemons + 1)
        )

    def run(self) -> Outcome:
        """Start everything, send the load, cause the faults, check the promises."""
        self._start()
        time.sleep(self.experiment.settle_s)
        started_at = time.monotonic()
        striker = threading.Thread(target=self._strike, args=(started_at,))
        striker.start()
        with ThreadPoolExecutor(_THREADS) as pool:
            pending = [
                pool.submit(self._send_at, started_at, arrival)
                for arrival in arrivals(self.experiment)
            ]
            results = [future.result() for future in pending]
        striker.join()
        duration_s = time.monotonic() - started_at
        promises = Promises(self.experiment, self.fleet, self.keys, duration_s)
        return Outcome(self.experiment, results, tuple(promises.broken(results)))

    def _start(self) -> None:
        experiment = self.experiment
        self.fleet.control('weights', loads_per_s=experiment.loads_per_s)
        store = self.fleet.addresses['weights']
        for index in range(1, experiment.engines + 1):
            self.fleet.start_standin(
                f'engine-{index}',
                'engine',
                slots=experiment.slots,
                store_address=store,
            )
        self.fleet.start_standin('ledger', 'service')
        for daemon in self.daemons:
            self.fleet.start_daemon(daemon)
        report = self.fleet.publish(Configuration.of(*self._sections()))
        if not report.is_in_force:
            raise PeerError(report.text(), step='experiment')

    def _sections(self) -> Iterator[Section]:
        experiment = self.experiment
        names = tuple(_workspace(index) for index in range(experiment.workspaces))
        for name in names:
            yield Workspace(name, experiment.rate_tokens_per_s, experiment.burst_tokens)
            key, self.keys[name] = create_key(f'key-of-{name}', name)
            yield key
        yield self._group('review', GroupKind.ENGINE, 'engine')
        yield self._group('ledger', GroupKind.SERVICE, 'ledger')
        yield Route('release', 'ledger', is_idempotent=False, workspaces=names)
        yield StoreBudget('weights', experiment.loads_per_s, loads_at_once=2)
        for index in range(experiment.adapters):
            owner = _workspace(index % experiment.workspaces)
            yield Adapter(f'adapter-{index}', 'review', (1,), 1, (owner,))

    def _group(self, name: str, kind: GroupKind, prefix: str) -> EndpointGroup:
        endpoints = tuple(
            Endpoint(endpoint, address, 'a', checks_fencing=True)
            for endpoint, address in self.fleet.addresses.items()
            if endpoint.startswith(prefix)
        )
        return EndpointGroup(name, kind, endpoints, slots=self.experiment.slots)

    def _strike(self, started_at: float) -> None:
        third_s = self.experiment.duration_s / 3
        _sleep_until(started_at + third_s)
        for fault in self.experiment.faults:
            cause(fault, self.fleet)
        _sleep_until(started_at + 2 * third_s)
        for healed in self.experiment.faults:
            heal(healed, self.fleet)

    def _send_at(self, started_at: float, arrival: Arrival) -> Result:
        due_at = started_at + arrival.at_s
        _sleep_until(due_at)
        body, state = self._send_until_answered(arrival)
        is_whole = state == '' and body == self._expected(arrival)
        if arrival.is_action and state == '':
            is_whole = b'entry' in body
        code = 'ok'
        run_state = RunState.RUN.value
        if state:
            code, _, run_state = state.partition('/')
        return Result(
            arrival, code, run_state, is_whole, latency_s=time.monotonic() - due_at
        )

    def _send_until_answered(self, arrival: Arrival) -> tuple[bytes, str]:
        """Send to one daemon after another until the request is answered.

        Generations may be repeated, and actions carry an idempotency key. A repeat of an
        action that is refused as not run says nothing of an earlier try of unknown
        outcome, so the state stays unknown then.
        """
        unknown = ''
        for attempt in range(_TRIES):
            daemon = self.daemons[(arrival.number + attempt) % len(self.daemons)]
            body, state = self._send(arrival, daemon)
            if not state:
                return body, state
            if arrival.is_action and state.endswith(RunState.UNKNOWN):
                unknown = state
            time.sleep(_PAUSE_S)
        return b'', unknown or state

    def _send(self, arrival: Arrival, daemon: str) -> tuple[bytes, str]:
        try:
            reply = self.fleet.ask(daemon, self._request(arrival), _TIMEOUT_S)
        except PeerConnectError:
            return b'', 'connection_refused/not_run'
        except PeerError as error:
            return b'', f'{error.code}/unknown'
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

    def _expected(self, arrival: Arrival) -> bytes:
        adapter = f'{arrival.adapter}@1'
        tokens = range(self.experiment.max_tokens)
        texts = (token_text(arrival.prompt, adapter, offset) for offset in tokens)
        return ''.join(texts).encode()


def _read_reply(arrival: Arrival, reply: HttpReply) -> tuple[bytes, str]:
    if reply.status >= HTTPStatus.BAD_REQUEST:
        return b'', _state(json.loads(reply.body)['error'])
    if arrival.is_action:
        return reply.body, ''
    lines = reply.body.split(b'\n\n')
    texts: list[str] = []
    for line in lines[:-1]:
        if line == _LAST_LINE:
            return ''.join(texts).encode(), ''
        event = json.loads(line.removeprefix(b'data: '))
        error = event.get('error')
        if error is not None:
            return b'', _state(error)
        texts.append(event['choices'][0]['text'])
    return b'', 'cut_stream/unknown'


def _state(error: Mapping[str, Any]) -> str:
    return f'{error["code"]}/{error["run"]}'


def _sleep_until(moment: float) -> None:
    time.sleep(max(0, moment - time.monotonic()))


def run_experiment(experiment: Experiment) -> Outcome:
    """Run an experiment with a fleet of its own."""
    with Fleet() as fleet:
        return Runner(experiment, fleet).run()


HEADER = (
    '| faults | requests | ok | refused, not run | other | p50 ms | p99 ms | broken |\n'
    '|---|---|---|---|---|---|---|---|'
)


def report_row(outcome: Outcome) -> str:
    """Return an outcome as a row of a Markdown table under `HEADER`."""
    total = len(outcome.results)
    ok = outcome.counts()['ok']
    not_run = sum(
        1
        for result in outcome.results
        if result.code != 'ok' and result.run_state == RunState.NOT_RUN
    )
    cells = (
        ' + '.join(outcome.experiment.faults) or 'none',
        total,
        ok,
        not_run,
        _other(outcome),
        f'{outcome.latency_ms(_MEDIAN):.0f}',
        f'{outcome.latency_ms(_TAIL):.0f}',
        '; '.join(outcome.broken) or 'none',
    )
    return f'| {" | ".join(str(cell) for cell in cells)} |'


def _other(outcome: Outcome) -> str:
    """Return how often each failure that may have run came, by code."""
    codes = Counter(
        f'{result.code}/{result.run_state}'
        for result in outcome.results
        if result.code != 'ok' and result.run_state != RunState.NOT_RUN
    )
    counts = (f'{count} {code}' for code, count in sorted(codes.items()))
    return ', '.join(counts) or '0'


def run(faults: str = '', **settings: Any) -> None:
    """Run one experiment and print its row; exit code 1 if a promise was broken.

    Parameters
    ----------
    faults : str
        Names joined by ``+``, such as ``kill-daemon+log-down``; ``all`` runs each alone,
        ``pairs`` each pair.
    settings
        Fields of `Experiment`, such as ``--rate_per_s=20``.
    """
    experiment = Experiment(**settings)
    is_broken = False
    sys.stdout.write(f'{HEADER}\n')
    for plan in _plans(faults):
        outcome = run_experiment(replace(experiment, faults=plan))
        is_broken = is_broken or bool(outcome.broken)
        sys.stdout.write(f'{report_row(outcome)}\n')
        sys.stdout.flush()
    sys.exit(1 if is_broken else 0)


def _plans(faults: str) -> Iterator[tuple[str, ...]]:
    names = tuple(FAULTS)
    if faults == 'all':
        yield ()
        yield from ((name,) for name in names)
    elif faults == 'pairs':
        for index, first in enumerate(names):
            yield from ((first, second) for second in names[index + 1 :])
    else:
        yield tuple(name for name in faults.split('+') if name)


def main() -> None:
    """Run ``pimentohoist-experiment``."""
    fire.Fire(run, name='pimentohoist-experiment')
