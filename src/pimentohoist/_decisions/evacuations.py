"""Which failure domains are evacuated, by what daemons have read of the operators' records.

What a daemon knows is the content of the store at one read position. The knowledge at the
later position replaces that at an earlier one. A restore of the store may lose the record
of an evacuation without anybody having removed it, so what was known in the former era
holds until a record of the domain, or its removal, is read in the new one.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, replace
from typing import Any

Position = tuple[int, int]
"""Era of the store and offset in the topic, in the order in which they rise."""

_UNREAD: Position = (0, -1)
_FIELDS = 5


@dataclass(frozen=True, slots=True)
class EvacuationKnowledge:
    """What is known of the evacuated failure domains.

    Attributes
    ----------
    position : tuple of int
        Position up to which the store was read.
    listed : frozenset of str
        Domains that have a record there.
    former_position : tuple of int
        Position up to which the store was read before it was restored.
    former : frozenset of str
        Domains that were evacuated there.
    settled : frozenset of str
        Domains of which the current era had a record, or its removal: `former` doesn't
        tell of these any more.
    """

    position: Position = _UNREAD
    listed: frozenset[str] = frozenset()
    former_position: Position = _UNREAD
    former: frozenset[str] = frozenset()
    settled: frozenset[str] = frozenset()

    @property
    def evacuated(self) -> frozenset[str]:
        """Return the failure domains that get no requests."""
        return self.listed | (self.former - self.settled)

    def after_whole(self, position: Position, listed: frozenset[str]) -> _Knowledge:
        """Return what is known once all records were read, up to a position."""
        read = EvacuationKnowledge(position, listed, settled=listed)
        return self.merged(read)

    def after_changes(
        self, position: Position, changes: Sequence[tuple[str, bool]]
    ) -> _Knowledge:
        """Return what is known once records were read, up to a position.

        Parameters
        ----------
        changes : sequence of tuple of str and bool
            Domains, and whether they got a record or lost it, in the order of the store.
        """
        current = self.in_era(position[0])
        settled = current.settled | {domain for domain, _ in changes}
        if position < current.position:
            # Another daemon has told what these and later records say.
            return replace(current, settled=settled)
        listed = set(current.listed)
        for domain, is_listed in changes:
            listed.discard(domain)
            listed.update({domain} if is_listed else ())
        return replace(
            current, position=position, listed=frozenset(listed), settled=settled
        )

    def merged(self, other: _Knowledge) -> _Knowledge:
        """Return what is known by this and by another daemon's knowledge."""
        era = max(self.position[0], other.position[0])
        known, told = self.in_era(era), other.in_era(era)
        newer = told if told.position > known.position else known
        former = max(known, told, key=lambda entry: entry.former_position)
        return EvacuationKnowledge(
            newer.position,
            newer.listed,
            former.former_position,
            former.former,
            known.settled | told.settled,
        )

    def in_era(self, era: int) -> _Knowledge:
        """Return the same knowledge as of a later era, of which nothing was read yet."""
        if self.position == _UNREAD or era <= self.position[0]:
            return self
        return EvacuationKnowledge(
            (era, -1), former_position=self.position, former=self.evacuated
        )

    def encoded(self) -> list[Any]:
        """Return the form in heartbeats."""
        return [
            list(self.position),
            sorted(self.listed),
            list(self.former_position),
            sorted(self.former),
            sorted(self.settled),
        ]


_Knowledge = EvacuationKnowledge


def decode_knowledge(fields: list[Any]) -> EvacuationKnowledge:
    """Return the knowledge that a heartbeat carries; raises ValueError and TypeError."""
    position, listed, former_position, former, settled = fields[:_FIELDS]
    return EvacuationKnowledge(
        _position(position),
        _domains(listed),
        _position(former_position),
        _domains(former),
        _domains(settled),
    )


def _position(fields: Iterable[Any]) -> Position:
    era, offset = fields
    return int(era), int(offset)


def _domains(names: Iterable[Any]) -> frozenset[str]:
    return frozenset(str(name) for name in names)
