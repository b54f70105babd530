"""Fold of the view stream, and owners by rendezvous hashing."""

from __future__ import annotations

import json
from collections import deque
from collections.abc import Iterable
from dataclasses import asdict, dataclass, replace
from typing import Annotated, Any, Literal

from pydantic import BaseModel, Field, TypeAdapter, ValidationError

from pimentohoist._rendezvous import rank_names
from pimentohoist.models import LogRecord, Member

VIEW_STREAM = 'view'


class JoinRecord(BaseModel, frozen=True, extra='forbid'):
    """A daemon's incarnation joins the view."""

    kind: Literal['join'] = 'join'
    incarnation: str
    peer_address: str
    callers_address: str
    failure_domain: str
    operators_address: str = ''


class LeaveRecord(BaseModel, frozen=True, extra='forbid'):
    """An incarnation leaves the view voluntarily."""

    kind: Literal['leave'] = 'leave'
    incarnation: str


class DrainRecord(BaseModel, frozen=True, extra='forbid'):
    """An incarnation is about to leave: a member to which callers aren't sent."""

    kind: Literal['drain'] = 'drain'
    incarnation: str


class ExpireRecord(BaseModel, frozen=True, extra='forbid'):
    """An incarnation is removed by `reporter` because it doesn't answer heartbeats."""

    kind: Literal['expire'] = 'expire'
    incarnation: str
    reporter: str


@dataclass(frozen=True, slots=True)
class View:
    """The members as of one epoch.

    Attributes
    ----------
    epoch : int
        One more than the log offset of the record that created the view.
    """

    epoch: int
    members: tuple[Member, ...]

    @property
    def incarnations(self) -> tuple[str, ...]:
        """The members' incarnations."""
        return tuple(member.incarnation for member in self.members)


_MAX_RECENT_VIEWS = 64

_RECORD_ADAPTER: TypeAdapter[JoinRecord | LeaveRecord | DrainRecord | ExpireRecord] = (
    TypeAdapter(
        Annotated[
            JoinRecord | LeaveRecord | DrainRecord | ExpireRecord,
            Field(discriminator='kind'),
        ]
    )
)


class ViewFold:
    """State of the view stream: the members and the epoch.

    An incarnation joins once; records after it has left or expired are ignored.

    Attributes
    ----------
    recent : deque of View
        The latest views, the current one last.
    is_from_start : bool
        Whether `recent` begins with the first view of the stream.
    """

    def __init__(self) -> None:
        self.members: dict[str, Member] = {}
        self.departed: set[str] = set()
        self.epoch = 0
        self.skipped_records = 0
        self.recent: deque[View] = deque(maxlen=_MAX_RECENT_VIEWS)
        self.is_from_start = True
        self._next_offset = 0

    @property
    def next_offset(self) -> int:
        """Offset of the first record not yet applied."""
        return self._next_offset

    def apply(self, record: LogRecord) -> None:
        """Apply one record; count and skip a malformed or unknown one."""
        if record.offset != self._next_offset:
            self.is_from_start = False
        self._next_offset = record.offset + 1
        try:
            event = _RECORD_ADAPTER.validate_json(record.body)
        except ValidationError:
            self.skipped_records += 1
            return
        if isinstance(event, JoinRecord):
            self._apply_join(event, record.offset + 1)
        elif isinstance(event, DrainRecord):
            self._apply_drain(event)
        elif self.members.pop(event.incarnation, None):
            self.departed.add(event.incarnation)
            self._add_view(record.offset + 1)

    def snapshot(self) -> bytes:
        """Return the whole state, encoded as JSON."""
        return json.dumps(
            {
                'next_offset': self._next_offset,
                'epoch': self.epoch,
                'members': [asdict(member) for member in self.members.values()],
                'departed': sorted(self.departed),
                'skipped_records': self.skipped_records,
                'is_from_start': self.is_from_start,
                'recent': _encode_views(self.recent),
            }
        ).encode()

    def restore(self, body: bytes) -> None:
        """Replace the state by a snapshot's if the snapshot covers more records."""
        document = json.loads(body)
        if document['next_offset'] <= self._next_offset:
            return
        members = (Member(**fields) for fields in document['members'])
        self.members = {member.incarnation: member for member in members}
        self.departed = set(document['departed'])
        self.epoch = document['epoch']
        self.skipped_records = document['skipped_records']
        self._next_offset = document['next_offset']
        # Snapshots of earlier versions hold only the current view.
        current = View(self.epoch, tuple(self.members.values()))
        self.recent.clear()
        self.recent.extend(_decode_views(document.get('recent', ())) or (current,))
        self.is_from_start = document.get('is_from_start', False)

    def _apply_join(self, event: JoinRecord, epoch: int) -> None:
        if event.incarnation in self.members or event.incarnation in self.departed:
            return
        member = Member(**event.model_dump(exclude={'kind'}))
        self.members[event.incarnation] = replace(member, epoch=epoch)
        self._add_view(epoch)

    def _add_view(self, epoch: int) -> None:
        self.epoch = epoch
        if len(self.recent) == _MAX_RECENT_VIEWS:
            self.is_from_start = False
        self.recent.append(View(epoch, tuple(self.members.values())))

    def _apply_drain(self, event: DrainRecord) -> None:
        member = self.members.get(event.incarnation)
        if member is not None:
            self.members[event.incarnation] = replace(member, is_leaving=True)


def _encode_views(views: Iterable[View]) -> list[dict[str, Any]]:
    """Return each view as its difference from the previous one."""
    changes = []
    previous: set[str] = set()
    for view in views:
        joined = [
            asdict(member)
            for member in view.members
            if member.incarnation not in previous
        ]
        left = sorted(previous.difference(view.incarnations))
        changes.append({'epoch': view.epoch, 'joined': joined, 'left': left})
        previous = set(view.incarnations)
    return changes


def _decode_views(changes: Iterable[dict[str, Any]]) -> list[View]:
    members: dict[str, Member] = {}
    views = []
    for change in changes:
        for incarnation in change['left']:
            members.pop(incarnation)
        joined = (Member(**fields) for fields in change['joined'])
        members.update((member.incarnation, member) for member in joined)
        views.append(View(change['epoch'], tuple(members.values())))
    return views


def rank_members(hash_key: str, members: Iterable[Member]) -> list[Member]:
    """Return the members by rendezvous weight for `hash_key`, the owner first."""
    by_incarnation = {member.incarnation: member for member in members}
    return [by_incarnation[name] for name in rank_names(hash_key, by_incarnation)]
