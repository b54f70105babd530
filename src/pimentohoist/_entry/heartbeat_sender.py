"""Sends a daemon's heartbeats, and passes on those of others."""

from __future__ import annotations

import json
import logging
import math
import threading
from collections.abc import Callable, Collection, Iterable, Mapping
from dataclasses import replace
from typing import Any

from pimentohoist import _clock
from pimentohoist._decisions.heartbeat_routes import HeartbeatRoutes, Hop
from pimentohoist._entry.heartbeat import (
    Heartbeat,
    ReceivedHeartbeat,
    encode_heartbeat,
)
from pimentohoist._entry.heartbeat_relay import (
    HeartbeatRelay,
    RelayedHeartbeat,
    RelaySuspicion,
    encode_bundle,
)
from pimentohoist._entry.heartbeat_socket import HeartbeatSocket
from pimentohoist._entry.member_list import MemberList
from pimentohoist.platform import EntrySettings

HEARTBEAT_INTERVAL_S = 0.25
"""Four heartbeats in the second or so within which a daemon counts as live."""

RELAYED_HEARTBEAT_INTERVAL_S = 0.5
"""Relays pass heartbeats on each `HEARTBEAT_INTERVAL_S`."""

_STARTUP_HEARTBEAT_INTERVAL_S = 0.05
_JOIN_DELAY_S = 0.02
"""A crash cuts many requests within a few milliseconds, which share one heartbeat."""

_MAX_ADDRESS_AGE_S = 120.0

_logger = logging.getLogger(__name__)


class HeartbeatSender:
    """Sends heartbeats in a thread of its own.

    Parameters
    ----------
    make_heartbeat : callable
        Returns this daemon's current heartbeat.
    received : mapping of str to ReceivedHeartbeat
        The newest heartbeat of each daemon, by its address.

    Attributes
    ----------
    owners_of : callable
        Returns the daemons that own some of the engines that are named.
    """

    def __init__(
        self,
        settings: EntrySettings,
        make_heartbeat: Callable[[], Heartbeat],
        member_list: MemberList,
        received: Mapping[str, ReceivedHeartbeat],
    ) -> None:
        self.settings = settings
        self.make_heartbeat = make_heartbeat
        self.member_list = member_list
        self.received = received
        self.owners_of: Callable[[Iterable[str]], set[str]] = _no_owners
        self.member = settings.control_address
        self.relay = HeartbeatRelay(self.member)
        self.suspicion = RelaySuspicion()
        self.datagrams = HeartbeatSocket(settings.host, settings.peer_port)
        self._sequence = 0
        self._relays: list[str] = []
        self._informed_owners: set[str] = set()
        self._next_heartbeat_at = -math.inf
        self._is_sending_soon = False
        self._lock = threading.Lock()
        self._closed = threading.Event()
        self._thread = threading.Thread(
            target=self._send_heartbeats, name='heartbeats', daemon=True
        )

    def start(self, handle_datagram: Callable[[bytes], None]) -> None:
        """Start sending, and pass on what arrives."""
        self.datagrams.start(handle_datagram)
        self._thread.start()

    def close(self) -> None:
        """Stop sending."""
        self._closed.set()
        self.datagrams.close()

    def send_now(self) -> None:
        """Send a heartbeat at once."""
        heartbeat, fields = self._next_heartbeat()
        data = json.dumps(fields, separators=(',', ':')).encode()
        routes = self.routes()
        targets = routes.targets()
        for address in targets:
            self.datagrams.send(data, address)
        if not routes.is_relayed:
            return
        self._send_to_owners(heartbeat, fields, targets)
        if routes.is_relay:
            own = RelayedHeartbeat(fields, Hop.ORIGIN, _clock.now())
            self.relay.collect(heartbeat, own)

    def routes(self) -> HeartbeatRoutes:
        """Return to whom heartbeats go now."""
        since = _clock.now() - _MAX_ADDRESS_AGE_S
        listed = tuple(self.member_list.confirmed_at.items())
        recent = [address for address, at in listed if at >= since]
        domains = {
            address: self._domain_of(address)
            for address in (*recent, *self.settings.seeds)
            if address != self.member
        }
        unrelayed = {
            address
            for address in domains
            if address in self.received
            and not self.received[address].heartbeat.sequence
        }
        domain = self.settings.failure_domain
        return HeartbeatRoutes(
            self.member,
            domain,
            domains,
            self.suspicion.suspects(),
            unrelayed,
            {
                address: self._link_mbps_of(address)
                for address in (self.member, *domains)
            },
        )

    def send_soon(self) -> None:
        """Send a heartbeat after a moment, in which further news may join it."""
        with self._lock:
            if self._is_sending_soon:
                return
            self._is_sending_soon = True
        timer = threading.Timer(_JOIN_DELAY_S, self._send_joined)
        timer.daemon = True
        timer.start()

    def _next_heartbeat(self) -> tuple[Heartbeat, list[Any]]:
        with self._lock:
            self._sequence += 1
            sequence = self._sequence
        heartbeat = replace(self.make_heartbeat(), sequence=sequence)
        return heartbeat, encode_heartbeat(heartbeat)

    def _send_to_owners(
        self, heartbeat: Heartbeat, fields: list[Any], reached: Collection[str] = ()
    ) -> None:
        """Send a heartbeat to the owners of the engines that run requests of this daemon.

        They keep a granted adapter only for a short time until its use is reported.
        """
        engines = [
            endpoint_id
            for endpoint_id, adapters in heartbeat.in_flight.items()
            if any(adapters)
        ]
        owners = self.owners_of(engines) - {self.member}
        # An owner hears once more when the last request has ended.
        targets = (owners | self._informed_owners) - set(reached)
        self._informed_owners = owners
        if targets:
            data = encode_bundle(self.member, [[0, int(Hop.END), fields]])
            for address in targets:
                self.datagrams.send(data, address)

    def _send_joined(self) -> None:
        with self._lock:
            self._is_sending_soon = False
        self.send_now()

    def _domain_of(self, address: str) -> str:
        received = self.received.get(address)
        if received is None:
            return self.member_list.domains.get(address, '')
        return received.heartbeat.failure_domain

    def _link_mbps_of(self, address: str) -> float:
        """Return the speed of a daemon's link in Mbit/s; 0 if it isn't known."""
        if address == self.member:
            return self.settings.link_mbps
        received = self.received.get(address)
        if received is None:
            return self.member_list.link_mbps.get(address, 0)
        return received.heartbeat.link_mbps

    def _send_heartbeats(self) -> None:
        interval_s = _STARTUP_HEARTBEAT_INTERVAL_S
        while not self._closed.wait(interval_s):
            if self.received:
                interval_s = HEARTBEAT_INTERVAL_S
            try:
                self._send_due()
            except Exception:
                _logger.exception('sending heartbeats failed', extra={'step': 'beat'})

    def _send_due(self) -> None:
        """Send the own heartbeat if it is due, and those that are to be passed on."""
        routes = self.routes()
        now = _clock.now()
        is_due = now >= self._next_heartbeat_at or routes.own_relays != self._relays
        self._relays = routes.own_relays
        if is_due or not routes.is_relayed:
            # The thread wakes a little late each time.
            due_s = RELAYED_HEARTBEAT_INTERVAL_S - HEARTBEAT_INTERVAL_S / 2
            self._next_heartbeat_at = now
            if self.received:
                self._next_heartbeat_at += due_s
            self.send_now()
        if not routes.is_relayed:
            return
        if not is_due:
            self._send_to_owners(*self._next_heartbeat())
        self.suspicion.expect(routes.expected_senders())
        for address, data in self.relay.bundles(routes):
            self.datagrams.send(data, address)


def _no_owners(endpoint_ids: Iterable[str]) -> set[str]:
    """Return none: the owners aren't known yet."""
    return set()
