"""Checks of an experiment's invariants against the requests that endpoints received."""

from __future__ import annotations

import json
from collections import Counter
from collections.abc import Iterator, Mapping, Sequence
from typing import Any

from pimentohoist._http_connection import HttpRequest
from pimentohoist._openai import count_tokens
from pimentohoist.exceptions import RunState
from pimentohoist_standins._experiment_load import Result
from pimentohoist_standins._experiment_plan import Experiment
from pimentohoist_standins._run_context import RunContext, request_body


class Invariants:
    """Invariants that hold in every experiment, whatever its faults.

    Parameters
    ----------
    duration_s : float
        Duration of the experiment in seconds, for the workspaces' limits.
    """

    def __init__(
        self, experiment: Experiment, context: RunContext, duration_s: float
    ) -> None:
        self.experiment = experiment
        self.fleet = context.fleet
        self.keys = context.keys
        self.duration_s = duration_s
        self.received_requests = context.received_requests()

    def broken(self, results: Sequence[Result]) -> Iterator[str]:
        """Yield a line for each broken invariant."""
        yield from self._leaked_keys()
        yield from self._wrong_adapter_runs(results)
        yield from self._evictions_in_use()
        yield from self._incomplete_answers(results)
        yield from self._wrong_actions(results)
        yield from self._exceeded_limits()

    def _runs(self) -> Iterator[Mapping[str, Any]]:
        for name, entries in self.received_requests.items():
            if name.startswith('engine'):
                yield from (entry for entry in entries if 'request_id' in entry)

    def _leaked_keys(self) -> Iterator[str]:
        text = json.dumps(self.received_requests)
        if any(key in text for key in self.keys.values()):
            yield 'an endpoint saw a key'

    def _wrong_adapter_runs(self, results: Sequence[Result]) -> Iterator[str]:
        requested_adapters = {
            result.arrival.prompt: result.arrival.adapter for result in results
        }
        wrong_runs = sum(
            1
            for run in self._runs()
            if requested_adapters.get(request_body(run)['prompt'], run['adapter'])
            != run['adapter']
        )
        if wrong_runs:
            yield f'{wrong_runs} runs on the wrong adapter'

    def _evictions_in_use(self) -> Iterator[str]:
        for name in self.received_requests:
            if name.startswith('engine'):
                request = HttpRequest.from_json('GET', '/v1/violations')
                violations = self.fleet.request(name, request).document()['violations']
                if violations:
                    yield f'{name}: {len(violations)} evictions in use'

    def _incomplete_answers(self, results: Sequence[Result]) -> Iterator[str]:
        incomplete = sum(
            1 for result in results if result.code == 'ok' and not result.is_expected
        )
        if incomplete:
            yield f'{incomplete} answers not whole'

    def _wrong_actions(self, results: Sequence[Result]) -> Iterator[str]:
        posts = [
            entry
            for entry in self.received_requests['ledger']
            if entry['method'] == 'POST'
        ]
        counts = Counter(request_body(entry)['entry'] for entry in posts)
        repeated = sum(1 for count in counts.values() if count > 1)
        if repeated:
            yield f'{repeated} actions run more than once'
        actions = [result for result in results if result.arrival.is_action]
        answered_not_run = sum(
            1
            for result in actions
            if result.code == 'ok' and not counts[result.arrival.number]
        )
        if answered_not_run:
            yield f'{answered_not_run} actions answered but not run'
        falsely_not_run = sum(
            1
            for result in actions
            if result.run_state == RunState.NOT_RUN and counts[result.arrival.number]
        )
        if falsely_not_run:
            yield f'{falsely_not_run} actions refused as not run that were run'

    def _exceeded_limits(self) -> Iterator[str]:
        allowed_tokens = (
            self.experiment.rate_tokens_per_s * self.duration_s
            + self.experiment.burst_tokens
        )
        spent_tokens: Counter[str] = Counter()
        for run in self._runs():
            document = request_body(run)
            workspace = document['cache_salt']
            cost_tokens = count_tokens(document['prompt']) + document['max_tokens']
            spent_tokens[workspace] += cost_tokens - document['resume_offset']
        above_limit = sum(
            1 for tokens in spent_tokens.values() if tokens > allowed_tokens
        )
        if above_limit:
            yield f'{above_limit} workspaces above rate and burst'
