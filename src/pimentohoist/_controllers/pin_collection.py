"""What a new home learns of the pins that a former home has given."""

from __future__ import annotations

import time
from collections.abc import Callable, Iterable, Mapping

from pimentohoist._controllers.held_pins import (
    MS_PER_S,
    HeldPins,
    MemberHomes,
    parse_pins,
)
from pimentohoist._decisions.endpoint import Pin
from pimentohoist._generated import peer_pb2
from pimentohoist.exceptions import PeerError
from pimentohoist.models import Member
from pimentohoist.protocols import Peers

_PAUSE_S = 0.1
_REPORT_TIMEOUT_S = 1.0


class PinCollection:
    """Asks every member for the pins that it holds on an endpoint."""

    def __init__(self, view: MemberHomes, peers: Peers, pins: HeldPins) -> None:
        self.view = view
        self.peers = peers
        self.pins = pins

    def collect(
        self,
        place: str,
        adopt: Callable[[Iterable[Pin]], None],
        is_wanted: Callable[[], bool],
    ) -> float:
        """Ask until all members of the view have answered.

        Parameters
        ----------
        adopt : callable
            Takes each member's pins over.
        is_wanted : callable
            Whether to go on.

        Returns
        -------
        float
            Seconds for which members that have departed may still hold pins.
        """
        reported = {self.view.incarnation: float(0)}
        adopt(self.pins.at(place))
        missing = self._missing(reported)
        while missing and is_wanted():
            for member in missing:
                unsettled_s = self._ask(place, member, adopt)
                if unsettled_s is not None:
                    reported[member.incarnation] = unsettled_s
            missing = self._missing(reported)
        return max(self.pins.unsettled_s(), *reported.values())

    def _missing(self, reported: Mapping[str, float]) -> list[Member]:
        return [
            member
            for member in self.view.members()
            if member.incarnation not in reported
        ]

    def _ask(
        self, place: str, member: Member, adopt: Callable[[Iterable[Pin]], None]
    ) -> float | None:
        sender = peer_pb2.Sender(
            incarnation=self.view.incarnation, epoch=self.view.epoch
        )
        request = peer_pb2.PinsRequest(sender=sender, endpoint=place)
        try:
            reply = self.peers.call(
                member.peer_address, 'ReportPins', request, timeout_s=_REPORT_TIMEOUT_S
            )
        except PeerError:
            time.sleep(_PAUSE_S)
            return None
        adopt(parse_pins(reply.pins))
        return float(reply.unsettled_ms) / MS_PER_S
