"""The daemon process, one on each entry instance."""

from __future__ import annotations

import logging
import sys
from collections.abc import Callable
from contextlib import ExitStack
from typing import Any, Self

import fire

from pimentohoist._callers_app import CallersApp
from pimentohoist._chain import build_handler
from pimentohoist._controllers.claims import ClaimsController
from pimentohoist._controllers.configuration import ConfigurationController
from pimentohoist._controllers.endpoints import EndpointsController
from pimentohoist._controllers.freshness import FreshnessController
from pimentohoist._controllers.limits import LimitsController
from pimentohoist._controllers.snapshots import PeerSnapshots, SnapshotsController
from pimentohoist._controllers.view import BoundedPollLog, ViewController
from pimentohoist._filters.caller_filters import caller_filters
from pimentohoist._filters.claim import ClaimAction
from pimentohoist._filters.dispatch import Dispatch
from pimentohoist._filters.limit import Limit
from pimentohoist._http_server import HttpServer
from pimentohoist._logs import configure_logs
from pimentohoist._operators_app import OperatorsApp
from pimentohoist._request_controllers import RequestControllers
from pimentohoist._signals import call_on_stop
from pimentohoist._platform_clients.log import HttpLog
from pimentohoist.exceptions import SettingsError
from pimentohoist._peers import PeerClients, PeerServer
from pimentohoist.protocols import Controller, Handler, Log, PeerService
from pimentohoist.settings import Settings, read_settings

_SETTINGS_EXIT_CODE = 2
_OPERATORS_THREADS = 4
_THREAD_SWITCH_INTERVAL_S = 0.0005
_logger = logging.getLogger(__name__)


class Daemon:
    """All controllers and servers of one daemon, which run while its context is open.

    Parameters
    ----------
    log : Log, optional
        The platform's log; by default accessed over HTTP at the address in `settings`.
    peers : PeerClients, optional
        Connections to other daemons.
    """

    def __init__(
        self,
        settings: Settings,
        log: Log | None = None,
        peers: PeerClients | None = None,
    ) -> None:
        self.settings = settings
        platform = settings.platform
        self.log = log or HttpLog(platform.log_address, timeout_s=platform.timeout_s)
        self.peers = peers or PeerClients()
        peer_snapshots = PeerSnapshots(self.peers, settings.daemon.seed_peers)
        self.configuration = ConfigurationController(
            BoundedPollLog(self.log), peer_snapshots.fetch
        )
        self.view = ViewController(self.log, settings.daemon)
        self.view.followers.append(self.configuration.follower)
        self.freshness = FreshnessController(self.view, self.peers)
        self.claims = ClaimsController(self.log, self.view)
        self.limits = LimitsController(
            self.view, self.configuration, self.peers, self.freshness.exit_prober
        )
        self.endpoints = EndpointsController(
            self.view,
            self.configuration,
            self.peers,
            self.freshness.exit_prober,
            settings.callers.timeout_s,
        )
        self.requests = RequestControllers(
            settings, self.log, self.view, self.peers, self.endpoints
        )
        snapshots = SnapshotsController(
            self.log,
            (
                self.configuration.follower,
                self.view.follower,
                self.claims.follower,
            ),
            self.view.is_owner,
            settings.snapshots,
        )
        self.controllers: dict[str, Controller] = {
            'configuration': self.configuration,
            'view': self.view,
            'freshness': self.freshness,
            'claims': self.claims,
            'limits': self.limits,
            'endpoints': self.endpoints,
            'snapshots': snapshots,
            **self.requests.controllers(),
        }
        self.peer_handlers: tuple[PeerService, ...] = (
            self.requests.quarantine,
            self.freshness,
            self.limits,
            self.endpoints,
            snapshots,
        )
        self._callers: HttpServer | None = None
        self._stack = ExitStack()

    def __enter__(self) -> Self:
        """Start the controllers, then serve operators and callers."""
        with ExitStack() as stack:
            stack.enter_context(self.peers)
            # The peer server runs from before the join until the controllers have stopped,
            # because a refused connection proves that a member has ended.
            stack.enter_context(self._peer_server())
            for controller in self.controllers.values():
                stack.enter_context(controller)
            stack.enter_context(self._operators_server())
            self._callers = stack.enter_context(self._callers_server())
            self._stack = stack.pop_all()
        return self

    def __exit__(self, *exc_info: object) -> None:
        """Stop serving, then stop the controllers."""
        self._stack.close()

    def wait_until_drained(self) -> None:
        """Return when a stop was requested and no request would be interrupted."""
        if self._callers is not None:
            self.requests.drain.wait(self._callers)

    def handler(self) -> Handler:
        """Return the filter chain."""
        filters = (
            self.requests.metrics_filter(),
            *caller_filters(self.configuration, self.view.is_fresh),
            Limit(self.limits),
            ClaimAction(self.claims),
            self.requests.filter(),
        )
        last = Dispatch(
            self.configuration, self.requests.retry_dependencies, self.requests.relay
        )
        return build_handler(filters, last)

    def entries(self) -> tuple[str, ...]:
        """Return the addresses that callers may use."""
        is_draining = self.requests.drain.stop_requested.is_set()
        addresses = (
            member.callers_address
            for member in self.view.members()
            if not member.is_leaving
            and not (is_draining and member.incarnation == self.view.incarnation)
        )
        return tuple(sorted(addresses))

    def _callers_server(self) -> HttpServer:
        callers = self.settings.callers
        app = CallersApp(self.handler(), self.entries, callers, self.requests.relay)
        server = HttpServer(
            app, self.settings.daemon.callers_address, threads=callers.threads
        )
        server.refusal = app.refuse
        return server

    def _peer_server(self) -> PeerServer:
        methods: dict[str, Callable[[Any], Any]] = {}
        for handler in self.peer_handlers:
            methods.update(handler.peer_methods())
        return PeerServer(self.settings.daemon.peer_address, methods)

    def _operators_server(self) -> HttpServer:
        app = OperatorsApp(
            self.settings.daemon.name,
            self.controllers,
            self.configuration,
            self.requests.drain.request_stop,
        )
        return HttpServer(
            app, self.settings.daemon.operators_address, threads=_OPERATORS_THREADS
        )


def serve(settings: str) -> None:
    """Run a daemon until SIGTERM or SIGINT.

    Parameters
    ----------
    settings : str
        Path of the TOML settings file.
    """
    run_until_stopped(Daemon(read_checked_settings(settings)))


def read_checked_settings(path: str) -> Settings:
    """Return the settings and start logging; exit if the settings have faults."""
    try:
        settings = read_settings(path)
    except SettingsError as error:
        sys.stderr.write(f'pimentohoistd: {error}\n')
        sys.exit(_SETTINGS_EXIT_CODE)
    configure_logs(settings.logging.level, instance=settings.daemon.name)
    return settings


def run_until_stopped(daemon: Daemon) -> None:
    """Run a daemon until SIGTERM or SIGINT, then until it has drained."""
    # After each system call, the thread that forwards tokens waits for threads that
    # compute; the interpreter's default switch interval of 5 ms is too long for that.
    sys.setswitchinterval(_THREAD_SWITCH_INTERVAL_S)
    call_on_stop(daemon.requests.drain.handle_stop_signal)
    with daemon:
        _logger.info('started', extra={'step': 'start'})
        daemon.wait_until_drained()
        _logger.info('stopping', extra={'step': 'stop'})


def main() -> None:
    """Run ``pimentohoistd``."""
    fire.Fire(serve, name='pimentohoistd')
