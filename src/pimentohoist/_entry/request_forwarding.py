"""Forwards requests to daemons that reach endpoints which this daemon doesn't.

The other daemon chooses the endpoint, keeps to its limits and notices, and answers as a
daemon answers a caller: a request that it refuses has not run.
"""

from __future__ import annotations

import logging

from pimentohoist import _clock
from pimentohoist._decisions.forwarding import (
    MAX_UNREACHED,
    Forwarder,
    choose_forwarder,
    granted_executions,
    reaches_any,
)
from pimentohoist._entry.endpoints import EndpointsController
from pimentohoist._entry.forwarded_request import encode_origin, without_origin
from pimentohoist._entry.heartbeat import Heartbeat
from pimentohoist._entry.in_flight_requests import InFlightRequests
from pimentohoist._entry.link_monitor import LinkMonitor
from pimentohoist._entry.members import MembersController
from pimentohoist._entry.request_context import RequestContext, log_fields
from pimentohoist.entry_models import Endpoint, ForwardedOrigin, Workspace
from pimentohoist.platform import forwarded_copy_headers

_logger = logging.getLogger(__name__)


class RequestForwarding:
    """Chooses daemons to forward requests to.

    Attributes
    ----------
    forwarded : int
        Requests that were forwarded since the start.
    """

    def __init__(
        self,
        links: LinkMonitor,
        endpoints: EndpointsController,
        members: MembersController,
    ) -> None:
        self.links = links
        self.endpoints = endpoints
        self.members = members
        self.in_flight = InFlightRequests()
        self.forwarded = 0

    def is_wanted(self, context: RequestContext) -> bool:
        """Return whether a request can't be sent to its endpoints from here."""
        if context.request.origin is not None:
            return False
        return context.unreached >= MAX_UNREACHED or self.links.is_cut_off(
            context.group.name
        )

    def choose(self, context: RequestContext) -> Endpoint | None:
        """Return a daemon as the endpoint of a request; None if none can help."""
        group = context.group.name
        ids = [
            endpoint.endpoint_id
            for endpoint in self.endpoints.alive()
            if endpoint.group == group
            and not self.endpoints.is_evacuated(endpoint.failure_domain)
            and self._is_home(context, endpoint.failure_domain)
        ]
        forwarders = [
            self._forwarder(heartbeat, context.declaration.version)
            for heartbeat in self.members.live()
            if self._may_forward_to(heartbeat, context, ids)
        ]
        member = choose_forwarder(forwarders)
        if member is None:
            return None
        self.forwarded += 1
        extra = {
            **log_fields(context),
            'group': group,
            'peer': member,
            'unreached': context.unreached,
            'choices': len(forwarders),
        }
        _logger.info('request is forwarded', extra=extra)
        return self._endpoint(member, group)

    def headers(
        self, context: RequestContext, last_event_id: str | None
    ) -> list[tuple[str, str]]:
        """Return the headers of a request that is forwarded."""
        workspace = context.workspace
        origin = ForwardedOrigin(
            self.members.member,
            None if workspace is None else workspace.name,
            self.granted(context),
            context.stream_version,
        )
        remaining_s = context.remaining_s(_clock.now())
        headers = forwarded_copy_headers(context.request, remaining_s, last_event_id)
        return without_origin(headers) + encode_origin(origin)

    def granted(self, context: RequestContext) -> int:
        """Return how many executions the other daemon may take."""
        return granted_executions(context.max_executions - context.executions)

    def _may_forward_to(
        self, heartbeat: Heartbeat, context: RequestContext, endpoint_ids: list[str]
    ) -> bool:
        if not heartbeat.is_ready or heartbeat.member in context.tried_endpoints:
            return False
        if not self._keeps_homes(heartbeat, context):
            return False
        health = self.endpoints.health_of(heartbeat.member)
        is_paused = max(health.paused_until, health.silent_until) > _clock.now()
        return not is_paused and reaches_any(endpoint_ids, heartbeat.lost_endpoints)

    def _is_home(self, context: RequestContext, failure_domain: str) -> bool:
        return self.members.settings.regions.is_home(context.homes, failure_domain)

    def _keeps_homes(self, heartbeat: Heartbeat, context: RequestContext) -> bool:
        """Return whether a request's body may be sent to a daemon.

        The caller's region isn't known here, so only homes qualify. A daemon that doesn't
        know the request's homes could send it to an endpoint elsewhere.
        """
        if context.homes is None:
            return True
        knows_homes = heartbeat.version >= context.declaration.version
        return (
            knows_homes
            and heartbeat.keeps_homes
            and self._is_home(context, heartbeat.failure_domain)
        )

    def _forwarder(self, heartbeat: Heartbeat, version: int) -> Forwarder:
        in_flight = sum(
            count
            for adapters in heartbeat.in_flight.values()
            for count in adapters.values()
        )
        own = self.in_flight.count_on(heartbeat.member)
        return Forwarder(heartbeat.member, in_flight + own, heartbeat.version < version)

    def _endpoint(self, member: str, group: str) -> Endpoint:
        host, _, _ = member.rpartition(':')
        return Endpoint(
            member,
            group,
            f'{host}:{self.members.settings.forwarding_port}',
            '',
            slots=0,
            is_draining=False,
            started_ms=0,
            accepted_orders=0,
            is_daemon=True,
        )


class AcceptForwarded:
    """Implements `Filter`: takes over what the first daemon has decided on a request."""

    def __call__(self, context: RequestContext) -> None:
        """Set the workspace and the version at which a stream goes on."""
        origin = context.request.origin
        if origin is None:
            return
        context.stream_version = origin.stream_version
        if origin.workspace is None:
            return
        known = (
            workspace
            for workspace in context.declaration.workspaces
            if workspace.name == origin.workspace
        )
        context.workspace = next(known, None) or Workspace(
            origin.workspace, frozenset(), None, 0, 0, 0
        )
