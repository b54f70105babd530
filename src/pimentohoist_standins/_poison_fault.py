"""A request that crashes each engine that runs it, and that its caller sends again."""

from __future__ import annotations

import contextlib
from collections.abc import Iterator, Sequence
from concurrent.futures import Future, ThreadPoolExecutor
from typing import Any

from pimentohoist._http_client import HttpRequest
from pimentohoist.exceptions import PeerError
from pimentohoist_standins._experiment_load import Result
from pimentohoist_standins._experiment_plan import workspace_name
from pimentohoist_standins._scene import Scene

_PROMPT = 'Poison for each engine that reads it.'
_SENDS = 4
_MAX_CRASHES = 2
_EXIT_CRASHED = 70
_TIMEOUT_S = 15.0


class Poison:
    """Implements `Fault`: no more than two engines may crash on one request."""

    def __init__(self) -> None:
        self.crashes = 0
        self._sending: Future[None] | None = None
        self._pool = ThreadPoolExecutor(1)

    def cause(self, scene: Scene) -> None:
        """Send the request again and again, without waiting for it."""
        for engine in _engines(scene):
            with contextlib.suppress(PeerError):
                scene.fleet.control(engine, crash_on=_PROMPT)
        self._sending = self._pool.submit(self._send_often, scene)

    def heal(self, scene: Scene) -> None:
        """Leave the caller: it ends by itself."""

    def broken(self, scene: Scene, results: Sequence[Result]) -> Iterator[str]:
        """Yield a line if more engines crashed than may."""
        if self._sending is not None:
            self._sending.result()
        if self.crashes > _MAX_CRASHES:
            yield f'{self.crashes} engines crashed on one request'

    def _send_often(self, scene: Scene) -> None:
        daemons = scene.experiment.daemon_names
        for attempt in range(_SENDS):
            with contextlib.suppress(PeerError):
                scene.fleet.ask(
                    daemons[attempt % len(daemons)], _request(scene), _TIMEOUT_S
                )
            self._restart_crashed(scene)

    def _restart_crashed(self, scene: Scene) -> None:
        for engine in _engines(scene):
            if scene.fleet.processes[engine].popen.poll() == _EXIT_CRASHED:
                self.crashes += 1
                scene.start_engine(engine)
                scene.fleet.control(engine, crash_on=_PROMPT)


def _engines(scene: Scene) -> list[str]:
    return [name for name in scene.fleet.addresses if name.startswith('engine')]


def _request(scene: Scene) -> HttpRequest:
    workspace = workspace_name(1)
    document: dict[str, Any] = {
        'model': 'adapter-1',
        'prompt': _PROMPT,
        'max_tokens': scene.experiment.max_tokens,
    }
    request = HttpRequest.of_json('POST', '/v1/completions', document)
    headers = {**request.headers, 'Authorization': f'Bearer {scene.keys[workspace]}'}
    return HttpRequest('POST', request.path, request.body, headers, is_repeatable=False)
