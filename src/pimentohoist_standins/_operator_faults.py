"""Faults caused by operators under load: a withdrawn key and racing publishes."""

from __future__ import annotations

import time
from collections.abc import Iterator, Sequence
from concurrent.futures import Future, ThreadPoolExecutor
from dataclasses import replace

from pimentohoist._http_client import HttpClient
from pimentohoist._http_connection import HttpRequest
from pimentohoist._publisher import PublishResult
from pimentohoist.configuration import Configuration, Workspace
from pimentohoist.exceptions import PimentohoistError
from pimentohoist_standins._experiment_load import Result
from pimentohoist_standins._experiment_plan import workspace_name
from pimentohoist_standins._run_context import RunContext

_MAX_WITHDRAWAL_S = 5.0
_IN_FORCE_TIMEOUT_S = 10.0
_POLL_S = 0.1
_CLIENT_TIMEOUT_S = 5.0


class WithdrawnKey:
    """Implements `Fault`: withdraws the key of the busiest workspace."""

    def __init__(self) -> None:
        self.workspace = workspace_name(0)
        self.withdrawn_at_s: float | None = None
        self._pool = ThreadPoolExecutor(1)

    def inject(self, context: RunContext) -> None:
        """Publish the withdrawal in the background."""
        self._pool.submit(self._withdraw, context)

    def heal(self, context: RunContext) -> None:
        """Leave the key withdrawn."""

    def broken_invariants(
        self, context: RunContext, results: Sequence[Result]
    ) -> Iterator[str]:
        """Yield a line if a request was answered over 5 s after the withdrawal."""
        self._pool.shutdown()
        if self.withdrawn_at_s is None:
            return
        deadline_s = self.withdrawn_at_s + _MAX_WITHDRAWAL_S
        late_answers = sum(
            1
            for result in results
            if result.arrival.workspace == self.workspace
            and result.arrival.at_s > deadline_s
            and result.outcome.is_ok
        )
        if late_answers:
            yield (
                f'{late_answers} requests answered on a key withdrawn '
                f'{_MAX_WITHDRAWAL_S:g} s before'
            )

    def _withdraw(self, context: RunContext) -> None:
        sections = dict(context.configuration.sections)
        sections.pop(f'keys/key-of-{self.workspace}')
        report = context.publish(Configuration(sections), 'withdrawing')
        if report.verdict is not None and report.verdict['is_accepted']:
            self.withdrawn_at_s = context.elapsed_s()


class RacingOperators:
    """Implements `Fault`: three concurrent publishes, two of them on one section.

    At most one of these two may be accepted. Accepted changes must be in force on every
    daemon at the end of the experiment.
    """

    def __init__(self) -> None:
        self._pool = ThreadPoolExecutor(3)
        self.publishes: list[tuple[Workspace, Future[PublishResult]]] = []

    def inject(self, context: RunContext) -> None:
        """Publish three changes concurrently in the background."""
        sections = context.configuration.sections
        first, second = (
            sections[f'workspaces/{workspace_name(index)}'] for index in (1, 2)
        )
        for burst_reduction, section in ((1, first), (2, first), (1, second)):
            if isinstance(section, Workspace):
                changed = replace(
                    section, burst_tokens=section.burst_tokens - burst_reduction
                )
                self.publishes.append(
                    (changed, self._pool.submit(_publish, context, changed))
                )

    def heal(self, context: RunContext) -> None:
        """Leave the changes in force."""

    def broken_invariants(
        self, context: RunContext, results: Sequence[Result]
    ) -> Iterator[str]:
        """Yield a line for each lost or doubled update and for diverging daemons."""
        accepted = [
            section
            for section, publish in self.publishes
            if publish.exception() is None and _is_accepted(publish.result())
        ]
        names = [section.name for section in accepted]
        if len(set(names)) < len(names):
            yield 'two publishes on one section were accepted'
            return
        texts_held = _wait_for_agreement(context)
        if len(texts_held) > 1:
            yield (
                f'{len(texts_held)} configurations in force '
                f'after {_IN_FORCE_TIMEOUT_S:g} s'
            )
        for text in texts_held:
            sections = Configuration.parse(text).sections.values()
            lost_sections = [
                section.name for section in accepted if section not in sections
            ]
            if lost_sections:
                yield f'accepted changes lost: {", ".join(lost_sections)}'


def _publish(context: RunContext, changed: Workspace) -> PublishResult:
    sections = dict(context.configuration.sections)
    sections[f'workspaces/{changed.name}'] = changed
    return context.publish(Configuration(sections), 'racing')


def _is_accepted(report: PublishResult) -> bool:
    return report.verdict is not None and report.verdict['is_accepted']


def _wait_for_agreement(context: RunContext) -> set[str]:
    """Return the daemons' configuration texts; only one if they agree in time."""
    deadline = time.monotonic() + _IN_FORCE_TIMEOUT_S
    texts_held = configuration_texts(context)
    while len(texts_held) != 1 and time.monotonic() < deadline:
        time.sleep(_POLL_S)
        texts_held = configuration_texts(context)
    return texts_held


def configuration_texts(context: RunContext) -> set[str]:
    """Return the distinct configuration texts of the running daemons."""
    texts: set[str] = set()
    for name in context.running_daemons():
        address = context.fleet.operators_address(name)
        client = HttpClient(address, timeout_s=_CLIENT_TIMEOUT_S, step='experiment')
        request = HttpRequest.from_json('GET', '/configuration')
        try:
            texts.add(str(client.request_json(request)['text']))
        except PimentohoistError as error:
            texts.add(f'# {name}: {error}\n')
    return texts
