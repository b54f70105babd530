"""What a new home learns of the pins that a former home has given."""

from __future__ import annotations

import time
from collections.abc import Callable, Mapping

from pimentohoist._controllers.endpoint_owner import EndpointOwner
from pimentohoist._controllers.held_pins import (
    MS_PER_S,
    HeldPins,
    MemberOwners,
    parse_pins,
)
from pimentohoist._generated import peer_pb2
from pimentohoist.exceptions import PeerError
from pimentohoist.models import Member
from pimentohoist.protocols import Peers

_PAUSE_S = 0.1
_REPORT_TIMEOUT_S = 1.0
_AGAIN_S = 0.2


class PinCollection:
    """Asks every member for the pins that it holds on an endpoint."""

    def __init__(self, view: MemberOwners, peers: Peers, pins: HeldPins) -> None:
        self.view = view
        self.peers = peers
        self.pins = pins

    def collect(self, owner: EndpointOwner, is_wanted: Callable[[], bool]) -> None:
        """Ask until all members have answered and no departed one can hold a pin.

        Parameters
        ----------
        owner : EndpointOwner
            Takes each member's pins over and, once all members have reported, the time
            from which on every pin is known.
        is_wanted : callable
            Whether to go on.
        """
        owner.settle(self.pins.at(owner.endpoint_ref.name))
        owner.moved_at[self.view.incarnation] = time.monotonic()
        unsettled_until = {self.view.incarnation: float('-inf')}
        while is_wanted():
            for member in self._to_ask(unsettled_until):
                self._ask(owner, member, unsettled_until)
            if self._missing(unsettled_until):
                continue
            now = time.monotonic()
            until = max(now + self.pins.unsettled_s(), *unsettled_until.values())
            owner.settle((), until)
            if until <= now:
                return
            # What members know of departed ones may soon be better.
            time.sleep(_AGAIN_S)

    def _missing(self, unsettled_until: Mapping[str, float]) -> bool:
        names = {member.incarnation for member in self.view.members()}
        return not names <= set(unsettled_until)

    def _to_ask(self, unsettled_until: Mapping[str, float]) -> list[Member]:
        now = time.monotonic()
        return [
            member
            for member in self.view.members()
            if unsettled_until.get(member.incarnation, now + 1) > now
        ]

    def _ask(
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
            time.sleep(_PAUSE_S)
            return
        if member.incarnation not in unsettled_until:
            owner.settle(parse_pins(reply.pins))
            # It has read a view in which it is not the home.
            owner.moved_at[member.incarnation] = time.monotonic()
        remaining_s = float(reply.unsettled_ms) / MS_PER_S
        unsettled_until[member.incarnation] = time.monotonic() + remaining_s
