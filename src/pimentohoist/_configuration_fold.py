"""Fold of the configuration stream: certification of each publish in log order."""

from __future__ import annotations

import json
from collections import Counter, OrderedDict
from collections.abc import Iterator, Mapping
from dataclasses import asdict, dataclass
from itertools import islice
from typing import Annotated, Any, Literal

from pydantic import BaseModel, Field, TypeAdapter, ValidationError

from pimentohoist._configuration_text import parse_sections, text_digest
from pimentohoist._decisions.sections import SectionIndex
from pimentohoist._section_texts import SectionTexts
from pimentohoist._sections import Section, section_id
from pimentohoist.exceptions import ConfigurationError
from pimentohoist.models import LogRecord

CONFIGURATION_STREAM = 'configuration'
RETENTION_RECORDS = 5000
"""Number of records for which verdicts are kept; an older base is rejected."""

_MAX_FAULTS = 20


class SectionChange(BaseModel, frozen=True, extra='forbid'):
    """A section's new text; the section is removed if `text` is None."""

    section: str
    text: str | None


class PublishRecord(BaseModel, frozen=True, extra='forbid'):
    """A record of the configuration stream.

    Attributes
    ----------
    publish_id : str
        Unique; a second record with the same id has no effect.
    base_offset : int
        The operator's base state covers the records before this offset.
    published_at : str
        Time on the operator's clock; used only in the history.
    """

    kind: Literal['publish'] = 'publish'
    publish_id: str
    base_offset: Annotated[int, Field(ge=0)]
    changes: Annotated[tuple[SectionChange, ...], Field(min_length=1)]
    operator: str = ''
    published_at: str = ''


_RECORD_ADAPTER: TypeAdapter[PublishRecord] = TypeAdapter(PublishRecord)


@dataclass(frozen=True, slots=True)
class PublishVerdict:
    """The fold's decision on a publish.

    Attributes
    ----------
    offset : int
        Offset of the publish record.
    conflicts : tuple of str
        Sections that had changed since the base.
    faults : tuple of str
        Contradictions that the resulting configuration would have.
    sections : int
        Number of sections that the publish changes.
    """

    offset: int
    conflicts: tuple[str, ...] = ()
    faults: tuple[str, ...] = ()
    sections: int = 0
    operator: str = ''
    published_at: str = ''

    @property
    def is_accepted(self) -> bool:
        """Whether the publish took effect."""
        return not self.conflicts and not self.faults


class ConfigurationFold:
    """State of the configuration stream.

    A section's version is one more than the offset of the record that last changed it.
    A publish is accepted if none of its sections has a version above the publish's base
    and the resulting configuration is free of contradictions.

    Parameters
    ----------
    window : int
        Number of records for which verdicts and versions of removed sections are kept.

    Attributes
    ----------
    index : SectionIndex
        Sections as printed text, with the indexes for checking a change.
    versions : dict of str to int
        By section id; a removed section keeps its version for `window` records.
    verdicts : mapping of str to PublishVerdict
        By publish id, in log order.
    """

    def __init__(self, window: int = RETENTION_RECORDS) -> None:
        self.window = window
        self.index = SectionIndex(SectionTexts())
        self.versions: dict[str, int] = {}
        self.removed: OrderedDict[str, int] = OrderedDict()
        self.verdicts: OrderedDict[str, PublishVerdict] = OrderedDict()
        self.skipped_records = 0
        self._next_offset = 0

    @property
    def next_offset(self) -> int:
        """Offset of the first record not yet applied."""
        return self._next_offset

    @property
    def sections(self) -> SectionTexts:
        """The sections in force, by id."""
        return self.index.sections

    def text(self) -> str:
        """Return the text in force."""
        return self.sections.text()

    def copy(self) -> ConfigurationFold:
        """Return a copy, made without printing or parsing."""
        other = ConfigurationFold(self.window)
        other.index = self.index.copy()
        other.versions = self.versions.copy()
        other.removed = self.removed.copy()
        other.verdicts = self.verdicts.copy()
        other.skipped_records = self.skipped_records
        other._next_offset = self._next_offset
        return other

    def apply(self, record: LogRecord) -> None:
        """Apply one record; count and skip a malformed or unknown one."""
        self._next_offset = record.offset + 1
        publish = _parse_publish(record)
        if publish is None:
            self.skipped_records += 1
        elif publish.publish_id not in self.verdicts:
            verdict = self._decide(publish, record.offset)
            self.verdicts[publish.publish_id] = verdict
        self._drop_expired()

    def snapshot(self) -> bytes:
        """Return the whole state, encoded as JSON."""
        verdicts = [
            {'publish_id': publish_id, **asdict(verdict)}
            for publish_id, verdict in self.verdicts.items()
        ]
        text = self.text()
        document = {
            'next_offset': self._next_offset,
            'text': text,
            'digest': text_digest(text),
            'versions': dict(sorted(self.versions.items())),
            'removed': list(self.removed),
            'referrer_counts': dict(sorted(self.index.referrer_counts.items())),
            'holders': dict(sorted(self.index.holders.items())),
            'skipped_records': self.skipped_records,
            'verdicts': verdicts,
        }
        return json.dumps(document).encode()

    def restore(self, body: bytes) -> None:
        """Replace the state by a snapshot's if the snapshot covers more records.

        The sections are not parsed: they were certified before they were printed, and
        the digest shows whether the text is unchanged.
        """
        document: Mapping[str, Any] = json.loads(body)
        if document['next_offset'] <= self._next_offset:
            return
        versions = _share_equal_versions(document['versions'])
        removed = OrderedDict((name, versions[name]) for name in document['removed'])
        sections = SectionTexts.split(
            _verified_text(document),
            sorted(name for name in versions if name not in removed),
        )
        index = SectionIndex(sections, document['referrer_counts'], document['holders'])
        verdicts = OrderedDict(_parse_verdict(entry) for entry in document['verdicts'])
        # No statement below may fail: the state is replaced completely or not at all.
        self.index = index
        self.versions = versions
        self.removed = removed
        self.verdicts = verdicts
        self.skipped_records = document['skipped_records']
        self._next_offset = document['next_offset']

    def digest(self) -> str:
        """Return the SHA-256 of the text in force."""
        return text_digest(self.text())

    def _decide(self, publish: PublishRecord, offset: int) -> PublishVerdict:
        base = publish.base_offset
        conflicts = tuple(
            change.section
            for change in publish.changes
            if self.versions.get(change.section, 0) > base
        )
        faults: tuple[str, ...] = ()
        if not conflicts:
            faults = self._find_base_faults(base, offset) or self._certify(
                publish, offset
            )
        return PublishVerdict(
            offset,
            conflicts,
            faults,
            len(publish.changes),
            publish.operator,
            publish.published_at,
        )

    def _find_base_faults(self, base: int, offset: int) -> tuple[str, ...]:
        if base < offset - self.window:
            return (f'its base is more than {self.window} records old',)
        return ()

    def _certify(self, publish: PublishRecord, offset: int) -> tuple[str, ...]:
        """Apply the changes if they have no faults; otherwise return the faults."""
        names = Counter(change.section for change in publish.changes)
        duplicates = tuple(
            f'{name}: changed twice' for name in names if names[name] > 1
        )
        if duplicates:
            return duplicates[:_MAX_FAULTS]
        try:
            changes = dict(map(_parse_change, publish.changes))
        except ConfigurationError as error:
            return error.faults[:_MAX_FAULTS]
        found = islice(self.index.find_faults(changes), _MAX_FAULTS)
        faults = tuple(f'{identity}: {fault}' for identity, fault in found)
        if not faults:
            self._apply_changes(changes, offset + 1)
        return faults

    def _apply_changes(
        self, changes: Mapping[str, Section | None], version: int
    ) -> None:
        self.index.apply(changes)
        for name, section in changes.items():
            self.versions[name] = version
            self.removed.pop(name, None)
            if section is None:
                self.removed[name] = version

    def _drop_expired(self) -> None:
        """Drop the state that a publish with an admissible base can't depend on."""
        oldest = self._next_offset - self.window
        for publish_id in tuple(_expired_verdicts(self.verdicts, oldest)):
            self.verdicts.pop(publish_id)
        for name in tuple(_expired_sections(self.removed, oldest)):
            self.removed.pop(name)
            self.versions.pop(name)


def _parse_publish(record: LogRecord) -> PublishRecord | None:
    """Return the publish; None if the record is malformed or of an unknown kind."""
    try:
        publish = _RECORD_ADAPTER.validate_json(record.body, strict=True)
    except ValidationError:
        return None
    # The base of a publish can't cover the publish itself.
    return publish if publish.base_offset <= record.offset else None


def _expired_verdicts(
    verdicts: Mapping[str, PublishVerdict], oldest: int
) -> Iterator[str]:
    for publish_id, verdict in verdicts.items():
        if verdict.offset >= oldest:
            return
        yield publish_id


def _expired_sections(removed: Mapping[str, int], oldest: int) -> Iterator[str]:
    for name, version in removed.items():
        if version > oldest:
            return
        yield name


def _parse_verdict(entry: Mapping[str, Any]) -> tuple[str, PublishVerdict]:
    fields = dict(entry)
    publish_id = fields.pop('publish_id')
    fields['conflicts'] = tuple(fields['conflicts'])
    fields['faults'] = tuple(fields['faults'])
    return publish_id, PublishVerdict(**fields)


def _share_equal_versions(versions: Mapping[str, int]) -> dict[str, int]:
    """Return the versions with one shared object for equal numbers, to save memory."""
    numbers: dict[int, int] = {}
    return {
        name: numbers.setdefault(version, version) for name, version in versions.items()
    }


def _verified_text(document: Mapping[str, Any]) -> str:
    text: str = document['text']
    if text_digest(text) != document['digest']:
        raise ValueError(f'snapshot: expected a text with digest {document["digest"]}')
    return text


def _parse_change(change: SectionChange) -> tuple[str, Section | None]:
    if change.text is None:
        return change.section, None
    sections = parse_sections(change.text)
    if [section_id(section) for section in sections] != [change.section]:
        fault = f'{change.section}: the text is of another section'
        raise ConfigurationError((fault,), step=CONFIGURATION_STREAM)
    return change.section, sections[0]
