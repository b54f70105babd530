"""Collection of the pins that a former owner granted."""

from __future__ import annotations

import time
from collections.abc import Callable, Mapping

from pimentohoist._controllers.endpoint_owner import EndpointOwner
from pimentohoist._controllers.held_pins import (
    MS_PER_S,
    HeldPins,
    OwnershipView,
    parse_pins,
)
from pimentohoist._generated import peer_pb2
from pimentohoist.exceptions import PeerError
from pimentohoist.models import Member
from pimentohoist.protocols import Peers

_RETRY_PAUSE_S = 0.1
_REPORT_TIMEOUT_S = 1.0
_REPEAT_PAUSE_S = 0.2


class PinCollector:
    """Requests from every member the pins that it holds on an endpoint."""

    def __init__(self, view: OwnershipView, peers: Peers, pins: HeldPins) -> None:
        self.view = view
        self.peers = peers
        self.pins = pins

    def collect(self, owner: EndpointOwner, is_current: Callable[[], bool]) -> None:
        """Collect until all members have reported and no departed one can hold a pin.

        Parameters
        ----------
        owner : EndpointOwner
            Adopts each member's pins and, once all members have reported, gets the time
            from which on every pin is known.
        is_current : callable
            Returns whether to continue.
        """
        owner.adopt_pins(self.pins.pins_on(owner.endpoint_ref.name))
        owner.stepped_down_at[self.view.incarnation] = time.monotonic()
        unsettled_until = {self.view.incarnation: float('-inf')}
        while is_current():
            for member in self._due_members(unsettled_until):
                self._request_report(owner, member, unsettled_until)
            if self._has_missing_reports(unsettled_until):
                continue
            now = time.monotonic()
            until = max(now + self.pins.unsettled_s(), *unsettled_until.values())
            owner.adopt_pins((), until)
            if until <= now:
                return
            # Members may prove in the meantime that departed ones have ended, which
            # shortens the wait.
            time.sleep(_REPEAT_PAUSE_S)

    def _has_missing_reports(self, unsettled_until: Mapping[str, float]) -> bool:
        names = {member.incarnation for member in self.view.members()}
        return not names <= set(unsettled_until)

    def _due_members(self, unsettled_until: Mapping[str, float]) -> list[Member]:
        now = time.monotonic()
        return [
            member
            for member in self.view.members()
            if unsettled_until.get(member.incarnation, now + 1) > now
        ]

    def _request_report(
        self, owner: EndpointOwner, member: Member, unsettled_until: dict[str, float]
    ) -> None:
        sender = peer_pb2.Sender(
            incarnation=self.view.incarnation, epoch=self.view.epoch
        )
        request = peer_pb2.PinsRequest(sender=sender, endpoint=owner.endpoint_ref.name)
        try:
            reply = self.peers.call(
                member.peer_address, 'ReportPins', request, timeout_s=_REPORT_TIMEOUT_S
            )
        except PeerError:
            time.sleep(_RETRY_PAUSE_S)
            return
        if member.incarnation not in unsettled_until:
            owner.adopt_pins(parse_pins(reply.pins))
            # A member reports only once it has read a view in which it is not the owner.
            owner.stepped_down_at[member.incarnation] = time.monotonic()
        remaining_s = float(reply.unsettled_ms) / MS_PER_S
        unsettled_until[member.incarnation] = time.monotonic() + remaining_s
