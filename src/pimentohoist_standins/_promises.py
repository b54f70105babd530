"""Checks what must always hold against what the endpoints saw."""

from __future__ import annotations

import json
from collections import Counter
from collections.abc import Iterator, Mapping, Sequence
from typing import Any

from pimentohoist._http_client import HttpRequest
from pimentohoist._openai import count_tokens
from pimentohoist.exceptions import RunState
from pimentohoist_standins._experiment_load import Result
from pimentohoist_standins._experiment_plan import Experiment
from pimentohoist_standins._scene import Scene, run_body


class Promises:
    """The promises of one experiment.

    Parameters
    ----------
    duration_s : float
        Whole time of the experiment, for the workspaces' limits.
    """

    def __init__(self, sizes: Experiment, scene: Scene, duration_s: float) -> None:
        self.sizes = sizes
        self.fleet = scene.fleet
        self.keys = scene.keys
        self.duration_s = duration_s
        self.seen = scene.seen()

    def broken(self, results: Sequence[Result]) -> Iterator[str]:
        """Yield a line for each promise that was broken."""
        yield from self._keys_seen()
        yield from self._wrong_adapters(results)
        yield from self._evictions()
        yield from self._cut_answers(results)
        yield from self._actions(results)
        yield from self._limits()

    def _runs(self) -> Iterator[Mapping[str, Any]]:
        for name, entries in self.seen.items():
            if name.startswith('engine'):
                yield from (entry for entry in entries if 'request_id' in entry)

    def _keys_seen(self) -> Iterator[str]:
        text = json.dumps(self.seen)
        if any(key in text for key in self.keys.values()):
            yield 'an endpoint saw a key'

    def _wrong_adapters(self, results: Sequence[Result]) -> Iterator[str]:
        asked = {result.arrival.prompt: result.arrival.adapter for result in results}
        wrong = sum(
            1
            for run in self._runs()
            if asked.get(run_body(run)['prompt'], run['adapter']) != run['adapter']
        )
        if wrong:
            yield f'{wrong} runs on the wrong adapter'

    def _evictions(self) -> Iterator[str]:
        for name in self.seen:
            if name.startswith('engine'):
                request = HttpRequest.of_json('GET', '/v1/violations')
                violations = self.fleet.ask(name, request).document()['violations']
                if violations:
                    yield f'{name}: {len(violations)} evictions in use'

    def _cut_answers(self, results: Sequence[Result]) -> Iterator[str]:
        cut = sum(
            1 for result in results if result.code == 'ok' and not result.is_whole
        )
        if cut:
            yield f'{cut} answers not whole'

    def _actions(self, results: Sequence[Result]) -> Iterator[str]:
        posts = [entry for entry in self.seen['ledger'] if entry['method'] == 'POST']
        counts = Counter(run_body(entry)['entry'] for entry in posts)
        doubled = sum(1 for count in counts.values() if count > 1)
        if doubled:
            yield f'{doubled} actions run more than once'
        actions = [result for result in results if result.arrival.is_action]
        lost = sum(
            1
            for result in actions
            if result.code == 'ok' and not counts[result.arrival.number]
        )
        if lost:
            yield f'{lost} actions answered but not run'
        untrue = sum(
            1
            for result in actions
            if result.run_state == RunState.NOT_RUN and counts[result.arrival.number]
        )
        if untrue:
            yield f'{untrue} actions refused as not run that were run'

    def _limits(self) -> Iterator[str]:
        allowed = (
            self.sizes.rate_tokens_per_s * self.duration_s + self.sizes.burst_tokens
        )
        spent: Counter[str] = Counter()
        for run in self._runs():
            document = run_body(run)
            workspace = document['cache_salt']
            cost = count_tokens(document['prompt']) + document['max_tokens']
            spent[workspace] += cost - document['resume_offset']
        over = sum(1 for tokens in spent.values() if tokens > allowed)
        if over:
            yield f'{over} workspaces above rate and burst'
