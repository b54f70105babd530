"""Publishing of a configuration, and waiting until it is in force."""

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
from pimentohoist._http_client import HttpClient
from pimentohoist._http_connection import HttpRequest
from pimentohoist.configuration import Configuration, section_text
from pimentohoist.exceptions import (
    AppendUnknownError,
    PeerError,
    PublishConflictError,
)
from pimentohoist.protocols import Log

_STEP = 'publish'
_TIMEOUT_S = 10.0
_POLL_INTERVAL_S = 0.05
_VERDICT_REQUEST_TIMEOUT_S = 1.0
_MAX_THREADS = 16

Verdicts = Mapping[str, Mapping[str, Any] | None]


@dataclass(frozen=True, slots=True)
class PublishResult:
    """Result of a publish, as far as the daemons reported it.

    Attributes
    ----------
    verdicts : mapping of str to mapping or None
        Verdict of each daemon, by its address; None if the daemon has none yet or
        didn't answer.
    """

    publish_id: str
    digest: str
    changes: int
    verdicts: Verdicts

    @property
    def is_in_force(self) -> bool:
        """Whether every live member has accepted the publish."""
        return all(
            verdict is not None and verdict['is_accepted']
            for verdict in self.verdicts.values()
        )

    @property
    def verdict(self) -> Mapping[str, Any] | None:
        """The verdict, the same at every daemon; None if no daemon returned it."""
        return next(filter(None, self.verdicts.values()), None)

    def text(self) -> str:
        """Return the result as text for operators."""
        if not self.changes:
            return f'nothing to change, digest {self.digest}'
        if self.is_in_force:
            return (
                f'in force on {len(self.verdicts)} daemons: '
                f'{self.changes} sections changed, digest {self.digest}'
            )
        decision = 'not known whether it was accepted'
        if self.verdict is not None:
            decision = _format_verdict(self.verdict)
        missing = [name for name, verdict in self.verdicts.items() if verdict is None]
        where = f'; not known of {", ".join(missing)}' if missing else ''
        return f'publish {self.publish_id}: {decision}{where}'


def _format_verdict(verdict: Mapping[str, Any]) -> str:
    if verdict['is_accepted']:
        return f'accepted at offset {verdict["offset"]}'
    conflicts = [f'{name} changed meanwhile' for name in verdict['conflicts']]
    return f'rejected: {"; ".join(conflicts + list(verdict["faults"]))}'


def _discard_progress(line: str) -> None:
    """Discard a line of progress."""


class Publisher:
    """Publishes to the log and requests the verdict from each live member.

    Parameters
    ----------
    daemons : sequence of str
        Operators' addresses of some daemons, which return those of the other members.
    report_progress : callable
        Called with a line of text after each step of a publish.
    """

    def __init__(
        self,
        log: Log,
        daemons: Sequence[str],
        operator: str,
        report_progress: Callable[[str], None] = _discard_progress,
    ) -> None:
        self.log = log
        self.operator = operator
        self.daemons = tuple(daemons)
        self.report_progress = report_progress

    def in_force(self) -> Configuration:
        """Return the configuration in force at the first daemon that answers."""
        return Configuration.parse(str(self._fetch_in_force()['text']))

    def publish(
        self, configuration: Configuration, base: Configuration | None = None
    ) -> PublishResult:
        """Replace the configuration in force by `configuration`, section by section.

        Parameters
        ----------
        base : Configuration or None
            Configuration that the operator edited; only the sections that differ from
            it are changed. If None, the configuration in force now.

        Raises
        ------
        PublishConflictError
            A section is neither as in `base` nor as in `configuration`.
        PeerError
            No daemon returned the configuration in force.
        LogError
            Nothing was published.
        """
        in_force = self._fetch_in_force()
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
        self.report_progress(f'publish {publish.publish_id}: {len(changes)} sections')
        self._append(publish)
        self.report_progress('the log has it; waiting for every live member')
        verdicts = self._wait_for_verdicts(publish.publish_id)
        return PublishResult(
            publish.publish_id, configuration.digest(), len(changes), verdicts
        )

    def _fetch_in_force(self) -> Mapping[str, Any]:
        document: Mapping[str, Any] = self._get_from_any('/configuration')
        if 'text' not in document:
            raise PeerError('not the answer of a daemon', step=_STEP)
        return document

    def _get_from_any(self, path: str) -> Any:
        """Return the response of the first daemon that answers."""
        errors: list[PeerError] = []
        for address in self.daemons:
            try:
                return _get_json(address, path)
            except PeerError as error:
                errors.append(error)
        raise errors[0]

    def _append(self, publish: PublishRecord) -> None:
        body = publish.model_dump_json().encode()
        try:
            self.log.append(CONFIGURATION_STREAM, [body])
        except AppendUnknownError:
            # The daemons' verdicts show whether the publish took effect.
            return

    def _wait_for_verdicts(self, publish_id: str) -> Verdicts:
        """Poll every live member until each has a verdict or the deadline passes."""
        deadline = time.monotonic() + _TIMEOUT_S
        found: dict[str, Mapping[str, Any] | None] = {}
        reported = 0
        fetch = partial(_fetch_verdict, publish_id)
        with ThreadPoolExecutor(_MAX_THREADS) as pool:
            while time.monotonic() < deadline:
                waiting = [
                    name for name in self._live_daemons() if found.get(name) is None
                ]
                found.update(zip(waiting, pool.map(fetch, waiting), strict=True))
                live = self._live_daemons()
                found = {name: found.get(name) for name in live}
                decided = sum(1 for verdict in found.values() if verdict)
                if decided != reported:
                    self.report_progress(f'decided on {decided} of {len(live)} daemons')
                    reported = decided
                if all(found.values()):
                    break
                time.sleep(_POLL_INTERVAL_S)
        return found

    def _live_daemons(self) -> tuple[str, ...]:
        """Return the configured daemons and the members of their view."""
        members: tuple[str, ...] = ()
        try:
            members = _member_addresses(self._get_from_any('/state'))
        except PeerError:
            return self.daemons
        return tuple(dict.fromkeys(self.daemons + members))


def _member_addresses(state: Mapping[str, Any]) -> tuple[str, ...]:
    addresses = (member['operators_address'] for member in state['view']['members'])
    return tuple(sorted(filter(None, addresses)))


def _fetch_verdict(publish_id: str, address: str) -> Mapping[str, Any] | None:
    try:
        verdict: Mapping[str, Any] | None = _get_json(
            address, f'/publishes?id={publish_id}', _VERDICT_REQUEST_TIMEOUT_S
        )
    except PeerError:
        return None
    return verdict


def _get_json(address: str, path: str, timeout_s: float = _TIMEOUT_S) -> Any:
    client = HttpClient(address, timeout_s=timeout_s, step=_STEP)
    return client.request_json(HttpRequest.from_json('GET', path))


def _find_changes(
    in_force: Mapping[str, Any],
    configuration: Configuration,
    base: Configuration | None,
) -> Iterator[SectionChange]:
    now = Configuration.parse(in_force['text'])
    wanted = list(find_changes(base or now, configuration))
    if base is not None:
        wanted = [change for change in wanted if not _is_applied(now, change)]
        conflicts = tuple(
            change.section
            for change in wanted
            if now.sections.get(change.section) != base.sections.get(change.section)
        )
        if conflicts:
            raise PublishConflictError(conflicts, step=_STEP)
    yield from wanted


def _is_applied(configuration: Configuration, change: SectionChange) -> bool:
    section = configuration.sections.get(change.section)
    if section is None:
        return change.text is None
    return change.text == section_text(section)


def find_changes(
    base: Configuration, configuration: Configuration
) -> Iterator[SectionChange]:
    """Yield the changes that turn `base` into `configuration`."""
    before = base.sections
    after = configuration.sections
    for identity in sorted(before.keys() | after.keys()):
        if before.get(identity) != after.get(identity):
            section = after.get(identity)
            text = None if section is None else section_text(section)
            yield SectionChange(section=identity, text=text)
