"""What operators do under load: withdraw a key, and race one another."""

from __future__ import annotations

import time
from collections.abc import Iterator, Sequence
from concurrent.futures import Future, ThreadPoolExecutor
from dataclasses import replace

from pimentohoist._http_client import HttpClient, HttpRequest
from pimentohoist._publisher import PublishResult
from pimentohoist.configuration import Configuration, Workspace
from pimentohoist.exceptions import PimentohoistError
from pimentohoist_standins._experiment_load import Result
from pimentohoist_standins._experiment_plan import workspace_name
from pimentohoist_standins._scene import Scene

_WITHDRAWAL_S = 5.0
_IN_FORCE_S = 10.0
_POLL_S = 0.1
_TIMEOUT_S = 5.0


class WithdrawnKey:
    """Implements `Fault`: the key of the busiest workspace is withdrawn."""

    def __init__(self) -> None:
        self.workspace = workspace_name(0)
        self.withdrawn_at_s: float | None = None
        self._pool = ThreadPoolExecutor(1)

    def cause(self, scene: Scene) -> None:
        """Withdraw the key, without waiting for it."""
        self._pool.submit(self._withdraw, scene)

    def heal(self, scene: Scene) -> None:
        """Leave the key withdrawn."""

    def broken(self, scene: Scene, results: Sequence[Result]) -> Iterator[str]:
        """Yield a line if the key still worked some seconds later."""
        self._pool.shutdown()
        if self.withdrawn_at_s is None:
            return
        last_s = self.withdrawn_at_s + _WITHDRAWAL_S
        late = sum(
            1
            for result in results
            if result.arrival.workspace == self.workspace
            and result.arrival.at_s > last_s
            and result.ending.is_ok
        )
        if late:
            yield f'{late} requests answered on a key withdrawn {_WITHDRAWAL_S:g} s before'

    def _withdraw(self, scene: Scene) -> None:
        sections = dict(scene.configuration.sections)
        sections.pop(f'keys/key-of-{self.workspace}')
        report = scene.publish(Configuration(sections), 'withdrawing')
        if report.verdict is not None and report.verdict['is_accepted']:
            self.withdrawn_at_s = scene.elapsed_s()


class RacingOperators:
    """Implements `Fault`: two change the same section at once, a third another one.

    Of the two at most one may be accepted; what was accepted must be in force on every
    daemon, and still at the end.
    """

    def __init__(self) -> None:
        self._pool = ThreadPoolExecutor(3)
        self.publishes: list[tuple[Workspace, Future[PublishResult]]] = []

    def cause(self, scene: Scene) -> None:
        """Publish three changes at once, without waiting for them."""
        sections = scene.configuration.sections
        first, second = (
            sections[f'workspaces/{workspace_name(index)}'] for index in (1, 2)
        )
        for less, section in ((1, first), (2, first), (1, second)):
            if isinstance(section, Workspace):
                changed = replace(section, burst_tokens=section.burst_tokens - less)
                self.publishes.append(
                    (changed, self._pool.submit(_publish, scene, changed))
                )

    def heal(self, scene: Scene) -> None:
        """Leave the changes."""

    def broken(self, scene: Scene, results: Sequence[Result]) -> Iterator[str]:
        """Yield a line for a lost or doubled update, or daemons that differ."""
        accepted = [
            section
            for section, publish in self.publishes
            if publish.exception() is None and _is_accepted(publish.result())
        ]
        names = [section.name for section in accepted]
        if len(set(names)) < len(names):
            yield 'two publishes on one section were accepted'
            return
        held = _await_same(scene)
        if len(held) > 1:
            yield f'{len(held)} configurations in force after {_IN_FORCE_S:g} s'
        for text in held:
            sections = Configuration.parse(text).sections.values()
            lost = [section.name for section in accepted if section not in sections]
            if lost:
                yield f'accepted changes lost: {", ".join(lost)}'


def _publish(scene: Scene, changed: Workspace) -> PublishResult:
    sections = dict(scene.configuration.sections)
    sections[f'workspaces/{changed.name}'] = changed
    return scene.publish(Configuration(sections), 'racing')


def _is_accepted(report: PublishResult) -> bool:
    return report.verdict is not None and report.verdict['is_accepted']


def _await_same(scene: Scene) -> set[str]:
    """Return the texts that daemons hold, one if they agree in time."""
    deadline = time.monotonic() + _IN_FORCE_S
    held = held_texts(scene)
    while len(held) != 1 and time.monotonic() < deadline:
        time.sleep(_POLL_S)
        held = held_texts(scene)
    return held


def held_texts(scene: Scene) -> set[str]:
    """Return the different texts that the running daemons hold."""
    texts: set[str] = set()
    for name in scene.running_daemons():
        address = scene.fleet.operators_address(name)
        client = HttpClient(address, timeout_s=_TIMEOUT_S, step='experiment')
        request = HttpRequest.of_json('GET', '/configuration')
        try:
            texts.add(str(client.ask_json(request)['text']))
        except PimentohoistError as error:
            texts.add(f'# {name}: {error}\n')
    return texts
