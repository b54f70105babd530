"""Sections with indexes for checking a change without reading every section."""

from __future__ import annotations

import heapq
from collections import Counter
from collections.abc import Collection, Iterable, Iterator, Mapping
from typing import Generic, Protocol, Self, TypeAlias, TypeVar

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

_MAX_REFERRERS_NAMED = 5


class SectionStore(Protocol):
    """Holds sections by id."""

    def get(self, identity: str, /) -> Section | None:
        """Return a section; None if there is none."""

    def put(self, identity: str, section: Section) -> None:
        """Add or replace a section."""

    def remove(self, identity: str) -> Section | None:
        """Remove a section and return it; None if there is none."""

    def find_referrers(self, reference: str) -> Iterable[str]:
        """Return the ids of the sections that refer to `reference`."""

    def copy(self) -> Self:
        """Return a copy."""


class PlainSections(dict[str, Section]):
    """Implements `SectionStore` with a dict of parsed sections."""

    def put(self, identity: str, section: Section) -> None:
        """Add or replace a section."""
        self[identity] = section

    def remove(self, identity: str) -> Section | None:
        """Remove a section and return it; None if there is none."""
        return self.pop(identity, None)

    def find_referrers(self, reference: str) -> Iterable[str]:
        """Return the ids of the sections that refer to `reference`."""
        return [name for name, part in self.items() if reference in references(part)]

    def copy(self) -> PlainSections:
        """Return a copy."""
        return PlainSections(self)


StoreT = TypeVar('StoreT', bound=SectionStore)


class SectionIndex(Generic[StoreT]):
    """Sections by id, with counts of references and holders of unique values.

    Attributes
    ----------
    sections : SectionStore
        Sections by `section_id`.
    referrer_counts : Counter of str
        By section id: the number of sections that refer to it. The referrers themselves
        are looked up only for the faults of a rejected publish.
    holders : dict of str to str
        By unique value: id of the section that contains it.
    """

    def __init__(
        self,
        sections: StoreT,
        referrer_counts: Mapping[str, int] | None = None,
        holders: Mapping[str, str] | None = None,
    ) -> None:
        self.sections = sections
        self.referrer_counts = Counter(referrer_counts)
        self.holders = dict(holders or {})

    def copy(self) -> SectionIndex[StoreT]:
        """Return a copy."""
        return SectionIndex(self.sections.copy(), self.referrer_counts, self.holders)

    def find_faults(self, changes: Changes) -> Iterator[tuple[str, str]]:
        """Yield section id and fault of each contradiction that `changes` would cause.

        The cost grows with the changed sections and their referrers, not with the number
        of all sections.
        """
        claimed: dict[str, str] = {}
        replaced = self._count_replaced(changes)
        for identity, section in changes.items():
            if section is None:
                yield from self._removal_faults(identity, changes, replaced)
                continue
            yield from _own_faults(identity, section)
            yield from self._reference_faults(identity, section, changes)
            yield from self._holder_faults(identity, section, changes, claimed)
            yield from self._kind_faults(identity, section, changes, replaced)

    def apply(self, changes: Changes) -> None:
        """Replace and remove sections."""
        for identity in changes:
            self._remove(identity)
        for identity, section in changes.items():
            if section is not None:
                self._add(identity, section)

    def _remove(self, identity: str) -> None:
        section = self.sections.remove(identity)
        if section is None:
            return
        for reference in references(section):
            self.referrer_counts[reference] -= 1
            if not self.referrer_counts[reference]:
                self.referrer_counts.pop(reference)
        for value in unique_values(section):
            if self.holders.get(value) == identity:
                self.holders.pop(value)

    def _add(self, identity: str, section: Section) -> None:
        self.sections.put(identity, section)
        self.referrer_counts.update(references(section))
        for value in unique_values(section):
            self.holders[value] = identity

    def _count_replaced(self, changes: Changes) -> Counter[str]:
        """Count, by section id, the referrers that are changed or removed."""
        replaced: Counter[str] = Counter()
        for identity in changes:
            section = self.sections.get(identity)
            if section is not None:
                replaced.update(references(section))
        return replaced

    def _section_after(self, identity: str, changes: Changes) -> Section | None:
        return changes.get(identity, self.sections.get(identity))

    def _removal_faults(
        self, identity: str, changes: Changes, replaced: Counter[str]
    ) -> Iterator[tuple[str, str]]:
        if self.sections.get(identity) is None:
            yield identity, f'there is no {identity} to remove'
        for referrer in self._other_referrers(identity, changes, replaced):
            yield referrer, f'names {identity}, which is removed'

    def _reference_faults(
        self, identity: str, section: Section, changes: Changes
    ) -> Iterator[tuple[str, str]]:
        for reference in references(section):
            target = self._section_after(reference, changes)
            if target is None:
                yield identity, f'there is no {reference}'
            elif not _has_needed_kind(section, target):
                yield identity, f'{reference} is not of the kind that it needs'

    def _holder_faults(
        self,
        identity: str,
        section: Section,
        changes: Changes,
        claimed: dict[str, str],
    ) -> Iterator[tuple[str, str]]:
        for value in unique_values(section):
            holder = self.holders.get(value)
            if holder is None or holder in changes:
                holder = claimed.setdefault(value, identity)
            if holder != identity:
                yield identity, f'{value} stands in {holder} too'

    def _kind_faults(
        self,
        identity: str,
        section: Section,
        changes: Changes,
        replaced: Counter[str],
    ) -> Iterator[tuple[str, str]]:
        before = self.sections.get(identity)
        if not isinstance(section, EndpointGroup) or before is None:
            return
        if isinstance(before, EndpointGroup) and before.kind is section.kind:
            return
        for referrer in self._other_referrers(identity, changes, replaced):
            yield referrer, f'{identity} is no longer of the kind that it needs'

    def _other_referrers(
        self, identity: str, changes: Changes, replaced: Counter[str]
    ) -> list[str]:
        if self.referrer_counts[identity] == replaced[identity]:
            return []
        found = self.sections.find_referrers(identity)
        others = (name for name in found if name not in changes)
        # Sorted, so that every daemon computes an identical verdict.
        return heapq.nsmallest(_MAX_REFERRERS_NAMED, others)


def references(section: Section) -> tuple[str, ...]:
    """Return the ids of the sections that `section` refers to."""
    match section:
        case Key():
            return (f'workspaces/{section.workspace}',)
        case Adapter() | Route():
            workspaces = (f'workspaces/{name}' for name in section.workspaces)
            return (f'groups/{section.group}', *workspaces)
        case _:
            return ()


def unique_values(section: Section) -> tuple[str, ...]:
    """Return the values of `section` that no other section may contain."""
    match section:
        case Key():
            return (f'key digest {section.digest}',)
        case EndpointGroup():
            return tuple(f'endpoint {endpoint.name}' for endpoint in section.endpoints)
        case _:
            return ()


def find_all_faults(sections: Iterable[Section]) -> Iterator[tuple[str, str]]:
    """Yield section id and fault of each contradiction between `sections`."""
    changes = {section_id(section): section for section in sections}
    return SectionIndex(PlainSections()).find_faults(changes)


def _has_needed_kind(section: Section, target: Section) -> bool:
    if not isinstance(target, EndpointGroup):
        return True
    needed = GroupKind.SERVICE if isinstance(section, Route) else GroupKind.ENGINE
    return target.kind is needed


def _own_faults(identity: str, section: Section) -> Iterator[tuple[str, str]]:
    match section:
        case Adapter():
            if section.default_version not in section.versions:
                yield identity, 'default_version is not among versions'
            yield from _duplicate_faults(identity, 'versions', section.versions)
            yield from _duplicate_faults(identity, 'workspaces', section.workspaces)
        case Route():
            yield from _duplicate_faults(identity, 'workspaces', section.workspaces)
        case EndpointGroup():
            endpoints = section.endpoints
            names = [endpoint.name for endpoint in endpoints]
            addresses = [endpoint.address for endpoint in endpoints]
            yield from _duplicate_faults(identity, 'endpoint names', names)
            yield from _duplicate_faults(identity, 'endpoint addresses', addresses)


def _duplicate_faults(
    identity: str, what: str, names: Collection[object]
) -> Iterator[tuple[str, str]]:
    if len(set(names)) < len(names):
        yield identity, f'{what}: one stands there twice'
