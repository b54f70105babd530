"""The daemons of the fleet, known by the heartbeats that they send one another.

A heartbeat is a datagram that may be lost; each one carries the full state again. It
carries a daemon's partitions and counters, so that all daemons decide on quotas, loads
and owners from the same data.
"""

from __future__ import annotations

import json
import logging
import os
import socket
import threading
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any, Self

from pimentohoist import _clock
from pimentohoist._addresses import split_address
from pimentohoist._decisions.ownership import Ownership
from pimentohoist._entry.member_list import MemberList
from pimentohoist.platform import EntrySettings, Store

HEARTBEAT_INTERVAL_S = 0.25
"""Four heartbeats in the second or so within which a daemon counts as live."""

_STARTUP_HEARTBEAT_INTERVAL_S = 0.05
LIVE_TIMEOUT_S = 1.2
DEPARTED_TIMEOUT_S = 10.0
"""After this silence a daemon has departed, and its share is split among the others."""

_JOIN_DELAY_S = 0.02
"""A crash cuts many requests within a few milliseconds, which share one heartbeat."""

_MAX_DATAGRAM_BYTES = 65_000
_MAX_ADDRESS_AGE_S = 120.0

_logger = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """The state that a daemon sends to the others a few times a second.

    Attributes
    ----------
    adapter_versions : int
        Digest of the adapter versions that it knows.
    admitted_tokens : mapping of str to float
        Tokens admitted by workspace since the start of the incarnation.
    in_flight : mapping of str to mapping of str to int
        Number of its requests in flight by endpoint id and adapter.
    engines : mapping of str to list
        For each engine that it owns: free adapter slots, and the adapters in the slots.
    crash_reports : list of str
        Fingerprints of requests that crash endpoints.
    draining_endpoints : list of str
        Incarnations of endpoints that it recently read as draining.
    part_reports : list of list
        Parts of prompts that may crash engines: id, seconds since the last crash, crashed
        incarnations, those of them that had begun an answer, other parts that were always
        suspect with it.
    cleared_parts : list of str
        Parts that were suspect and are cleared.
    endpoint_limits : list of list
        Newest statements of endpoints on their limits: incarnation, requests a second or
        None, seconds since the request was sent.
    declarations_read_age_s : float or None
        Time since the store last answered its reads of the operators' records.
    store_era : int
        Newest era of the store that it knows.
    """

    member: str
    incarnation: str
    failure_domain: str
    callers_address: str
    is_ready: bool
    version: int
    adapter_versions: int
    generation: int
    partitions: list[int] = field(default_factory=list)
    admitted_tokens: Mapping[str, float] = field(default_factory=dict)
    in_flight: Mapping[str, Mapping[str, int]] = field(default_factory=dict)
    engines: Mapping[str, tuple[int, list[str]]] = field(default_factory=dict)
    crash_reports: list[str] = field(default_factory=list)
    draining_endpoints: list[str] = field(default_factory=list)
    declarations_read_age_s: float | None = None
    store_era: int = 0
    part_reports: list[list[Any]] = field(default_factory=list)
    cleared_parts: list[str] = field(default_factory=list)
    endpoint_limits: list[list[Any]] = field(default_factory=list)

    def ownership(self) -> Ownership:
        """Return which partitions the daemon claims."""
        return Ownership(self.member, self.generation, frozenset(self.partitions))

    def in_flight_at(self, endpoint_id: str) -> int:
        """Return how many of its requests are in flight at an endpoint."""
        return sum(self.in_flight.get(endpoint_id, {}).values())


@dataclass(frozen=True, slots=True)
class ReceivedHeartbeat:
    """A daemon's newest heartbeat, and when it was received."""

    heartbeat: Heartbeat
    received_at: float


class MembersController:
    """Implements `Controller`: sends heartbeats and keeps those of other daemons.

    Parameters
    ----------
    make_heartbeat : callable
        Returns this daemon's current heartbeat.

    Attributes
    ----------
    on_heartbeat : list of callable
        Called with a heartbeat and the sender's previous one, if there was one.
    on_stream_version : callable
        Called with a stream and the software version that began it.
    received : dict of str to ReceivedHeartbeat
        The newest heartbeat of each daemon, by its address.
    member_list : MemberList
        Addresses of the daemons.
    """

    def __init__(
        self,
        settings: EntrySettings,
        store: Store,
        make_heartbeat: Callable[[], Heartbeat],
    ) -> None:
        self.settings = settings
        self.store = store
        self.make_heartbeat = make_heartbeat
        self.on_heartbeat: list[Callable[[Heartbeat, Heartbeat | None], None]] = []
        self.on_stream_version: Callable[[str, str], None] = _ignore_stream_version
        self.received: dict[str, ReceivedHeartbeat] = {}
        self.member_list = MemberList(
            store, settings.name, settings.control_address, lambda: not self.received
        )
        self.incarnation = os.urandom(6).hex()
        self._is_sending_soon = False
        self._lock = threading.Lock()
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._closed = threading.Event()
        self._threads = [
            threading.Thread(target=target, name=target.__name__, daemon=True)
            for target in (self._send_heartbeats, self._receive)
        ]

    def __enter__(self) -> Self:
        """Start sending and receiving."""
        self._socket.bind((self.settings.host, self.settings.peer_port))
        for thread in self._threads:
            thread.start()
        self.member_list.__enter__()
        return self

    def __exit__(self, *exc_info: object) -> None:
        """Stop; the other daemons detect the missing heartbeats."""
        self._closed.set()
        self.member_list.__exit__(*exc_info)
        self._socket.close()

    @property
    def member(self) -> str:
        """Return this daemon's name in the fleet: its address for other daemons."""
        return self.settings.control_address

    def live(self) -> list[Heartbeat]:
        """Return the newest heartbeats of the other daemons that are live."""
        since = _clock.now() - LIVE_TIMEOUT_S
        return [
            entry.heartbeat
            for entry in tuple(self.received.values())
            if entry.received_at >= since
        ]

    def reachable(self) -> list[Heartbeat]:
        """Return the newest heartbeats of the daemons that callers can probably reach.

        A daemon for which fewer than half of the others are live is probably cut off
        from them itself. Its callers aren't, so it returns all that have not departed.
        """
        live = self.live()
        since = _clock.now() - DEPARTED_TIMEOUT_S
        known = [
            entry.heartbeat
            for entry in tuple(self.received.values())
            if entry.received_at >= since
        ]
        return known if len(live) < len(known) / 2 else live

    def known_count(self) -> int:
        """Return how many other daemons have not departed."""
        since = _clock.now() - DEPARTED_TIMEOUT_S
        return sum(
            entry.received_at >= since for entry in tuple(self.received.values())
        )

    def live_share(self) -> float:
        """Return the share of the fleet's daemons that are live, this one included."""
        return (1 + len(self.live())) / (1 + self.known_count())

    def send_now(self) -> None:
        """Send a heartbeat at once."""
        own = self.make_heartbeat()
        data = json.dumps(_encode(own), separators=(',', ':')).encode()
        for host in self._hosts():
            self._send(data, host)

    def send_soon(self) -> None:
        """Send a heartbeat after a moment, in which further news may join it."""
        with self._lock:
            if self._is_sending_soon:
                return
            self._is_sending_soon = True
        timer = threading.Timer(_JOIN_DELAY_S, self._send_joined)
        timer.daemon = True
        timer.start()

    def send_stream_version(
        self, stream: str, version: str, members: Sequence[str]
    ) -> None:
        """Tell daemons which software version began a stream."""
        data = json.dumps({'stream': stream, 'version': version}).encode()
        for address in members:
            self._send(data, split_address(address)[0])

    def dump(self) -> Mapping[str, Any]:
        """Return the age of each daemon's newest heartbeat, in seconds."""
        now = _clock.now()
        return {
            entry.heartbeat.member: round(now - entry.received_at, 3)
            for entry in tuple(self.received.values())
        }

    def _send_joined(self) -> None:
        with self._lock:
            self._is_sending_soon = False
        self.send_now()

    def _hosts(self) -> set[str]:
        since = _clock.now() - _MAX_ADDRESS_AGE_S
        known = [
            address
            for address, at in tuple(self.member_list.confirmed_at.items())
            if at >= since
        ]
        named = (*known, *self.settings.seeds)
        hosts = {split_address(address)[0] for address in named}
        return hosts - {self.settings.host}

    def _send(self, data: bytes, host: str) -> None:
        try:
            self._socket.sendto(data, (host, self.settings.peer_port))
        except OSError as error:
            if not self._closed.is_set():
                extra = {'step': 'beat', 'peer': host, 'cause': str(error)}
                _logger.debug('heartbeat not sent', extra=extra)

    def _send_heartbeats(self) -> None:
        interval_s = _STARTUP_HEARTBEAT_INTERVAL_S
        while not self._closed.wait(interval_s):
            # A daemon that has just started announces itself at a shorter interval.
            interval_s = (
                HEARTBEAT_INTERVAL_S if self.received else _STARTUP_HEARTBEAT_INTERVAL_S
            )
            try:
                self.send_now()
            except Exception:
                _logger.exception('sending heartbeats failed', extra={'step': 'beat'})

    def _receive(self) -> None:
        while not self._closed.is_set():
            try:
                data, _ = self._socket.recvfrom(_MAX_DATAGRAM_BYTES)
            except OSError as error:
                if not self._closed.is_set():
                    extra = {'step': 'beat', 'cause': str(error)}
                    _logger.warning('heartbeat not received', extra=extra)
                    self._closed.wait(HEARTBEAT_INTERVAL_S)
                continue
            self._handle_datagram(data)

    def _handle_datagram(self, data: bytes) -> None:
        try:
            fields = json.loads(data)
            if isinstance(fields, dict):
                self.on_stream_version(str(fields['stream']), str(fields['version']))
                return
            heartbeat = _decode(fields)
        except (ValueError, TypeError, KeyError) as error:
            _logger.warning(
                'datagram rejected', extra={'step': 'beat', 'cause': repr(error)}
            )
            return
        if heartbeat.member == self.member:
            return
        now = _clock.now()
        before = self.received.get(heartbeat.member)
        if before is None or now - before.received_at > LIVE_TIMEOUT_S:
            extra = {
                'step': 'beat',
                'peer': heartbeat.member,
                'version': heartbeat.version,
            }
            _logger.info('daemon is live', extra=extra)
        self.store.era.record_reported(heartbeat.store_era, heartbeat.member)
        self.received[heartbeat.member] = ReceivedHeartbeat(heartbeat, now)
        self.member_list.confirmed_at[heartbeat.member] = now
        for listener in self.on_heartbeat:
            listener(heartbeat, None if before is None else before.heartbeat)


def _encode(heartbeat: Heartbeat) -> list[Any]:
    return [getattr(heartbeat, name) for name in Heartbeat.__slots__]


def _ignore_stream_version(stream: str, version: str) -> None:
    """Do nothing with a stream's version."""


def _decode(fields: Any) -> Heartbeat:
    """Return a heartbeat; an earlier build sends fewer fields, a later one more."""
    if not isinstance(fields, list):
        raise ValueError('heartbeat: expected a list of its fields')
    return Heartbeat(*fields[: len(Heartbeat.__slots__)])
