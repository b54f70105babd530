"""Fold of the configuration stream: certification by section versions."""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Annotated, Any, Literal

from pydantic import BaseModel, Field, TypeAdapter, ValidationError

from pimentohoist.configuration import (
    Configuration,
    Section,
    find_faults,
    parse_sections,
    references,
    section_id,
)
from pimentohoist.exceptions import ConfigurationError
from pimentohoist.models import LogRecord

CONFIGURATION_STREAM = 'configuration'


class Change(BaseModel, frozen=True, extra='forbid'):
    """A section's replacement; `text` None removes it."""

    section: str
    base_version: Annotated[int, Field(ge=0)]
    text: str | None


class Publish(BaseModel, frozen=True, extra='forbid'):
    """A record of the configuration stream."""

    kind: Literal['publish'] = 'publish'
    publish_id: str
    operator: str = ''
    changes: tuple[Change, ...]


_RECORD: TypeAdapter[Publish] = TypeAdapter(Publish)


@dataclass(frozen=True, slots=True)
class Verdict:
    """What the fold decided on a publish.

    Attributes
    ----------
    offset : int
        Offset of the publish record.
    conflicts : tuple of str
        Sections that had changed meanwhile.
    faults : tuple of str
        Contradictions that the result would have.
    """

    offset: int
    conflicts: tuple[str, ...] = ()
    faults: tuple[str, ...] = ()

    @property
    def is_accepted(self) -> bool:
        """Whether the publish took effect."""
        return not self.conflicts and not self.faults


class ConfigurationFold:
    """State of the configuration stream.

    A section's version is one more than the offset of the record that last changed it;
    a section that never was has version 0.
    """

    def __init__(self) -> None:
        self.sections: dict[str, Section] = {}
        self.versions: dict[str, int] = {}
        self.verdicts: dict[str, Verdict] = {}
        self.skipped_records = 0
        self._next_offset = 0

    @property
    def next_offset(self) -> int:
        """Offset of the first record not yet applied."""
        return self._next_offset

    @property
    def configuration(self) -> Configuration:
        """The configuration in force."""
        return Configuration(dict(self.sections))

    def apply(self, record: LogRecord) -> None:
        """Apply one record; a broken or foreign one is counted and skipped."""
        self._next_offset = record.offset + 1
        try:
            publish = _RECORD.validate_json(record.body)
        except ValidationError:
            self.skipped_records += 1
            return
        if publish.publish_id in self.verdicts:
            return
        self.verdicts[publish.publish_id] = self._decide(publish, record.offset)

    def snapshot(self) -> bytes:
        """Return the whole state."""
        return json.dumps(
            {
                'next_offset': self._next_offset,
                'text': self.configuration.text(),
                'versions': self.versions,
                'skipped_records': self.skipped_records,
                'verdicts': {
                    publish_id: [verdict.offset, verdict.conflicts, verdict.faults]
                    for publish_id, verdict in self.verdicts.items()
                },
            }
        ).encode()

    def restore(self, body: bytes) -> None:
        """Replace the state by a snapshot's, if that covers more."""
        document: Mapping[str, Any] = json.loads(body)
        if document['next_offset'] <= self._next_offset:
            return
        self.sections = dict(Configuration.parse(document['text']).sections)
        self.versions = dict(document['versions'])
        self.skipped_records = document['skipped_records']
        self.verdicts = {
            publish_id: Verdict(offset, tuple(conflicts), tuple(faults))
            for publish_id, (offset, conflicts, faults) in document['verdicts'].items()
        }
        self._next_offset = document['next_offset']

    def _decide(self, publish: Publish, offset: int) -> Verdict:
        conflicts = tuple(
            change.section
            for change in publish.changes
            if self.versions.get(change.section, 0) != change.base_version
        )
        if conflicts:
            return Verdict(offset, conflicts=conflicts)
        try:
            result = self._certify(publish)
        except ConfigurationError as error:
            return Verdict(offset, faults=error.faults)
        self.sections = result
        for change in publish.changes:
            self.versions[change.section] = offset + 1
        return Verdict(offset)

    def _certify(self, publish: Publish) -> dict[str, Section]:
        result = dict(self.sections)
        changed: list[Section] = []
        for change in publish.changes:
            result.pop(change.section, None)
            if change.text is not None:
                changed.append(_parse_change(change))
        result.update((section_id(section), section) for section in changed)
        faults = tuple(find_faults(result, changed)) + _dangling(result, publish)
        if faults:
            raise ConfigurationError(faults, step=CONFIGURATION_STREAM)
        return result


def _parse_change(change: Change) -> Section:
    sections = parse_sections(change.text or '')
    if [section_id(section) for section in sections] != [change.section]:
        fault = f'{change.section}: the text is of another section'
        raise ConfigurationError((fault,), step=CONFIGURATION_STREAM)
    return sections[0]


def _dangling(result: Mapping[str, Section], publish: Publish) -> tuple[str, ...]:
    removed = {change.section for change in publish.changes if change.text is None}
    if not removed:
        return ()
    return tuple(
        f'{identity}: names {reference}, which is removed'
        for identity, section in result.items()
        for reference in references(section)
        if reference in removed
    )
