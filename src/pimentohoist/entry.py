"""The daemon on the users' platform, one on each entry instance."""

from __future__ import annotations

import logging
import os
import signal
import sys
import threading
from collections.abc import Iterator
from contextlib import ExitStack
from types import FrameType
from typing import Any, Self

from pimentohoist import _clock
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
)
from pimentohoist._entry.endpoints import EndpointsController
from pimentohoist._entry.filters import Authenticate, ChargeQuota, RejectQuarantined
from pimentohoist._entry.ownership import OwnershipController
from pimentohoist._entry.retry_policy import RetryPolicy
from pimentohoist._entry.members import Heartbeat, MembersController
from pimentohoist._entry.owned_engines import OwnedEnginesController
from pimentohoist._entry.quotas import QuotasController
from pimentohoist._entry.request_handler import RequestHandler
from pimentohoist._entry.retry_budgets import GroupRetryBudgets
from pimentohoist._entry.in_flight_requests import InFlightRequests
from pimentohoist._entry.server import CallersServer
from pimentohoist._entry.shutdown import Shutdown
from pimentohoist._entry.request_monitor import RequestMonitor
from pimentohoist._http_server import HttpServer
from pimentohoist._logs import BoundedLogs
from pimentohoist._peers import PeerClients, PeerServer
from pimentohoist.exceptions import SettingsError
from pimentohoist.platform import (
    SETTINGS_VARIABLE,
    EntrySettings,
    Store,
    read_entry_settings,
)

_EXIT_SETTINGS = 2
_AUXILIARY_THREADS = 2
_MAX_PEER_THREADS = 96
"""Each call that waits for an adapter takes a thread; under the heaviest load there are
some threads to spare."""

_STACK_BYTES = 262_144
_KILL_MARGIN_S = 1.2
"""How long before the kill the daemon ends the requests that are still in flight."""

_MIN_DRAIN_S = 2.5
"""Callers cache a response of the directory for two seconds and renew it now and then,
so a leaving daemon serves for at least this long."""

_POLL_INTERVAL_S = 0.1
_MAX_OWNER_WAIT_S = 2.0
"""After this time a daemon is ready although the owners of some engines are unknown."""

_logger = logging.getLogger(__name__)


class EntryDaemon:
    """Composition root of one daemon: runs its controllers and servers in a context."""

    def __init__(self, settings: EntrySettings, logs: BoundedLogs) -> None:
        self.settings = settings
        self.logs = logs
        self.is_draining = threading.Event()
        self.shutdown = Shutdown(settings.bounds.grace_s)
        self.store = Store(settings.store_address)
        self.peers = PeerClients()
        self.members = MembersController(settings, self.store, self._make_heartbeat)
        self.declarations = DeclarationsController(self.store, self.members)
        self.endpoints = EndpointsController(self.store, self.members)
        self.ownership = OwnershipController(
            settings,
            Store(settings.store_address, era=self.store.era),
            self.members,
        )
        self.owned_engines = OwnedEnginesController(
            self.declarations, self.endpoints, self.members, self.ownership, self.peers
        )
        self.quotas = QuotasController(self.members)
        self.crash_reports = CrashReportsController(self.members)
        self.declaration_sync = DeclarationSync(
            self.declarations, self.members, self.peers
        )
        self.request_monitor = RequestMonitor(self.endpoints.record_silence)
        self.dispatch = self._dispatch()
        filters = (
            Authenticate(),
            ChargeQuota(self.quotas),
            RejectQuarantined(self.crash_reports),
        )
        self.request_handler = RequestHandler(
            self.declarations,
            self.quotas,
            filters,
            self.dispatch,
            self.request_monitor,
            self.shutdown,
        )
        self.callers = CallersServer(
            RequestsApp(self.request_handler), settings.callers_address
        )
        self._stack = ExitStack()
        self._created_at = _clock.now()
        self._has_started_up = False

    def __enter__(self) -> Self:
        """Start the controllers, then the servers."""
        methods = {
            **self.owned_engines.peer_methods(),
            **self.declaration_sync.peer_methods(),
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
                self.declaration_sync,
                self.request_monitor,
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
        self.shutdown.record_cut(self.request_monitor.in_flight())

    def is_ready(self) -> bool:
        """Return whether callers can be served."""
        if self.is_draining.is_set() or self.declarations.current is None:
            return False
        if not self._has_started_up:
            is_late = _clock.now() > self._created_at + _MAX_OWNER_WAIT_S
            self._has_started_up = is_late or self.owned_engines.are_owners_known()
        return self._has_started_up

    def addresses(self) -> list[str]:
        """Return the addresses to which callers may connect."""
        others = [
            heartbeat.callers_address
            for heartbeat in self.members.reachable()
            if heartbeat.is_ready
        ]
        own = [self.settings.callers_address] if self.is_ready() else []
        return own + others

    def leave(self) -> None:
        """Accept no new callers; finish the requests in flight, until the deadline."""
        began_at = _clock.now()
        deadline = began_at + self.settings.bounds.grace_s - _KILL_MARGIN_S
        self.is_draining.set()
        self.callers.is_draining = True
        self.members.send_now()
        with self.shutdown.timed('leave the group'):
            self.ownership.leave()
        self.members.send_now()
        while _clock.now() < deadline:
            is_quiet = not len(self.request_monitor) and self.callers.is_idle()
            if is_quiet and _clock.now() > began_at + _MIN_DRAIN_S:
                self.shutdown.record_progress('no request in flight', 0)
                break
            threading.Event().wait(_POLL_INTERVAL_S)

    def metrics(self) -> Iterator[str]:
        """Yield metrics as text."""
        yield from self.request_handler.metrics.lines()
        unconfirmed_s = self.declarations.unconfirmed_s()
        gauges = {
            'log_lines_dropped_total': self.logs.dropped,
            'connections_opened_total': self.dispatch.connections.opened,
            'requests_running': len(self.request_monitor),
            'configuration_version': self.declarations.version,
            'store_era': self.store.era.current,
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
            'dispatch': self.dispatch.dump(),
        }

    def _dispatch(self) -> Dispatch:
        in_flight = InFlightRequests()
        connections = ConnectionPool()
        retry_budgets = GroupRetryBudgets(self.members)
        chooser = EndpointChooser(
            self.endpoints, self.members, self.owned_engines, in_flight
        )
        retry_policy = RetryPolicy(
            self.endpoints, self.crash_reports, connections, retry_budgets
        )
        return Dispatch(chooser, retry_policy, connections, retry_budgets, in_flight)

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
        )

    def _auxiliary_servers(self) -> tuple[HttpServer, ...]:
        settings = self.settings
        directory = DirectoryApp(self.addresses, settings.bounds.max_directory_age_s)
        metrics = MetricsApp(self.metrics, self.state)
        metrics_address = f'{settings.host}:{settings.metrics_port}'
        apps = (
            (directory, settings.directory_address),
            (ReadyApp(self.is_ready), settings.ready_address),
            (metrics, metrics_address),
        )
        return tuple(
            HttpServer(app, address, threads=_AUXILIARY_THREADS)
            for app, address in apps
        )


def serve(settings_path: str) -> None:
    """Run a daemon until SIGTERM."""
    try:
        settings = read_entry_settings(settings_path)
    except SettingsError as error:
        sys.stderr.write(f'pimentohoist: {error}\n')
        sys.exit(_EXIT_SETTINGS)
    threading.stack_size(_STACK_BYTES)
    with BoundedLogs('INFO', instance=settings.name, stream=sys.stdout) as logs:
        with EntryDaemon(settings, logs) as daemon:
            _run_until_stopped(daemon, settings_path)
    # Threads that wait for peers would keep the process alive until they time out.
    os._exit(0)


def _run_until_stopped(daemon: EntryDaemon, settings_path: str) -> None:
    stopped = threading.Event()
    reloaded = threading.Event()

    def stop(number: int, frame: FrameType | None) -> None:  # noqa: WPS430
        daemon.shutdown.begin()
        stopped.set()

    signal.signal(signal.SIGTERM, stop)
    signal.signal(signal.SIGHUP, lambda number, frame: reloaded.set())
    _logger.info('started', extra={'step': 'start'})
    while not stopped.wait(_POLL_INTERVAL_S):
        if reloaded.is_set():
            reloaded.clear()
            _reload(daemon, settings_path)
    daemon.shutdown.record_progress('stopping', len(daemon.request_monitor))
    daemon.leave()
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
