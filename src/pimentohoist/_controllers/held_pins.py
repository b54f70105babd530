"""Pins that this daemon holds on endpoints, reported to new owners on request."""

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


class OwnershipView(OwnerLookup, Protocol):
    """An `OwnerLookup` with the members that owners are chosen from."""

    incarnation: str

    def members(self) -> tuple[Member, ...]:
        """Return the members of the current view."""

    def recent_views(self) -> tuple[Sequence[View], bool]:
        """Return the latest views, and whether the first view ever is among them."""


@dataclass(frozen=True, slots=True)
class HeldPin:
    """A pin that is held or requested."""

    endpoint: str
    pin: Pin


class HeldPins:
    """All pins of this daemon, and the departed members that may still hold pins.

    Parameters
    ----------
    max_hold_s : float
        Longest duration of a request, and so of a pin, in seconds.
    """

    def __init__(
        self, view: OwnershipView, exit_prober: ExitProber, max_hold_s: float
    ) -> None:
        self.view = view
        self.exit_prober = exit_prober
        self.held: dict[str, HeldPin] = {}
        self.departed = DepartedMembers(max_hold_s + PIN_GRACE_S)
        self._lock = threading.Lock()

    def add(self, endpoint: str, pin: Pin) -> None:
        """Record a pin before it is requested from the owner."""
        with self._lock:
            self.held[pin.pin_id] = HeldPin(endpoint, pin)

    def remove(self, pin_id: str) -> None:
        """Remove a released pin."""
        with self._lock:
            self.held.pop(pin_id, None)

    def pins_on(self, endpoint: str) -> tuple[Pin, ...]:
        """Return the pins held on an endpoint."""
        with self._lock:
            return tuple(
                held.pin for held in self.held.values() if held.endpoint == endpoint
            )

    def record_members(self) -> None:
        """Record members that left the view; call it often."""
        members = self.view.members()
        with self._lock:
            self.departed.record_members(members, time.monotonic())

    def unsettled_s(self) -> float:
        """Return for how many seconds departed members may still hold pins."""
        self.record_members()
        ended_at = self.exit_prober.ended_at
        with self._lock:
            without_exit_proof = self.departed.without_exit_proof(ended_at)
            unsettled_s = self.departed.unsettled_s(ended_at, time.monotonic())
        self.exit_prober.request_probes(without_exit_proof)
        return unsettled_s

    def report(self, request: peer_pb2.PinsRequest) -> peer_pb2.PinsReply:
        """Answer a new owner; raises UnavailableError if its view is newer than this one."""
        if self.view.epoch < request.sender.epoch:
            raise UnavailableError(
                f'view {request.sender.epoch} expected, only {self.view.epoch} was read',
                step=_STEP,
                retry_after_s=_RETRY_AFTER_S,
            )
        unsettled_ms = int(self.unsettled_s() * MS_PER_S)
        pins = (_pin_message(pin) for pin in self.pins_on(request.endpoint))
        return peer_pb2.PinsReply(pins=pins, unsettled_ms=unsettled_ms)

    def dump(self) -> Mapping[str, Any]:
        """Return the number of pins by endpoint."""
        with self._lock:
            endpoints = [held.endpoint for held in self.held.values()]
        return {
            endpoint: endpoints.count(endpoint) for endpoint in sorted(set(endpoints))
        }


def parse_pins(messages: Iterable[peer_pb2.Pin]) -> tuple[Pin, ...]:
    """Decode the pins of a report."""
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


def _pin_message(pin: Pin) -> peer_pb2.Pin:
    remaining_s = max(0, pin.deadline - time.monotonic())
    return peer_pb2.Pin(
        pin_id=pin.pin_id,
        adapter=pin.adapter.adapter if pin.adapter else '',
        version=pin.adapter.version if pin.adapter else 0,
        deadline_after_ms=int(remaining_s * MS_PER_S),
    )
