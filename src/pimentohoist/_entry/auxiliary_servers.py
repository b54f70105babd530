"""The servers of a daemon beside those for requests: directory, readiness, metrics."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from pimentohoist._decisions.caller_budget import CHECKS_SHARE, DIRECTORY_SHARE
from pimentohoist._entry.caller_memory import CallerMemory
from pimentohoist._entry.server import CallersServer, ServerSize
from pimentohoist._entry.wsgi_apps import RefusableApp
from pimentohoist._http_server import WsgiApp
from pimentohoist.exceptions import OversizedRequestError

AddressedApp = tuple[WsgiApp, str]

_THREADS = 2
_STEP = 'receive'
_MAX_BODY_BYTES = 8192
"""Bodies are refused with their heads; what is read with a head is no larger."""

_HEADER_TIMEOUT_S = 2.0
"""Where no connection is free, one that has been idle for this time is closed. Callers give
the directory a second, and the platform checks a daemon every second."""

_DIRECTORY_SIZE = ServerSize(DIRECTORY_SHARE, _THREADS, _MAX_BODY_BYTES)
_CHECKS_SIZE = ServerSize(CHECKS_SHARE, _THREADS, _MAX_BODY_BYTES)


def auxiliary_servers(
    directory: AddressedApp, checks: Iterable[AddressedApp], memory: CallerMemory
) -> tuple[CallersServer, ...]:
    """Return the servers of applications, each at its address.

    Parameters
    ----------
    directory : tuple of WsgiApp and str
        Callers reach it.
    checks : iterable of tuple of WsgiApp and str
        What the platform and operators ask a daemon.
    memory : CallerMemory
        Account of the bytes held for callers.
    """
    others = (_server(app, address, memory, _CHECKS_SIZE) for app, address in checks)
    return (_server(*directory, memory, _DIRECTORY_SIZE), *others)


def _server(
    app: WsgiApp, address: str, memory: CallerMemory, size: ServerSize
) -> CallersServer:
    server = CallersServer(RefusableApp(app), address, memory=memory, size=size)
    server.header_timeout_s = _HEADER_TIMEOUT_S
    server.check_head = _refuse_body
    return server


def _refuse_body(method: str, target: str, headers: Mapping[str, str]) -> str:
    """Raise OversizedRequestError, since the request has a body."""
    raise OversizedRequestError('expected a request without a body', step=_STEP)
