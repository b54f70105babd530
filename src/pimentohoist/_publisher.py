"""Publishes a configuration and follows it until it is in force."""

from __future__ import annotations

import time
import uuid
from collections.abc import Iterator, Mapping, Sequence
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from typing import Any

from pimentohoist._configuration_fold import CONFIGURATION_STREAM, Change, Publish
from pimentohoist._http_client import HttpClient, HttpRequest
from pimentohoist.configuration import Configuration, section_text
from pimentohoist.exceptions import AppendUnknownError, PeerError
from pimentohoist.protocols import Log

_STEP = 'publish'
_TIMEOUT_S = 10.0
_POLL_S = 0.05


@dataclass(frozen=True, slots=True)
class Report:
    """What is known of a publish.

    Attributes
    ----------
    verdicts : mapping of str to mapping or None
        By daemon: its verdict; None if it has none yet or doesn't answer.
    """

    publish_id: str
    digest: str
    changes: int
    verdicts: Mapping[str, Mapping[str, Any] | None]

    @property
    def is_in_force(self) -> bool:
        """Whether every daemon has accepted it."""
        return all(
            verdict is not None and verdict['is_accepted']
            for verdict in self.verdicts.values()
        )

    def text(self) -> str:
        """Return the report for a person."""
        if self.is_in_force:
            return f'in force: {self.changes} sections changed, digest {self.digest}'
        lines = (_line(daemon, verdict) for daemon, verdict in self.verdicts.items())
        return '; '.join(lines)


def _line(daemon: str, verdict: Mapping[str, Any] | None) -> str:
    if verdict is None:
        return f'{daemon}: not known'
    if verdict['is_accepted']:
        return f'{daemon}: in force'
    reasons = [f'changed meanwhile: {name}' for name in verdict['conflicts']]
    return f'{daemon}: rejected: {", ".join(reasons + list(verdict["faults"]))}'


class Publisher:
    """Publishes to the log and asks the daemons what came of it."""

    def __init__(self, log: Log, daemons: Sequence[str], operator: str) -> None:
        self.log = log
        self.operator = operator
        self.clients = {
            address: HttpClient(address, timeout_s=_TIMEOUT_S, step=_STEP)
            for address in daemons
        }

    def publish(self, configuration: Configuration) -> Report:
        """Replace what is in force by `configuration`, section by section.

        Raises
        ------
        PeerError
            No daemon tells what is in force.
        LogError
            Nothing was published.
        """
        base = self._base()
        changes = tuple(find_changes(base, configuration))
        if not changes:
            return Report('', configuration.digest(), 0, {})
        publish = Publish(
            publish_id=uuid.uuid4().hex,
            operator=self.operator,
            base_offset=base['next_offset'],
            changes=changes,
        )
        self._append(publish)
        verdicts = self._verdicts(publish.publish_id)
        return Report(
            publish.publish_id, configuration.digest(), len(changes), verdicts
        )

    def _base(self) -> Mapping[str, Any]:
        client = next(iter(self.clients.values()))
        document: Mapping[str, Any] = client.ask_json(
            HttpRequest.of_json('GET', '/configuration')
        )
        return document

    def _append(self, publish: Publish) -> None:
        body = publish.model_dump_json().encode()
        try:
            self.log.append(CONFIGURATION_STREAM, [body])
        except AppendUnknownError:
            # The daemons' verdicts tell whether it took effect.
            return

    def _verdicts(self, publish_id: str) -> dict[str, Mapping[str, Any] | None]:
        with ThreadPoolExecutor(len(self.clients)) as pool:
            found = pool.map(
                lambda client: self._await(client, publish_id), self.clients.values()
            )
            return dict(zip(self.clients, found, strict=True))

    def _await(self, client: HttpClient, publish_id: str) -> Mapping[str, Any] | None:
        give_up_at = time.monotonic() + _TIMEOUT_S
        request = HttpRequest.of_json('GET', f'/publishes?id={publish_id}')
        while time.monotonic() < give_up_at:
            try:
                verdict: Mapping[str, Any] | None = client.ask_json(request)
            except PeerError:
                verdict = None
            if verdict is not None:
                return verdict
            time.sleep(_POLL_S)
        return None


def find_changes(
    base: Mapping[str, Any], configuration: Configuration
) -> Iterator[Change]:
    """Yield the changes from what is in force to `configuration`."""
    before = Configuration.parse(base['text']).sections
    after = configuration.sections
    for identity in sorted(before.keys() | after.keys()):
        if before.get(identity) == after.get(identity):
            continue
        section = after.get(identity)
        yield Change(
            section=identity,
            text=None if section is None else section_text(section),
        )
