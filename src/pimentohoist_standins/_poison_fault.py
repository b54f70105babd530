"""Fault with a request that crashes every engine and that its caller repeats."""

from __future__ import annotations

import contextlib
from collections.abc import Iterator, Sequence
from concurrent.futures import Future, ThreadPoolExecutor
from typing import Any

from pimentohoist._http_connection import HttpRequest
from pimentohoist.exceptions import PeerError
from pimentohoist_standins._experiment_load import Result
from pimentohoist_standins._experiment_plan import workspace_name
from pimentohoist_standins._run_context import RunContext

_POISON_PROMPT = 'Poison for each engine that reads it.'
_MAX_ATTEMPTS = 4
_MAX_ENGINE_CRASHES = 2
_EXIT_CRASHED = 70
_REQUEST_TIMEOUT_S = 15.0


class PoisonRequest:
    """Implements `Fault`: one request may crash at most two engines."""

    def __init__(self) -> None:
        self.crashes = 0
        self._send_future: Future[None] | None = None
        self._pool = ThreadPoolExecutor(1)

    def inject(self, context: RunContext) -> None:
        """Send the request repeatedly in the background."""
        for engine in _engines(context):
            with contextlib.suppress(PeerError):
                context.fleet.control(engine, crash_on=_POISON_PROMPT)
        self._send_future = self._pool.submit(self._send_repeatedly, context)

    def heal(self, context: RunContext) -> None:
        """Do nothing, since the caller stops after its last attempt."""

    def broken_invariants(
        self, context: RunContext, results: Sequence[Result]
    ) -> Iterator[str]:
        """Yield a line if more than two engines crashed."""
        if self._send_future is not None:
            self._send_future.result()
        if self.crashes > _MAX_ENGINE_CRASHES:
            yield f'{self.crashes} engines crashed on one request'

    def _send_repeatedly(self, context: RunContext) -> None:
        daemons = context.experiment.daemon_names
        for attempt in range(_MAX_ATTEMPTS):
            with contextlib.suppress(PeerError):
                context.fleet.request(
                    daemons[attempt % len(daemons)],
                    _request(context),
                    _REQUEST_TIMEOUT_S,
                )
            self._restart_crashed(context)

    def _restart_crashed(self, context: RunContext) -> None:
        for engine in _engines(context):
            if context.fleet.processes[engine].popen.poll() == _EXIT_CRASHED:
                self.crashes += 1
                context.start_engine(engine)
                context.fleet.control(engine, crash_on=_POISON_PROMPT)


def _engines(context: RunContext) -> list[str]:
    return [name for name in context.fleet.addresses if name.startswith('engine')]


def _request(context: RunContext) -> HttpRequest:
    workspace = workspace_name(1)
    document: dict[str, Any] = {
        'model': 'adapter-1',
        'prompt': _POISON_PROMPT,
        'max_tokens': context.experiment.max_tokens,
    }
    request = HttpRequest.from_json('POST', '/v1/completions', document)
    headers = {**request.headers, 'Authorization': f'Bearer {context.keys[workspace]}'}
    return HttpRequest('POST', request.path, request.body, headers, is_repeatable=False)
