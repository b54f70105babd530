"""Keeps streams at the software version that began them, whichever daemon resumes them.

A daemon tells two others which version began a stream before the first event is passed on.
Which two follows from the stream's name, so that any daemon knows whom to ask. While a
group has engines of several versions, streams are appended to the store as well, since all
daemons may be lost at once; the versions in service are always recorded there.
"""

from __future__ import annotations

import logging
import threading
from collections.abc import Callable, Mapping
from typing import Any

from pimentohoist import _clock
from pimentohoist._decisions.stream_register import (
    StreamRecord,
    StreamRegister,
    stream_digest,
)
from pimentohoist._decisions.version_history import VERSION_KEPT_S
from pimentohoist._entry.endpoint_incarnations import EndpointIncarnations
from pimentohoist._entry.endpoints import EndpointsController
from pimentohoist._entry.filters import add_jitter
from pimentohoist._entry.heartbeat import Heartbeat
from pimentohoist._entry.members import MembersController
from pimentohoist._entry.request_context import RequestContext, log_fields
from pimentohoist._entry.service_versions import ServiceVersions
from pimentohoist._entry.stream_log import StreamLog
from pimentohoist._generated import peer_pb2
from pimentohoist._peers import PeerClients
from pimentohoist._rendezvous import rank_names
from pimentohoist.exceptions import PeerError, UnavailableError

_STEP = 'stream_version'
_COPIES = 2
_MAX_ASKED = 4
"""Both daemons with copies, and the next two: the daemon that told them may have ranked
others as live."""

_MAX_READ_AGE_S = 2.5
"""A daemon reads the endpoints every 1.5 s at most."""

_MAX_HEARTBEAT_AGE_S = 0.9
"""Other daemons say with each heartbeat which versions they see."""

_CATCH_UP_S = 1.0
"""After a time without heartbeats the first ones may have waited in the socket."""

_REAPPEND_INTERVAL_S = 8.0
"""The store may keep records for 20 s only, and streams last longer."""

_TIMEOUT_S = 0.15
_RETRY_AFTER_S = 0.5

_UNKNOWN = 'none'
_Source = Callable[[str], tuple[str | None, str]]

_logger = logging.getLogger(__name__)


class StreamVersions:
    """Implements `Filter`: finds the version of streams that callers take up again."""

    def __init__(
        self,
        endpoints: EndpointsController,
        members: MembersController,
        peers: PeerClients,
        stream_log: StreamLog,
    ) -> None:
        self.endpoints = endpoints
        self.members = members
        self.peers = peers
        self.stream_log = stream_log
        self.register = StreamRegister()
        self.versions = ServiceVersions(endpoints, members, stream_log)
        self.incarnations = EndpointIncarnations(endpoints)
        self._started_at = _clock.now()
        self._appended_at: dict[tuple[str, int], float] = {}
        self._heard_at = float('-inf')
        self._unheard_until = float('-inf')
        self._lock = threading.Lock()
        members.on_stream_version = self._record
        members.on_heartbeat.append(self._record_heartbeat)
        endpoints.on_applied.append(self._record_applied)

    def __call__(self, context: RequestContext) -> None:
        """Set the version at which a stream goes on that its caller takes up.

        Raises
        ------
        UnavailableError
            The version isn't known, and engines of several may have served lately.
        """
        request = context.request
        if not (request.last_event_id and context.route.can_resume):
            return
        if context.stream_version is not None:
            # The daemon that forwards the request has found it.
            named = context.stream_version
            context.stream_version = self.incarnations.resolved(named)
            return
        version, source = self._find(context.group.name, request.resumed_id)
        if version is not None:
            version = self.incarnations.resolved(version)
        candidates: set[str] = set()
        if version is None:
            candidates = self._candidates(context.group.name)
        if len(candidates) == 1:
            version, source = next(iter(candidates)), 'only version'
        context.stream_version = version
        extra = {
            **log_fields(context),
            'resumed_id': request.resumed_id,
            'software_version': version,
            'source': source,
            'versions': sorted(candidates),
        }
        _logger.info('stream is taken up', extra=extra)
        if version is None:
            raise UnavailableError(
                'which software version began the stream is not known',
                step=_STEP,
                retry_after_s=add_jitter(_RETRY_AFTER_S),
            )

    def peer_methods(self) -> Mapping[str, Any]:
        """Return the methods that other daemons call."""
        return {'FetchStreamVersion': self._handle_fetch}

    def record_begun(self, context: RequestContext, version: str) -> None:
        """Record the version of a stream before its first event is passed on."""
        context.stream_version = version
        if not context.route.can_resume:
            return
        group = context.group.name
        stream = stream_digest(context.request.resumed_id or context.request.request_id)
        self._record(stream, version, group)
        if len(self.versions.of_group(group) | {version}) > 1:
            ranked = rank_names(stream, self._others())
            self.members.send_stream_version(stream, version, ranked[:_COPIES])
            self.stream_log.append([StreamRecord(stream, version, group, 0)])

    def _record_applied(self) -> None:
        self.versions.read_history()
        self._append_recent()
        self.versions.record_due()

    def _append_recent(self) -> None:
        """Append the streams that began before several versions were in service.

        In a new era of the store it may have lost them.
        """
        now = _clock.now()
        era = self.stream_log.store.era.current
        for group, versions in self.versions.ages().items():
            appended_at = self._appended_at.get((group, era), float('-inf'))
            if len(versions) == 1 or now < appended_at + _REAPPEND_INTERVAL_S:
                continue
            if (group, era) not in self._appended_at:
                # The others may read of the versions later than this daemon.
                self.members.send_soon()
            self._appended_at[group, era] = now
            with self._lock:
                recent = self.register.recent(group, now - VERSION_KEPT_S)
            self.stream_log.append(recent)

    def _record(self, stream: str, version: str, group: str = '') -> None:
        with self._lock:
            self.register.record(stream, version, _clock.now(), group)

    def _find(self, group: str, resumed_id: str) -> tuple[str | None, str]:
        """Return the version of a stream and who knows it."""
        if not resumed_id:
            return None, _UNKNOWN
        stream = stream_digest(resumed_id)
        version = self._known_version(stream)
        if version is not None:
            return version, 'own'
        if not self._may_have_missed_versions():
            if len(self.versions.of_group(group)) == 1:
                return None, _UNKNOWN
            return self._first_answer(stream, self._ask_others, self._ask_store)
        return self._first_answer(stream, self._ask_store, self._ask_others)

    def _first_answer(self, stream: str, *sources: _Source) -> tuple[str | None, str]:
        for ask in sources:
            version, source = ask(stream)
            if version is not None:
                self._record(stream, version)
                return version, source
        return None, _UNKNOWN

    def _candidates(self, group: str) -> set[str]:
        """Return the versions at which a stream may have begun; empty if unknown.

        If daemons have departed the stream was theirs, or that of one that knows a single
        version: all others tell of their streams.
        """
        versions = self.versions.of_group(group)
        if not self._may_have_missed_versions():
            return versions
        history = self.stream_log.read()
        if history is None:
            return set()
        now = _clock.now()
        live = self.versions.live_incarnations()
        era = self.stream_log.store.era.current
        if history.versions.has_lost_records(live, era, now):
            return set()
        departed = set(history.versions.departed(live, now).get(group, ()))
        singles = history.versions.only_versions(group, live, now)
        if len(versions) == 1 or not departed:
            departed |= versions
        return departed | singles

    def _may_have_missed_versions(self) -> bool:
        """Return whether engines may have served that this daemon hasn't heard of.

        They came and went before it started, or joined while it stood still or was cut off.
        """
        now = _clock.now()
        if now < self._started_at + VERSION_KEPT_S:
            return True
        if not self.members.known_count():
            read_age_s = now - self.endpoints.follower.status.last_sent_at
            return read_age_s > _MAX_READ_AGE_S
        # A daemon that has begun streams at a version reports it.
        is_in_touch = (
            now - self._heard_at <= _MAX_HEARTBEAT_AGE_S
            and now - self._unheard_until > _CATCH_UP_S
            and self.members.live_share() == 1
        )
        return not is_in_touch

    def _record_heartbeat(
        self, heartbeat: Heartbeat, previous: Heartbeat | None
    ) -> None:
        now = _clock.now()
        if now - self._heard_at > _MAX_HEARTBEAT_AGE_S:
            self._unheard_until = now
        self._heard_at = now
        if self.versions.record_heartbeat(heartbeat):
            self._append_recent()

    def _ask_store(self, stream: str) -> tuple[str | None, str]:
        history = self.stream_log.read()
        if history is None:
            return None, _UNKNOWN
        return history.register.version(stream, _clock.now()), 'store'

    def _ask_others(self, stream: str) -> tuple[str | None, str]:
        """Return a stream's version and the daemon that knows it."""
        for address in rank_names(stream, self._others())[:_MAX_ASKED]:
            request = peer_pb2.StreamVersionRequest(stream=stream)
            try:
                reply = self.peers.call(
                    address, 'FetchStreamVersion', request, timeout_s=_TIMEOUT_S
                )
            except PeerError as error:
                extra = {'step': _STEP, 'peer': address, 'cause': str(error)}
                _logger.info('version of a stream not fetched', extra=extra)
                continue
            if reply.version:
                return reply.version, address
        return None, _UNKNOWN

    def _known_version(self, stream: str) -> str | None:
        with self._lock:
            return self.register.version(stream, _clock.now())

    def _handle_fetch(
        self, request: peer_pb2.StreamVersionRequest
    ) -> peer_pb2.StreamVersionReply:
        version = self._known_version(request.stream) or ''
        return peer_pb2.StreamVersionReply(version=version)

    def _others(self) -> list[str]:
        return [heartbeat.member for heartbeat in self.members.live()]
