"""Sections with the indexes by which a change is checked without reading them all."""

from __future__ import annotations

import heapq
from collections.abc import Collection, Iterable, Iterator, Mapping
from typing import TypeAlias

from pimentohoist._sections import (
    Adapter,
    EndpointGroup,
    GroupKind,
    Key,
    Route,
    Section,
    section_id,
)

Changes: TypeAlias = Mapping[str, Section | None]
"""By `section_id`: the new section, or None to remove it."""

_MOST_REFERRERS_NAMED = 5


class SectionIndex:
    """Sections by id, and which of them name or hold what.

    Attributes
    ----------
    sections : dict of str to Section
        By `section_id`.
    referrers : dict of str to set of str
        By section id: the sections that name it.
    holders : dict of str to str
        By what only one section may hold: the section that does.
    """

    def __init__(self) -> None:
        self.sections: dict[str, Section] = {}
        self.referrers: dict[str, set[str]] = {}
        self.holders: dict[str, str] = {}

    @classmethod
    def of(cls, sections: Mapping[str, Section]) -> SectionIndex:
        """Return an index of these sections."""
        index = cls()
        index.apply(sections)
        return index

    def find_faults(self, changes: Changes) -> Iterator[tuple[str, str]]:
        """Yield section id and fault of each contradiction that `changes` would cause.

        The cost follows from what changes and what names it, not from all sections.
        """
        claimed: dict[str, str] = {}
        for identity, section in changes.items():
            if section is None:
                yield from self._removal_faults(identity, changes)
                continue
            yield from _own_faults(identity, section)
            yield from self._reference_faults(identity, section, changes)
            yield from self._holder_faults(identity, section, changes, claimed)
            yield from self._kind_faults(identity, section, changes)

    def apply(self, changes: Changes) -> None:
        """Replace and remove sections."""
        for identity in changes:
            self._remove(identity)
        for identity, section in changes.items():
            if section is not None:
                self._add(identity, section)

    def _remove(self, identity: str) -> None:
        section = self.sections.pop(identity, None)
        if section is None:
            return
        for reference in references(section):
            names = self.referrers[reference]
            names.discard(identity)
            if not names:
                self.referrers.pop(reference)
        for thing in exclusive_things(section):
            if self.holders.get(thing) == identity:
                self.holders.pop(thing)

    def _add(self, identity: str, section: Section) -> None:
        self.sections[identity] = section
        for reference in references(section):
            self.referrers.setdefault(reference, set()).add(identity)
        for thing in exclusive_things(section):
            self.holders[thing] = identity

    def _after(self, identity: str, changes: Changes) -> Section | None:
        return changes.get(identity, self.sections.get(identity))

    def _removal_faults(
        self, identity: str, changes: Changes
    ) -> Iterator[tuple[str, str]]:
        if identity not in self.sections:
            yield identity, f'there is no {identity} to remove'
        for referrer in self._other_referrers(identity, changes):
            yield referrer, f'names {identity}, which is removed'

    def _reference_faults(
        self, identity: str, section: Section, changes: Changes
    ) -> Iterator[tuple[str, str]]:
        for reference in references(section):
            target = self._after(reference, changes)
            if target is None:
                yield identity, f'there is no {reference}'
            elif not _fits(section, target):
                yield identity, f'{reference} is not of the kind that it needs'

    def _holder_faults(
        self,
        identity: str,
        section: Section,
        changes: Changes,
        claimed: dict[str, str],
    ) -> Iterator[tuple[str, str]]:
        for thing in exclusive_things(section):
            holder = self.holders.get(thing)
            if holder is None or holder in changes:
                holder = claimed.setdefault(thing, identity)
            if holder != identity:
                yield identity, f'{thing} stands in {holder} too'

    def _kind_faults(
        self, identity: str, section: Section, changes: Changes
    ) -> Iterator[tuple[str, str]]:
        before = self.sections.get(identity)
        if not isinstance(section, EndpointGroup) or before is None:
            return
        if isinstance(before, EndpointGroup) and before.kind is section.kind:
            return
        for referrer in self._other_referrers(identity, changes):
            yield referrer, f'{identity} is no longer of the kind that it needs'

    def _other_referrers(self, identity: str, changes: Changes) -> list[str]:
        others = (
            name for name in self.referrers.get(identity, ()) if name not in changes
        )
        # In one order at every reader, so that verdicts agree to the letter.
        return heapq.nsmallest(_MOST_REFERRERS_NAMED, others)


def references(section: Section) -> tuple[str, ...]:
    """Return the ids of the sections that `section` names."""
    match section:
        case Key():
            return (f'workspaces/{section.workspace}',)
        case Adapter() | Route():
            workspaces = (f'workspaces/{name}' for name in section.workspaces)
            return (f'groups/{section.group}', *workspaces)
        case _:
            return ()


def exclusive_things(section: Section) -> tuple[str, ...]:
    """Return what no other section may hold."""
    match section:
        case Key():
            return (f'key digest {section.digest}',)
        case EndpointGroup():
            return tuple(f'endpoint {endpoint.name}' for endpoint in section.endpoints)
        case _:
            return ()


def whole_faults(sections: Iterable[Section]) -> Iterator[tuple[str, str]]:
    """Yield section id and fault of each contradiction between `sections`."""
    changes = {section_id(section): section for section in sections}
    return SectionIndex().find_faults(changes)


def _fits(section: Section, target: Section) -> bool:
    if not isinstance(target, EndpointGroup):
        return True
    needed = GroupKind.SERVICE if isinstance(section, Route) else GroupKind.ENGINE
    return target.kind is needed


def _own_faults(identity: str, section: Section) -> Iterator[tuple[str, str]]:
    match section:
        case Adapter():
            if section.default_version not in section.versions:
                yield identity, 'default_version is not among versions'
            yield from _repeats(identity, 'versions', section.versions)
            yield from _repeats(identity, 'workspaces', section.workspaces)
        case Route():
            yield from _repeats(identity, 'workspaces', section.workspaces)
        case EndpointGroup():
            endpoints = section.endpoints
            names = [endpoint.name for endpoint in endpoints]
            addresses = [endpoint.address for endpoint in endpoints]
            yield from _repeats(identity, 'endpoint names', names)
            yield from _repeats(identity, 'endpoint addresses', addresses)


def _repeats(
    identity: str, what: str, names: Collection[object]
) -> Iterator[tuple[str, str]]:
    if len(set(names)) < len(names):
        yield identity, f'{what}: one stands there twice'
