"""The daemon on the users' platform, one on each entry instance."""

from __future__ import annotations

import logging
import os
import sys
import threading
import time
from collections.abc import Iterator
from contextlib import ExitStack
from typing import Any, Self

from pimentohoist import _clock
from pimentohoist._decisions.shutdown_schedule import ShutdownSchedule
from pimentohoist._entry.auxiliary_servers import auxiliary_servers
from pimentohoist._entry.endpoint_chooser import EndpointChooser
from pimentohoist._entry.connections import ConnectionPool
from pimentohoist._entry.crash_reports import CrashReportsController
from pimentohoist._entry.declarations import DeclarationsController
from pimentohoist._entry.declaration_sync import DeclarationSync
from pimentohoist._entry.dispatch import Dispatch
from pimentohoist._entry.wsgi_apps import (
    DirectoryApp,
    MetricsApp,
    ReadyApp,
    RequestsApp,
    RefusalApp,
)
from pimentohoist._entry.endpoint_permits import EndpointPermits
from pimentohoist._entry.endpoint_rooms import EndpointRooms
from pimentohoist._entry.endpoints import EndpointsController
from pimentohoist._entry.filters import Authenticate, ChargeQuota, RejectQuarantined
from pimentohoist._entry.part_quarantine import PartQuarantine
from pimentohoist._entry.ownership import OwnershipController
from pimentohoist._entry.retry_policy import RetryPolicy
from pimentohoist._entry.leaving_engines import LeavingEngines
from pimentohoist._entry.link_monitor import LinkMonitor
from pimentohoist._entry.heartbeat import Heartbeat
from pimentohoist._entry.members import MembersController
from pimentohoist._entry.owned_engines import OwnedEnginesController
from pimentohoist._entry.quotas import QuotasController
from pimentohoist._entry.received_signals import ReceivedSignals
from pimentohoist._entry.forwarded_server import forwarded_server
from pimentohoist._entry.request_forwarding import RequestForwarding
from pimentohoist._entry.request_handler import RequestHandler
from pimentohoist._entry.stream_log import StreamLog
from pimentohoist._entry.stream_versions import StreamVersions
from pimentohoist._entry.retry_budgets import GroupRetryBudgets
from pimentohoist._entry.in_flight_requests import InFlightRequests
from pimentohoist._entry.server import CallersServer
from pimentohoist._entry.shutdown import Shutdown
from pimentohoist._entry.request_monitor import Cancellation, RequestMonitor
from pimentohoist._logs import BoundedLogs
from pimentohoist._peers import PeerClients, PeerServer
from pimentohoist.exceptions import SettingsError
from pimentohoist.platform import (
    SETTINGS_VARIABLE,
    DirectoryQuery,
    EntrySettings,
    Store,
    read_entry_settings,
)

_EXIT_SETTINGS = 2
_MAX_PEER_THREADS = 96
"""Each call that waits for an adapter takes a thread; under the heaviest load there are
some threads to spare."""

_STREAM_LOG_TIMEOUT_S = 0.3
"""A caller that takes up a stream waits for the next event meanwhile."""

_STACK_BYTES = 262_144
_POLL_INTERVAL_S = 0.05
_STOP_POLL_INTERVAL_S = 0.02
_MAX_UNUSED_S = 0.5
"""While a daemon stops, a connection stays open for this time without a request: a new
one carries its request after a round trip."""

_MIN_FLUSH_S = 0.1
_MAX_OWNER_WAIT_S = 2.0
"""After this time a daemon is ready although the owners of some engines are unknown."""

_logger = logging.getLogger(__name__)


class EntryDaemon:
    """Composition root of one daemon: runs its controllers and servers in a context."""

    def __init__(self, settings: EntrySettings, logs: BoundedLogs) -> None:
        self.settings = settings
        self.logs = logs
        self.is_draining = threading.Event()
        self.shutdown = Shutdown(
            settings.bounds.grace_s, lambda: bool(self._ready_others())
        )
        self.store = Store(settings.store_address)
        self.peers = PeerClients()
        self.members = MembersController(settings, self.store, self._make_heartbeat)
        self.declarations = DeclarationsController(self.store, self.members)
        self.endpoints = EndpointsController(self.store, self.members)
        self.endpoints.is_evacuated = self.declarations.evacuations.covers
        self.endpoints.cold.per_s_of = self.declarations.cold_per_s
        self.declarations.evacuations.on_end = self._presume_cold
        self.ownership = OwnershipController(
            settings,
            self.store.sharing(),
            self.members,
        )
        self.members.sender.owners_of = self.ownership.owners_of
        self.owned_engines = OwnedEnginesController(
            self.declarations, self.endpoints, self.members, self.ownership, self.peers
        )
        self.quotas = QuotasController(self.members)
        self.crash_reports = CrashReportsController(self.members)
        self.part_quarantine = PartQuarantine(self.members)
        self.declaration_sync = DeclarationSync(
            self.declarations, self.members, self.peers
        )
        self.connections = ConnectionPool()
        self.links = LinkMonitor(self.endpoints, self.members, self.connections)
        self.links.on_isolated = self.ownership.suspend
        self.connections.on_heard = self.links.record_heard
        self.connections.on_lost = self.links.record_lost
        self.owned_engines.on_answered = self.links.record_heard
        self.owned_engines.on_unanswered = self.links.doubt
        self.forwarding = RequestForwarding(self.links, self.endpoints, self.members)
        self.request_monitor = RequestMonitor(self.links)
        stream_store = self.store.sharing(timeout_s=_STREAM_LOG_TIMEOUT_S)
        self.stream_versions = StreamVersions(
            self.endpoints,
            self.members,
            self.peers,
            StreamLog(
                stream_store,
                settings.name,
                self.members.incarnation,
                self.members.known_count,
            ),
        )
        self.dispatch = self._dispatch()
        self.leaving_engines = LeavingEngines(self.dispatch.chooser)
        common_filters = (
            RejectQuarantined(self.crash_reports),
            self.part_quarantine,
            self.stream_versions,
        )
        self.request_handler = RequestHandler(
            self.declarations,
            self.quotas,
            (Authenticate(), ChargeQuota(self.quotas), *common_filters),
            self.dispatch,
            self.request_monitor,
            self.shutdown,
        )
        callers_app = RequestsApp(self.request_handler)
        self.callers = CallersServer(
            callers_app, settings.callers_address, limits=settings.limits
        )
        self.callers.check_head = callers_app.check_head
        self.callers.refusal = RefusalApp(self.shutdown)
        self.forwarded = forwarded_server(
            self.request_handler,
            common_filters,
            f'{settings.host}:{settings.forwarding_port}',
            self.callers.memory,
        )
        self._stack = ExitStack()
        self._created_at = _clock.now()
        self._has_started_up = False

    def __enter__(self) -> Self:
        """Start the controllers, then the servers."""
        methods = {
            **self.owned_engines.peer_methods(),
            **self.declaration_sync.peer_methods(),
            **self.permits.peer_methods(),
            **self.stream_versions.peer_methods(),
        }
        with ExitStack() as stack:
            components: tuple[Any, ...] = (
                self.peers,
                PeerServer(self.settings.control_address, methods, _MAX_PEER_THREADS),
                self.declarations,
                self.endpoints,
                self.members,
                self.ownership,
                self.owned_engines,
                self.leaving_engines,
                self.declaration_sync,
                self.request_monitor,
                self.links,
                self.forwarded,
                *self._auxiliary_servers(),
                self.callers,
            )
            for component in components:
                stack.enter_context(component)
            self._stack = stack.pop_all()
        return self

    def __exit__(self, *exc_info: object) -> None:
        """Stop everything."""
        with self.shutdown.timed('close servers and controllers'):
            self._stack.close()
        self.store.calls.log()
        self.shutdown.record_cut(self.request_monitor.in_flight())

    def is_ready(self) -> bool:
        """Return whether callers can be served."""
        if self.is_draining.is_set() or self.declarations.current is None:
            return False
        if not self._has_started_up:
            is_late = _clock.now() > self._created_at + _MAX_OWNER_WAIT_S
            self._has_started_up = is_late or self.owned_engines.are_owners_known()
        return self._has_started_up

    def addresses(self, query: DirectoryQuery) -> list[str]:
        """Return the addresses to which a caller may connect."""
        regions = self.settings.regions
        wanted = self.declarations.directory_regions(query, regions)
        named = {
            heartbeat.callers_address: heartbeat.failure_domain
            for heartbeat in self.members.reachable()
            if heartbeat.is_ready
        }
        own = {}
        if self.is_ready():
            own[self.settings.callers_address] = self.settings.failure_domain
        return [
            address
            for address, domain in {**own, **named}.items()
            if regions.is_home(wanted, domain)
        ]

    def leave(self, schedule: ShutdownSchedule) -> None:
        """Accept no new callers; finish the requests in flight, until the deadline."""
        self.is_draining.set()
        self.callers.is_draining = True
        self.forwarded.is_draining = True
        self.members.send_now()
        # The store may be silent for longer than the requests have left.
        threading.Thread(target=self._leave_group, name='leave', daemon=True).start()
        with self.shutdown.timed('wait for requests'):
            self._wait_for_requests(schedule)
        self.shutdown.close()
        self.request_monitor.cancel_all(Cancellation.STOP)
        # Requests that wait for an adapter have no exchange to abort.
        for engine in tuple(self.owned_engines.engines.values()):
            engine.close()
        self.peers.close()
        left_s = schedule.exit_at - _clock.now()
        for server in (self.callers, self.forwarded):
            server.shutdown_timeout_s = max(_MIN_FLUSH_S, left_s - _MIN_FLUSH_S)

    def end(self) -> None:
        """End the process, since its time is over; log what that cuts off."""
        try:
            self.store.calls.log()
            self.shutdown.record_cut(self.request_monitor.in_flight())
            self.logs.flush(_MIN_FLUSH_S)
        finally:
            os._exit(0)

    def metrics(self) -> Iterator[str]:
        """Yield metrics as text."""
        yield from self.request_handler.metrics.lines()
        yield from self.request_monitor.lines()
        yield from self.endpoints.notices.metrics()
        yield from self.dispatch.chooser.waiting.lines()
        yield from self.store.calls.metrics()
        yield from self.callers.memory.lines()
        yield from self.stream_versions.incarnations.metrics()
        unconfirmed_s = self.declarations.unconfirmed_s()
        gauges = {
            'log_lines_dropped_total': self.logs.dropped,
            'connections_opened_total': self.dispatch.connections.opened,
            'requests_running': len(self.request_monitor),
            'configuration_version': self.declarations.version,
            'store_era': self.store.era.current,
            'endpoints_lost': len(self.links.lost_ids()),
            'requests_forwarded_total': self.forwarding.forwarded,
            'endpoints_unconfirmed_seconds': self.endpoints.follower.reads.unconfirmed_s(
                _clock.now()
            ),
            'endpoints_brittle': self.endpoints.brittle.limited_count(),
            'failure_domains_evacuated': len(self.declarations.evacuations.domains),
            'endpoints_cold': self.endpoints.cold.cold_count(),
            'cold_permits_refused_total': self.permits.refused,
            'requests_without_home_total': self.dispatch.chooser.without_home,
            'endpoints_limited': self.endpoints.limits.limited_count(),
            'stream_versions_known': len(self.stream_versions.register),
            'engines_for_long_prompts': self.dispatch.chooser.prompt_lengths.reserved_count(),
            'prompt_parts_quarantined': self.part_quarantine.quarantined_count(),
            'configuration_unconfirmed_seconds': (
                -1 if unconfirmed_s is None else unconfirmed_s
            ),
        }
        for name, count in gauges.items():
            yield f'pimentohoist_{name} {count}'

    def state(self) -> dict[str, Any]:
        """Return the state of all controllers."""
        return {
            'declarations': self.declarations.dump(),
            'endpoints': self.endpoints.dump(),
            'members': self.members.dump(),
            'homes': self.ownership.dump(),
            'places': self.owned_engines.dump(),
            'quotas': self.quotas.dump(),
            'crashes': self.crash_reports.dump(),
            'parts': self.part_quarantine.dump(),
            'dispatch': self.dispatch.dump(),
            'links': self.links.dump(),
        }

    def _ready_others(self) -> list[str]:
        return [
            heartbeat.callers_address
            for heartbeat in self.members.reachable()
            if heartbeat.is_ready
        ]

    def _leave_group(self) -> None:
        with self.shutdown.timed('leave the group'):
            self.ownership.leave()
        self.members.send_now()

    def _wait_for_requests(self, schedule: ShutdownSchedule) -> None:
        """Return when none is in flight and all are refused, or when time is over."""
        while _clock.now() < schedule.answers_end_at:
            time.sleep(_STOP_POLL_INTERVAL_S)
            if _clock.now() >= schedule.renewed_at and self._has_ended():
                break

    def _has_ended(self) -> bool:
        """Close idle connections; return whether no request is or will be in flight."""
        for server in (self.callers, self.forwarded):
            server.close_idle_connections(_MAX_UNUSED_S)
        was_closed = self.shutdown.is_closed
        are_servers_idle = self.callers.is_idle() and self.forwarded.is_idle()
        is_idle = not len(self.request_monitor) and are_servers_idle
        if is_idle:
            # A request may be accepted between the check and the refusal of all others,
            # so only a check after that counts.
            self.shutdown.close()
        return is_idle and was_closed

    def _dispatch(self) -> Dispatch:
        in_flight = InFlightRequests()
        retry_budgets = GroupRetryBudgets(self.members)
        self.permits = EndpointPermits(
            self.endpoints.limits,
            self.endpoints.cold,
            self.members,
            self.ownership,
            self.peers,
            in_flight,
        )
        self.rooms = EndpointRooms(self.endpoints.brittle, self.members, in_flight)
        chooser = EndpointChooser(
            self.endpoints,
            self.members,
            self.owned_engines,
            in_flight,
            self.permits,
            self.forwarding,
            self.rooms,
        )
        retry_policy = RetryPolicy(
            self.endpoints,
            self.crash_reports,
            self.part_quarantine,
            self.connections,
            retry_budgets,
            self.forwarding,
            self.rooms,
        )
        return Dispatch(
            chooser,
            retry_policy,
            self.part_quarantine,
            self.connections,
            retry_budgets,
            in_flight,
            self.stream_versions,
        )

    def _make_heartbeat(self) -> Heartbeat:
        in_flight = self.dispatch.in_flight.snapshot()
        self.owned_engines.record_in_flight(self.members.member, in_flight)
        declaration = self.declarations.current
        if declaration is not None:
            self.callers.apply_limits(declaration.limits)
        return Heartbeat(
            self.settings.control_address,
            self.members.incarnation,
            self.settings.failure_domain,
            self.settings.callers_address,
            self.is_ready(),
            self.declarations.version,
            self.declarations.versions_digest,
            self.ownership.own.generation,
            sorted(self.ownership.own.partitions),
            dict(self.quotas.admitted_tokens),
            in_flight,
            self.owned_engines.statuses(),
            self.crash_reports.recent_reports(),
            self.endpoints.notices.announced(),
            self.declarations.follower.status.unread_s(),
            self.store.era.current,
            self.part_quarantine.reports(),
            self.part_quarantine.cleared_parts(),
            self.endpoints.limits.announced(),
            lost_endpoints=self.links.lost_ids(),
            brittle_endpoints=self.endpoints.brittle.announced(),
            room_rejections=self.rooms.announced(),
            software_versions=self.stream_versions.versions.announced(),
            versions_recorded_age_s=self.stream_versions.versions.recorded_age_s(),
            link_mbps=self.settings.link_mbps,
            long_prompts=self.dispatch.chooser.prompt_lengths.announced(),
            endpoint_changes=self.endpoints.notices.announced_changes(),
            evacuations=self.declarations.evacuations.announced(),
            cold_endpoints=self.endpoints.cold.announced(),
            keeps_homes=True,
            endpoint_reads=self.endpoints.follower.announced(),
        )

    def _presume_cold(self, domains: frozenset[str]) -> None:
        """Take endpoints whose evacuation ends as cold until their records are read."""
        alive = self.endpoints.alive()
        returning = (entry for entry in alive if entry.failure_domain in domains)
        self.endpoints.cold.presume(returning)

    def _auxiliary_servers(self) -> tuple[CallersServer, ...]:
        settings = self.settings
        directory = DirectoryApp(self.addresses, settings.bounds.max_directory_age_s)
        metrics = MetricsApp(self.metrics, self.state)
        metrics_address = f'{settings.host}:{settings.metrics_port}'
        checks = (
            (ReadyApp(self.is_ready), settings.ready_address),
            (metrics, metrics_address),
        )
        return auxiliary_servers(
            (directory, settings.directory_address), checks, self.callers.memory
        )


def serve(settings_path: str) -> None:
    """Run a daemon until SIGTERM."""
    signals = ReceivedSignals()
    try:
        settings = read_entry_settings(settings_path)
    except SettingsError as error:
        sys.stderr.write(f'pimentohoist: {error}\n')
        sys.exit(_EXIT_SETTINGS)
    threading.stack_size(_STACK_BYTES)
    with BoundedLogs('INFO', instance=settings.name, stream=sys.stdout) as logs:
        with EntryDaemon(settings, logs) as daemon:
            _run_until_stopped(daemon, signals, settings_path)
    # Threads that wait for peers would keep the process alive until they time out.
    os._exit(0)


def _run_until_stopped(
    daemon: EntryDaemon, signals: ReceivedSignals, settings_path: str
) -> None:
    extra = {
        'step': 'start',
        'link_mbps': daemon.settings.link_mbps,
        'memory_mb': daemon.settings.limits.memory_mb,
    }
    _logger.info('started', extra=extra)
    while signals.stopped_at is None:
        time.sleep(_POLL_INTERVAL_S)
        if signals.is_reload_requested:
            signals.is_reload_requested = False
            _reload(daemon, settings_path)
    schedule = daemon.shutdown.begin(signals.stopped_at)
    guard = threading.Timer(schedule.exit_at - _clock.now(), daemon.end)
    guard.daemon = True
    guard.start()
    daemon.shutdown.record_progress('stopping', len(daemon.request_monitor))
    daemon.leave(schedule)
    daemon.shutdown.record_progress('stopped', len(daemon.request_monitor))


def _reload(daemon: EntryDaemon, settings_path: str) -> None:
    """Apply the settings that may change while a daemon runs."""
    try:
        settings = read_entry_settings(settings_path)
    except SettingsError as error:
        _logger.error('settings rejected: %s', error, extra={'step': 'reload'})
        return
    daemon.settings = settings
    daemon.members.settings = settings
    daemon.ownership.settings = settings
    daemon.shutdown.grace_s = settings.bounds.grace_s
    _logger.info('settings reloaded', extra={'step': 'reload'})


def main() -> None:
    """Run the daemon with the settings file named in the environment."""
    serve(os.environ[SETTINGS_VARIABLE])
