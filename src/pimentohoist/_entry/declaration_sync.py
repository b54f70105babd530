"""Exchange of configurations between daemons."""

from __future__ import annotations

import logging
import threading
from collections.abc import Mapping
from typing import Any, Self

from pimentohoist._entry.declarations import DeclarationsController
from pimentohoist._entry.heartbeat import Heartbeat
from pimentohoist._entry.members import MembersController
from pimentohoist._generated import peer_pb2
from pimentohoist._peers import PeerClients
from pimentohoist.exceptions import PeerError

_TIMEOUT_S = 0.8
_STORE_HEAD_START_S = 0.3
"""The store announces a change to all daemons at nearly the same time; only a daemon
that has missed it after this time fetches it from another one."""

_logger = logging.getLogger(__name__)


class DeclarationSync:
    """Implements `Controller`: fetches configurations that heartbeats announce."""

    def __init__(
        self,
        declarations: DeclarationsController,
        members: MembersController,
        peers: PeerClients,
    ) -> None:
        self.declarations = declarations
        self.peers = peers
        self._newer: Heartbeat | None = None
        self._wake = threading.Event()
        self._closed = threading.Event()
        self._thread = threading.Thread(target=self._run, name='newer', daemon=True)
        members.on_heartbeat.append(self._record_heartbeat)

    def __enter__(self) -> Self:
        """Start fetching."""
        self._thread.start()
        return self

    def __exit__(self, *exc_info: object) -> None:
        """Stop fetching."""
        self._closed.set()
        self._wake.set()

    def peer_methods(self) -> Mapping[str, Any]:
        """Return the methods that other daemons call."""
        return {'FetchDeclaration': self._handle_fetch_declaration}

    def _handle_fetch_declaration(self, request: peer_pb2.DeclarationRequest) -> Any:
        text, versions = self.declarations.texts()
        if self.declarations.version <= request.known_version:
            text = b''
        return peer_pb2.DeclarationReply(declaration=text, adapter_versions=versions)

    def _record_heartbeat(self, heartbeat: Heartbeat, before: Heartbeat | None) -> None:
        if self._is_newer(heartbeat):
            self._newer = heartbeat
            self._wake.set()

    def _is_newer(self, heartbeat: Heartbeat) -> bool:
        declarations = self.declarations
        if heartbeat.version != declarations.version:
            return heartbeat.version > declarations.version
        # The digest doesn't tell which of the two misses something.
        return heartbeat.adapter_versions != declarations.versions_digest

    def _run(self) -> None:
        while not self._closed.is_set():
            self._wake.wait()
            self._closed.wait(_STORE_HEAD_START_S)
            self._wake.clear()
            announced, self._newer = self._newer, None
            if announced is None or self._closed.is_set():
                continue
            if self._is_newer(announced):
                self._fetch(announced.member)

    def _fetch(self, address: str) -> None:
        request = peer_pb2.DeclarationRequest(known_version=self.declarations.version)
        try:
            response = self.peers.call(
                address, 'FetchDeclaration', request, timeout_s=_TIMEOUT_S
            )
        except PeerError as error:
            extra = {'step': 'configuration', 'peer': address, 'cause': str(error)}
            _logger.info('configuration not fetched', extra=extra)
            return
        if self._apply(response, address):
            self.declarations.follower.freshness.record_missed()

    def _apply(self, response: peer_pb2.DeclarationReply, address: str) -> bool:
        """Apply what is newer of a daemon's declarations; return whether anything was."""
        declarations = self.declarations
        applied = [
            declarations.apply_newer_version(text, address)
            for text in response.adapter_versions
        ]
        if response.declaration:
            applied.append(declarations.apply_newer(response.declaration, address))
        return any(applied)
