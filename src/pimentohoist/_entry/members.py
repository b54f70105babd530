"""The daemons of the fleet, known by the heartbeats that they send one another.

A heartbeat is a datagram that may be lost; each one carries the full state again. Small
fleets send it from each to each, larger ones through relays. It carries a daemon's
partitions and counters, so that all daemons decide on quotas, loads and owners from the
same data.
"""

from __future__ import annotations

import json
import logging
import os
from collections.abc import Callable, Mapping, Sequence
from typing import Any, Self

from pimentohoist import _clock
from pimentohoist._decisions.heartbeat_routes import MAX_DIRECT_FLEET, Hop
from pimentohoist._entry.heartbeat import (
    Heartbeat,
    ReceivedHeartbeat,
    decode_heartbeat,
    is_newer,
)
from pimentohoist._entry.heartbeat_relay import (
    RelayedHeartbeat,
    decode_bundle,
    decode_datagram,
)
from pimentohoist._entry.heartbeat_sender import HeartbeatSender
from pimentohoist._entry.member_list import MemberList
from pimentohoist.platform import EntrySettings, Store

LIVE_TIMEOUT_S = 1.2
RELAYED_LIVE_TIMEOUT_S = 2.0
"""Three relayed heartbeats, and the time until silent relays are replaced."""

DEPARTED_TIMEOUT_S = 10.0
"""After this silence a daemon has departed, and its share is split among the others."""

MAX_NAMED_SILENCE_S = 6.5
"""The directory may name a daemon for 7 s after its end, and its last heartbeat may arrive
up to half a second after the end."""

_MAX_REJECTIONS_LOGGED = 100
_MALFORMED = (
    ValueError,
    TypeError,
    KeyError,
    IndexError,
    AttributeError,
    RecursionError,
    OverflowError,
)

_logger = logging.getLogger(__name__)


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
        self.on_heartbeat: list[Callable[[Heartbeat, Heartbeat | None], None]] = []
        self.on_stream_version: Callable[[str, str], None] = _ignore_stream_version
        self.received: dict[str, ReceivedHeartbeat] = {}
        self.member_list = MemberList(
            store,
            settings.name,
            settings.control_address,
            settings.failure_domain,
            lambda: not self.received,
            settings.link_mbps,
        )
        self.sender = HeartbeatSender(
            settings, make_heartbeat, self.member_list, self.received
        )
        self.incarnation = os.urandom(6).hex()
        self._rejections = 0

    def __enter__(self) -> Self:
        """Start sending and receiving."""
        self.sender.start(self._handle_datagram)
        self.member_list.__enter__()
        return self

    def __exit__(self, *exc_info: object) -> None:
        """Stop; the other daemons detect the missing heartbeats."""
        self.member_list.__exit__(*exc_info)
        self.sender.close()

    @property
    def member(self) -> str:
        """Return this daemon's name in the fleet: its address for other daemons."""
        return self.settings.control_address

    def live_timeout_s(self) -> float:
        """Return the time without a heartbeat after which a daemon isn't live."""
        is_relayed = len(self.member_list.confirmed_at) >= MAX_DIRECT_FLEET
        return RELAYED_LIVE_TIMEOUT_S if is_relayed else LIVE_TIMEOUT_S

    def live(self) -> list[Heartbeat]:
        """Return the newest heartbeats of the other daemons that are live."""
        since = _clock.now() - self.live_timeout_s()
        return [
            entry.heartbeat
            for entry in tuple(self.received.values())
            if entry.received_at >= since
        ]

    def reachable(self) -> list[Heartbeat]:
        """Return the newest heartbeats of the daemons that callers can probably reach.

        A daemon for which fewer than half of the others are live is probably cut off
        from them itself. Its callers aren't, so it returns all that it has heard of in the
        last `MAX_NAMED_SILENCE_S`.
        """
        live = self.live()
        now = _clock.now()
        silences = [
            (now - entry.received_at, entry.heartbeat)
            for entry in tuple(self.received.values())
            if entry.received_at >= now - DEPARTED_TIMEOUT_S
        ]
        if len(live) >= len(silences) / 2:
            return live
        return [
            heartbeat
            for silence_s, heartbeat in silences
            if silence_s < MAX_NAMED_SILENCE_S
        ]

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
        self.sender.send_now()

    def send_soon(self) -> None:
        """Send a heartbeat after a moment, in which further news may join it."""
        self.sender.send_soon()

    def send_stream_version(
        self, stream: str, version: str, members: Sequence[str]
    ) -> None:
        """Tell daemons which software version began a stream."""
        data = json.dumps({'stream': stream, 'version': version}).encode()
        for address in members:
            self.sender.datagrams.send(data, address)

    def dump(self) -> Mapping[str, Any]:
        """Return the age of each daemon's newest heartbeat, in seconds."""
        now = _clock.now()
        return {
            entry.heartbeat.member: round(now - entry.received_at, 3)
            for entry in tuple(self.received.values())
        }

    def _handle_datagram(self, data: bytes) -> None:
        try:
            self._apply(decode_datagram(data))
        except _MALFORMED as error:
            self._rejections += 1
            if self._rejections <= _MAX_REJECTIONS_LOGGED:
                extra = {'step': 'beat', 'cause': f'{error!r:.200}'}
                _logger.warning('datagram rejected', extra=extra)

    def _apply(self, document: Any) -> None:
        """Apply a datagram; raises ValueError, TypeError and KeyError."""
        if isinstance(document, list):
            self.sender.suspicion.record_heard(str(document[0]))
            self._record(RelayedHeartbeat(document, Hop.ORIGIN, _clock.now()))
        elif 'bundle' in document:
            self.sender.suspicion.record_heard(str(document['from']))
            for relayed in decode_bundle(document):
                self._record(relayed)
        else:
            self.on_stream_version(str(document['stream']), str(document['version']))

    def _record(self, relayed: RelayedHeartbeat) -> None:
        heartbeat = decode_heartbeat(relayed.fields)
        if heartbeat.member == self.member:
            return
        self.sender.relay.collect(heartbeat, relayed)
        received = ReceivedHeartbeat(heartbeat, relayed.sent_at)
        before = self.received.get(heartbeat.member)
        if before is not None and not is_newer(received, before):
            return
        self._log_live(heartbeat, before)
        self.store.era.record_reported(heartbeat.store_era, heartbeat.member)
        self.received[heartbeat.member] = received
        self.member_list.confirmed_at[heartbeat.member] = relayed.sent_at
        for listener in self.on_heartbeat:
            listener(heartbeat, None if before is None else before.heartbeat)

    def _log_live(self, heartbeat: Heartbeat, before: ReceivedHeartbeat | None) -> None:
        since = _clock.now() - self.live_timeout_s()
        if before is None or before.received_at < since:
            extra = {
                'step': 'beat',
                'peer': heartbeat.member,
                'version': heartbeat.version,
            }
            _logger.info('daemon is live', extra=extra)


def _ignore_stream_version(stream: str, version: str) -> None:
    """Do nothing with a stream's version."""
