"""Pins that this daemon holds on endpoints, reported to their homes on request."""

from __future__ import annotations

import threading
import time
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from typing import Any, Protocol

from pimentohoist._controllers.exit_prober import ExitProber
from pimentohoist._decisions.departures import DepartedMembers
from pimentohoist._decisions.endpoint import PIN_GRACE_S, Pin
from pimentohoist._generated import peer_pb2
from pimentohoist._view_fold import View
from pimentohoist.exceptions import UnavailableError
from pimentohoist.models import AdapterVersion, Member
from pimentohoist.protocols import OwnerLookup

_STEP = 'pins'
_RETRY_AFTER_S = 0.1
MS_PER_S = 1000


class MemberOwners(OwnerLookup, Protocol):
    """Homes with the members that they are chosen from."""

    incarnation: str

    def members(self) -> tuple[Member, ...]:
        """Return the members of the present view."""

    def recent_views(self) -> tuple[Sequence[View], bool]:
        """Return the latest views, and whether they begin with the very first."""


@dataclass(frozen=True, slots=True)
class HeldPin:
    """A pin, given or just asked for."""

    endpoint: str
    pin: Pin


class HeldPins:
    """All pins of this daemon, and which departed members may still hold some.

    Parameters
    ----------
    max_hold_s : float
        Longest time that a request and thereby a pin can last.
    """

    def __init__(
        self, owners: MemberOwners, proofs: ExitProber, max_hold_s: float
    ) -> None:
        self.owners = owners
        self.proofs = proofs
        self.held: dict[str, HeldPin] = {}
        self.departed = DepartedMembers(max_hold_s + PIN_GRACE_S)
        self._lock = threading.Lock()

    def add(self, endpoint: str, pin: Pin) -> None:
        """Note a pin before its home is asked for it."""
        with self._lock:
            self.held[pin.pin_id] = HeldPin(endpoint, pin)

    def remove(self, pin_id: str) -> None:
        """Forget a pin that is given back."""
        with self._lock:
            self.held.pop(pin_id, None)

    def at(self, endpoint: str) -> tuple[Pin, ...]:
        """Return the pins held on an endpoint."""
        with self._lock:
            return tuple(
                held.pin for held in self.held.values() if held.endpoint == endpoint
            )

    def record_members(self) -> None:
        """Compare the view with the one seen before; to be called often."""
        members = self.owners.members()
        with self._lock:
            self.departed.record_members(members, time.monotonic())

    def unsettled_s(self) -> float:
        """Return for how long departed members may still hold pins."""
        self.record_members()
        ended_at = self.proofs.ended_at
        with self._lock:
            unproved = self.departed.unproved(ended_at)
            unsettled_s = self.departed.unsettled_s(ended_at, time.monotonic())
        self.proofs.ask_for(unproved)
        return unsettled_s

    def report(self, request: peer_pb2.PinsRequest) -> peer_pb2.PinsReply:
        """Answer a new home; raises UnavailableError if this view is older than its."""
        if self.owners.epoch < request.sender.epoch:
            raise UnavailableError(
                'the view is not read so far yet',
                step=_STEP,
                retry_after_s=_RETRY_AFTER_S,
            )
        unsettled_ms = int(self.unsettled_s() * MS_PER_S)
        pins = (_message(pin) for pin in self.at(request.endpoint))
        return peer_pb2.PinsReply(pins=pins, unsettled_ms=unsettled_ms)

    def dump(self) -> Mapping[str, Any]:
        """Return the number of pins by endpoint."""
        with self._lock:
            endpoints = [held.endpoint for held in self.held.values()]
        return {
            endpoint: endpoints.count(endpoint) for endpoint in sorted(set(endpoints))
        }


def parse_pins(messages: Iterable[peer_pb2.Pin]) -> tuple[Pin, ...]:
    """Return the pins of a report."""
    now = time.monotonic()
    return tuple(
        Pin(
            message.pin_id,
            AdapterVersion(message.adapter, message.version)
            if message.adapter
            else None,
            now + message.deadline_after_ms / MS_PER_S,
        )
        for message in messages
    )


def _message(pin: Pin) -> peer_pb2.Pin:
    remaining_s = max(0, pin.deadline - time.monotonic())
    return peer_pb2.Pin(
        pin_id=pin.pin_id,
        adapter=pin.adapter.adapter if pin.adapter else '',
        version=pin.adapter.version if pin.adapter else 0,
        deadline_after_ms=int(remaining_s * MS_PER_S),
    )
