"""Finds out which endpoints this daemon reaches, and that it has lost links to them.

Requests show it first; what they leave in doubt is settled by connections without a
request, which are tried only while links are lost or in doubt.
"""

from __future__ import annotations

import logging
import threading
from collections import defaultdict
from collections.abc import Callable, Iterable, Mapping
from typing import Any, Self

from pimentohoist import _clock
from pimentohoist._decisions.endpoint_links import EndpointLinks
from pimentohoist._decisions.forwarding import reaches_any
from pimentohoist._entry.connections import ConnectionPool
from pimentohoist._entry.endpoints import EndpointsController
from pimentohoist._entry.link_probe import connect_all
from pimentohoist._entry.members import MembersController
from pimentohoist.entry_models import Endpoint

_STEP = 'links'
_PROBE_INTERVAL_S = 0.25
_PROBE_TIMEOUT_S = 0.5
_IDLE_INTERVAL_S = 1.0
_MAX_WITNESSES = 3
_WITNESSED_S = 0.2
"""Requests that an endpoint breaks off at the same moment share a check."""

_MAX_ANNOUNCED = 200

_logger = logging.getLogger(__name__)


class LinkMonitor:
    """Implements `Controller`: keeps this daemon's links to endpoints.

    Attributes
    ----------
    on_isolated : callable
        Called with whether this daemon reaches no engine while another one does; again
        while that lasts.
    """

    def __init__(
        self,
        endpoints: EndpointsController,
        members: MembersController,
        connections: ConnectionPool,
    ) -> None:
        self.endpoints = endpoints
        self.members = members
        self.connections = connections
        self.links = EndpointLinks()
        self.on_isolated: Callable[[bool], None] = _ignore
        self._isolated_groups: set[str] = set()
        self._checked_at = float('-inf')
        self._witnesses: list[Endpoint] = []
        self._witness_lock = threading.Lock()
        self._closed = threading.Event()
        self._wake = threading.Event()
        self._thread = threading.Thread(target=self._run, name='links', daemon=True)

    def __enter__(self) -> Self:
        """Start probing."""
        self._thread.start()
        return self

    def __exit__(self, *exc_info: object) -> None:
        """Stop probing."""
        self._closed.set()
        self._wake.set()

    def record_heard(self, endpoint: Endpoint) -> None:
        """Record that an endpoint has sent bytes or accepted a connection."""
        if endpoint.is_daemon:
            return
        now = _clock.now()
        lost = self.links.record_heard(endpoint.incarnation, now)
        if lost is not None:
            self.endpoints.health_of(endpoint.endpoint_id).record_reached()
            extra = {**_extra(endpoint), 'lost_s': round(now - lost.lost_at, 3)}
            _logger.info('link to endpoint regained', extra=extra)
            self._wake.set()

    def record_lost(self, endpoint: Endpoint, cause: str) -> None:
        """Record that no connection to an endpoint could be opened."""
        if endpoint.is_daemon:
            return
        if self.links.record_lost(endpoint.incarnation, _clock.now()):
            extra = {**_extra(endpoint), 'cause': cause}
            _logger.info('link to endpoint lost', extra=extra)
            self._wake.set()

    def record_silence(self, endpoint: Endpoint) -> None:
        """Record that an endpoint doesn't answer on open connections."""
        self.endpoints.record_silence(endpoint.endpoint_id)
        self.doubt(endpoint)

    def doubt(self, endpoint: Endpoint) -> None:
        """Have an endpoint probed that didn't answer in time."""
        if endpoint.is_daemon:
            return
        if self.links.record_silence(endpoint.incarnation, _clock.now()):
            self._wake.set()

    def is_cut_off(self, group: str) -> bool:
        """Return whether no endpoint of a group that takes work can be reached."""
        names = [
            endpoint.incarnation
            for endpoint in self.endpoints.alive()
            if endpoint.group == group and self.endpoints.may_get_work(endpoint)
        ]
        return self.links.are_all_lost(names)

    def is_isolated(self) -> bool:
        """Return whether there are several endpoints and none can be reached."""
        names = [endpoint.incarnation for endpoint in self.endpoints.alive()]
        return len(names) > 1 and self.links.are_all_lost(names)

    def lost_ids(self) -> list[str]:
        """Return the ids of the endpoints that can't be reached, for heartbeats."""
        alive = self.endpoints.alive()
        lost = (entry for entry in alive if self.links.is_lost(entry.incarnation))
        return [endpoint.endpoint_id for endpoint in lost][:_MAX_ANNOUNCED]

    def reaches_another(self, endpoint: Endpoint) -> bool:
        """Return whether a connection to another endpoint can be opened now.

        If not, this daemon's links may have failed rather than the endpoint. True if there
        is no other one.
        """
        others = [
            other
            for other in self.endpoints.alive()
            if other.incarnation != endpoint.incarnation
        ]
        if not others:
            return True
        with self._witness_lock:
            if _clock.now() - self._checked_at > _WITNESSED_S:
                self._witnesses = self._probe(self._reached(others)[:_MAX_WITNESSES])
                self._checked_at = _clock.now()
            return bool(self._reached(self._witnesses))

    def dump(self) -> Mapping[str, Any]:
        """Return the endpoints that can't be reached, and groups without any other."""
        return {
            'lost': self.lost_ids(),
            'isolated_groups': sorted(self._isolated_groups),
        }

    def _reached(self, endpoints: list[Endpoint]) -> list[Endpoint]:
        return [
            endpoint
            for endpoint in endpoints
            if not self.links.is_lost(endpoint.incarnation)
        ]

    def _run(self) -> None:
        while not self._closed.is_set():
            is_active = False
            try:
                is_active = self._check()
            except Exception:
                _logger.exception('checking links failed', extra={'step': _STEP})
            self._wake.clear()
            self._wake.wait(_PROBE_INTERVAL_S if is_active else _IDLE_INTERVAL_S)
            if is_active:
                # Evidence of many requests comes together and shares a probe.
                self._closed.wait(_PROBE_INTERVAL_S / 2)

    def _check(self) -> bool:
        """Probe what is in doubt; return whether any link is lost or in doubt."""
        alive = {entry.incarnation: entry for entry in self.endpoints.alive()}
        self.links.retain(alive)
        groups: defaultdict[str, set[str]] = defaultdict(set)
        for name, endpoint in alive.items():
            groups[endpoint.group].add(name)
        to_probe = self.links.to_probe(groups, _clock.now())
        if to_probe:
            self._probe([alive[incarnation] for incarnation in to_probe])
        self._record_groups(groups)
        self.on_isolated(self._is_engine_isolated(list(alive.values())))
        return bool(to_probe or self.links.lost())

    def _probe(self, endpoints: Iterable[Endpoint]) -> list[Endpoint]:
        """Open connections to endpoints; return those that accepted one."""
        by_address = {endpoint.address: endpoint for endpoint in endpoints}
        reached = []
        for address, opened in connect_all(by_address, _PROBE_TIMEOUT_S).items():
            endpoint = by_address[address]
            if opened is None:
                self.record_lost(endpoint, 'probe')
            else:
                self.connections.adopt(address, opened)
                self.record_heard(endpoint)
                reached.append(endpoint)
        return reached

    def _record_groups(self, groups: Mapping[str, set[str]]) -> None:
        isolated = {
            group for group, names in groups.items() if self.links.are_all_lost(names)
        }
        if isolated == self._isolated_groups:
            return
        extra = {
            'step': _STEP,
            'groups': sorted(isolated),
            'before': sorted(self._isolated_groups),
            'lost': len(self.links.lost()),
            'peers': len(self.members.live()),
        }
        _logger.warning('groups without a link changed', extra=extra)
        self._isolated_groups = isolated
        self.members.send_soon()

    def _is_engine_isolated(self, alive: list[Endpoint]) -> bool:
        """Return whether no engine can be reached here, and one can from elsewhere."""
        engines = [endpoint for endpoint in alive if endpoint.models]
        if not self.links.are_all_lost([engine.incarnation for engine in engines]):
            return False
        ids = [engine.endpoint_id for engine in engines]
        return any(
            reaches_any(ids, heartbeat.lost_endpoints)
            for heartbeat in self.members.live()
        )


def _ignore(is_isolated: bool) -> None:
    """Do nothing with the state of the links."""


def _extra(endpoint: Endpoint) -> dict[str, object]:
    return {
        'step': _STEP,
        'endpoint': endpoint.endpoint_id,
        'group': endpoint.group,
        'peer': endpoint.address,
    }
