"""Sections held as printed text and parsed on access."""

from __future__ import annotations

import re
import sys
from collections.abc import Iterator, Mapping
from dataclasses import replace
from functools import lru_cache

from pimentohoist._configuration_text import join_texts, parse_sections
from pimentohoist._decisions.sections import references
from pimentohoist._sections import SECTION_TYPES, Section, section_text

_MAX_CACHED_SECTIONS = 2048
_MAX_CACHED_BODIES = 2048
_PLACEHOLDER_NAME = 'any'
_BARE_NAME = re.compile('[A-Za-z0-9_-]+')
_SECTION_START = re.compile(r'\n(?=\[[^\[])')
_SUBHEADING = '\n['


class SectionTexts(Mapping[str, Section]):
    """Sections by id; implements `SectionStore`.

    Only the text below the heading is held, and equal texts share their memory, since
    most adapters differ only in their names.

    Attributes
    ----------
    bodies : dict of str to dict of str to str
        By kind and id: the printed text without its heading.
    """

    def __init__(self) -> None:
        self.bodies: dict[str, dict[str, str]] = {kind: {} for kind in SECTION_TYPES}

    def __getitem__(self, identity: str) -> Section:
        """Return a section; raises KeyError."""
        return _parse(identity, self._bodies_for(identity)[identity])

    def __contains__(self, identity: object) -> bool:
        """Return whether there is such a section."""
        return isinstance(identity, str) and identity in self._bodies_for(identity)

    def __iter__(self) -> Iterator[str]:
        """Iterate over the ids, kind by kind."""
        for bodies in self.bodies.values():
            yield from bodies

    def __len__(self) -> int:
        """Return the number of sections."""
        return sum(map(len, self.bodies.values()))

    def put(self, identity: str, section: Section) -> None:
        """Add or replace a section."""
        self._put_text(identity, section_text(section))

    def remove(self, identity: str) -> Section | None:
        """Remove a section and return it; None if there is none."""
        body = self._bodies_for(identity).pop(identity, None)
        return None if body is None else _parse(identity, body)

    def find_referrers(self, reference: str) -> Iterator[str]:
        """Yield the ids of the sections that refer to `reference`."""
        lines = _reference_lines(reference)
        for bodies in self.bodies.values():
            for identity, body in bodies.items():
                # Parsing is slow, so only bodies that contain such a line are parsed.
                may_refer = any(line in body for line in lines)
                if may_refer and reference in references(_parse(identity, body)):
                    yield identity

    def copy(self) -> SectionTexts:
        """Return a copy that shares the texts."""
        other = SectionTexts()
        other.bodies = {kind: bodies.copy() for kind, bodies in self.bodies.items()}
        return other

    def of_kind(self, kind: str) -> SectionTexts:
        """Return a copy of the sections of one kind."""
        other = SectionTexts()
        other.bodies[kind] = self.bodies[kind].copy()
        return other

    def texts(self) -> dict[str, str]:
        """Return the printed texts by id."""
        return {
            identity: _heading(identity) + body
            for bodies in self.bodies.values()
            for identity, body in bodies.items()
        }

    def text(self) -> str:
        """Return the whole text."""
        return join_texts(self.texts())

    @classmethod
    def split(cls, text: str, identities: list[str]) -> SectionTexts:
        """Return the sections of a whole text without parsing it.

        Parameters
        ----------
        identities : list of str
            Ids of all sections of the text, sorted.

        Raises
        ------
        ValueError
            The text does not consist of these sections.
        """
        sections = cls()
        parts = _SECTION_START.split(text) if text else []
        for identity, part in zip(identities, parts, strict=True):
            sections._put_text(identity, part)
        return sections

    def _put_text(self, identity: str, text: str) -> None:
        heading = _heading(identity)
        if not text.startswith(heading):
            raise ValueError(
                f'section {identity}: expected a text that starts with {heading!r}'
            )
        kind, _, _ = identity.partition('/')
        self.bodies[kind][identity] = sys.intern(text[len(heading) :])

    def _bodies_for(self, identity: str) -> dict[str, str]:
        return self.bodies.get(identity.partition('/')[0], {})


def _heading(identity: str) -> str:
    kind, _, name = identity.partition('/')
    is_bare = _BARE_NAME.fullmatch(name)
    return f'[{kind}.{name}]\n' if is_bare else f'[{kind}."{name}"]\n'


def _reference_lines(reference: str) -> tuple[str, ...]:
    """Return lines; a text that refers to `reference` contains at least one of them."""
    kind, _, name = reference.partition('/')
    if kind == 'groups':
        return (f'group = "{name}"\n',)
    return (f'workspace = "{name}"\n', f'    "{name}",\n')


@lru_cache(_MAX_CACHED_SECTIONS)
def _parse(identity: str, body: str) -> Section:
    kind, _, name = identity.partition('/')
    if _SUBHEADING in f'\n{body}':
        return parse_sections(_heading(identity) + body)[0]
    return replace(_parse_body(kind, body), name=name)


@lru_cache(_MAX_CACHED_BODIES)
def _parse_body(kind: str, body: str) -> Section:
    return parse_sections(f'[{kind}.{_PLACEHOLDER_NAME}]\n{body}')[0]
