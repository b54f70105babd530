"""Publishes a configuration and follows it until it is in force."""

from __future__ import annotations

import time
import uuid
from collections.abc import Callable, Iterator, Mapping, Sequence
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from datetime import UTC, datetime
from functools import partial
from typing import Any

from pimentohoist._configuration_fold import (
    CONFIGURATION_STREAM,
    SectionChange,
    PublishRecord,
)
from pimentohoist._http_client import HttpClient, HttpRequest
from pimentohoist.configuration import Configuration, section_text
from pimentohoist.exceptions import (
    AppendUnknownError,
    PeerError,
    PublishConflictError,
)
from pimentohoist.protocols import Log

_STEP = 'publish'
_TIMEOUT_S = 10.0
_POLL_S = 0.05
_VERDICT_TIMEOUT_S = 1.0
_THREADS = 16

Verdicts = Mapping[str, Mapping[str, Any] | None]


@dataclass(frozen=True, slots=True)
class PublishResult:
    """What is known of a publish.

    Attributes
    ----------
    verdicts : mapping of str to mapping or None
        By daemon: its verdict; None if it has none yet or doesn't answer.
    """

    publish_id: str
    digest: str
    changes: int
    verdicts: Verdicts

    @property
    def is_in_force(self) -> bool:
        """Whether every live member has accepted it."""
        return all(
            verdict is not None and verdict['is_accepted']
            for verdict in self.verdicts.values()
        )

    @property
    def verdict(self) -> Mapping[str, Any] | None:
        """What was decided, the same at every daemon; None if none tells."""
        return next(filter(None, self.verdicts.values()), None)

    def text(self) -> str:
        """Return the report for a person."""
        if not self.changes:
            return f'nothing to change, digest {self.digest}'
        if self.is_in_force:
            return (
                f'in force on {len(self.verdicts)} daemons: '
                f'{self.changes} sections changed, digest {self.digest}'
            )
        known = 'not known whether it was accepted'
        if self.verdict is not None:
            known = _decision(self.verdict)
        missing = [name for name, verdict in self.verdicts.items() if verdict is None]
        where = f'; not known of {", ".join(missing)}' if missing else ''
        return f'publish {self.publish_id}: {known}{where}'


def _decision(verdict: Mapping[str, Any]) -> str:
    if verdict['is_accepted']:
        return f'accepted at offset {verdict["offset"]}'
    moved = [f'{name} changed meanwhile' for name in verdict['conflicts']]
    return f'rejected: {"; ".join(moved + list(verdict["faults"]))}'


def _ignore(line: str) -> None:
    """Stand in for the listener where there is none."""


class Publisher:
    """Publishes to the log and asks the live members what came of it.

    Parameters
    ----------
    daemons : sequence of str
        Operators' addresses of some daemons; they name the other live members.
    tell : callable
        Is given a line whenever the publish is one step further.
    """

    def __init__(
        self,
        log: Log,
        daemons: Sequence[str],
        operator: str,
        tell: Callable[[str], None] = _ignore,
    ) -> None:
        self.log = log
        self.operator = operator
        self.daemons = tuple(daemons)
        self.tell = tell

    def in_force(self) -> Configuration:
        """Return what is in force at the first daemon that answers."""
        return Configuration.parse(str(self._in_force()['text']))

    def publish(
        self, configuration: Configuration, base: Configuration | None = None
    ) -> PublishResult:
        """Replace what is in force by `configuration`, section by section.

        Parameters
        ----------
        base : Configuration or None
            What the operator started from: only the sections that differ from it are
            changed. If None, what is in force now.

        Raises
        ------
        PublishConflictError
            A section is neither as in `base` nor as in `configuration`.
        PeerError
            No daemon tells what is in force.
        LogError
            Nothing was published.
        """
        in_force = self._in_force()
        changes = tuple(_find_changes(in_force, configuration, base))
        if not changes:
            return PublishResult('', configuration.digest(), 0, {})
        publish = PublishRecord(
            publish_id=uuid.uuid4().hex,
            operator=self.operator,
            base_offset=in_force['next_offset'],
            published_at=datetime.now(UTC).isoformat(timespec='seconds'),
            changes=changes,
        )
        self.tell(f'publish {publish.publish_id}: {len(changes)} sections')
        self._append(publish)
        self.tell('the log has it; waiting for every live member')
        verdicts = self._await_all(publish.publish_id)
        return PublishResult(
            publish.publish_id, configuration.digest(), len(changes), verdicts
        )

    def _in_force(self) -> Mapping[str, Any]:
        document: Mapping[str, Any] = self._ask_any('/configuration')
        if 'text' not in document:
            raise PeerError('not the answer of a daemon', step=_STEP)
        return document

    def _ask_any(self, path: str) -> Any:
        """Return the answer of the first daemon that answers."""
        errors: list[PeerError] = []
        for address in self.daemons:
            try:
                return _ask(address, path)
            except PeerError as error:
                errors.append(error)
        raise errors[0]

    def _append(self, publish: PublishRecord) -> None:
        body = publish.model_dump_json().encode()
        try:
            self.log.append(CONFIGURATION_STREAM, [body])
        except AppendUnknownError:
            # The daemons' verdicts tell whether it took effect.
            return

    def _await_all(self, publish_id: str) -> Verdicts:
        """Ask every daemon that is a live member until each has a verdict."""
        deadline = time.monotonic() + _TIMEOUT_S
        found: dict[str, Mapping[str, Any] | None] = {}
        told = 0
        ask = partial(_ask_verdict, publish_id)
        with ThreadPoolExecutor(_THREADS) as pool:
            while time.monotonic() < deadline:
                waiting = [name for name in self._live() if found.get(name) is None]
                found.update(zip(waiting, pool.map(ask, waiting), strict=True))
                live = self._live()
                found = {name: found.get(name) for name in live}
                decided = sum(1 for verdict in found.values() if verdict)
                if decided != told:
                    self.tell(f'decided on {decided} of {len(live)} daemons')
                    told = decided
                if all(found.values()):
                    break
                time.sleep(_POLL_S)
        return found

    def _live(self) -> tuple[str, ...]:
        """Return the daemons that were given and the members that they know."""
        members: tuple[str, ...] = ()
        try:
            members = _members(self._ask_any('/state'))
        except PeerError:
            return self.daemons
        return tuple(dict.fromkeys(self.daemons + members))


def _members(state: Mapping[str, Any]) -> tuple[str, ...]:
    addresses = (member['operators_address'] for member in state['view']['members'])
    return tuple(sorted(filter(None, addresses)))


def _ask_verdict(publish_id: str, address: str) -> Mapping[str, Any] | None:
    try:
        verdict: Mapping[str, Any] | None = _ask(
            address, f'/publishes?id={publish_id}', _VERDICT_TIMEOUT_S
        )
    except PeerError:
        return None
    return verdict


def _ask(address: str, path: str, timeout_s: float = _TIMEOUT_S) -> Any:
    client = HttpClient(address, timeout_s=timeout_s, step=_STEP)
    return client.ask_json(HttpRequest.of_json('GET', path))


def _find_changes(
    in_force: Mapping[str, Any],
    configuration: Configuration,
    base: Configuration | None,
) -> Iterator[SectionChange]:
    now = Configuration.parse(in_force['text'])
    wanted = list(find_changes(base or now, configuration))
    if base is not None:
        wanted = [change for change in wanted if not _is_as(now, change)]
        moved = tuple(
            change.section
            for change in wanted
            if now.sections.get(change.section) != base.sections.get(change.section)
        )
        if moved:
            raise PublishConflictError(moved, step=_STEP)
    yield from wanted


def _is_as(configuration: Configuration, change: SectionChange) -> bool:
    section = configuration.sections.get(change.section)
    if section is None:
        return change.text is None
    return change.text == section_text(section)


def find_changes(
    base: Configuration, configuration: Configuration
) -> Iterator[SectionChange]:
    """Yield the changes that lead from `base` to `configuration`."""
    before = base.sections
    after = configuration.sections
    for identity in sorted(before.keys() | after.keys()):
        if before.get(identity) != after.get(identity):
            section = after.get(identity)
            text = None if section is None else section_text(section)
            yield SectionChange(section=identity, text=text)
