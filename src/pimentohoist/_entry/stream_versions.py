"""Keeps streams at the software version that began them, whichever daemon resumes them.

A daemon tells two others which version began a stream before the first event is passed on.
Which two follows from the stream's name, so that any daemon knows whom to ask.
"""

from __future__ import annotations

import logging
import threading
from collections.abc import Mapping
from typing import Any

from pimentohoist import _clock
from pimentohoist._decisions.stream_register import StreamRegister, stream_digest
from pimentohoist._entry.endpoints import EndpointsController
from pimentohoist._entry.filters import add_jitter
from pimentohoist._entry.members import MembersController
from pimentohoist._entry.request_context import RequestContext, log_fields
from pimentohoist._generated import peer_pb2
from pimentohoist._peers import PeerClients
from pimentohoist._rendezvous import rank_names
from pimentohoist.exceptions import PeerError, UnavailableError

_STEP = 'stream_version'
_COPIES = 2
_MAX_ASKED = 4
"""Both daemons with copies, and the next two: the daemon that told them may have ranked
others as live."""

_VERSION_KEPT_S = 30.0
"""Callers take up streams for about this time after an engine has gone."""

_TIMEOUT_S = 0.15
_RETRY_AFTER_S = 0.5

_logger = logging.getLogger(__name__)


class StreamVersions:
    """Implements `Filter`: finds the version of streams that callers take up again."""

    def __init__(
        self,
        endpoints: EndpointsController,
        members: MembersController,
        peers: PeerClients,
    ) -> None:
        self.endpoints = endpoints
        self.members = members
        self.peers = peers
        self.register = StreamRegister()
        self._seen_at: dict[str, dict[str, float]] = {}
        self._lock = threading.Lock()
        members.on_stream_version = self._record

    def __call__(self, context: RequestContext) -> None:
        """Set the version at which a stream goes on that its caller takes up.

        Raises
        ------
        UnavailableError
            The version isn't known, and engines of several have served lately.
        """
        request = context.request
        if not (request.last_event_id and context.route.can_resume):
            return
        versions = self._versions_of(context.group.name)
        stream = stream_digest(request.resumed_id)
        source = 'none'
        if request.resumed_id:
            context.stream_version, source = self._find(stream)
        if not context.stream_version and len(versions) == 1:
            context.stream_version = next(iter(versions))
        extra = {
            **log_fields(context),
            'resumed_id': request.resumed_id,
            'software_version': context.stream_version,
            'source': source,
            'versions': sorted(versions),
        }
        _logger.info('stream is taken up', extra=extra)
        if not context.stream_version and versions:
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
        stream = stream_digest(context.request.resumed_id or context.request.request_id)
        self._record(stream, version)
        if len(self._versions_of(context.group.name)) > 1:
            ranked = rank_names(stream, self._others())
            self.members.send_stream_version(stream, version, ranked[:_COPIES])

    def _versions_of(self, group: str) -> set[str]:
        """Return the versions of a group's engines, those lately gone included."""
        now = _clock.now()
        with self._lock:
            seen_at = {
                version: at
                for version, at in self._seen_at.get(group, {}).items()
                if at >= now - _VERSION_KEPT_S
            }
            for endpoint in self.endpoints.alive():
                if endpoint.group == group:
                    seen_at[endpoint.software_version] = now
            self._seen_at[group] = seen_at
            return set(seen_at)

    def _record(self, stream: str, version: str) -> None:
        with self._lock:
            self.register.record(stream, version, _clock.now())

    def _find(self, stream: str) -> tuple[str | None, str]:
        """Return a stream's version and who knows it."""
        version = self._known_version(stream)
        if version:
            return version, 'own'
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
                self._record(stream, reply.version)
                return reply.version, address
        return None, 'none'

    def _known_version(self, stream: str) -> str:
        with self._lock:
            return self.register.version(stream, _clock.now())

    def _handle_fetch(
        self, request: peer_pb2.StreamVersionRequest
    ) -> peer_pb2.StreamVersionReply:
        return peer_pb2.StreamVersionReply(version=self._known_version(request.stream))

    def _others(self) -> list[str]:
        return [heartbeat.member for heartbeat in self.members.live()]
