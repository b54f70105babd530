"""The server for callers' requests that other daemons forward."""

from __future__ import annotations

from pimentohoist._decisions.caller_budget import FORWARDED_SHARE
from pimentohoist._entry.caller_memory import CallerMemory
from pimentohoist._entry.request_context import Filter
from pimentohoist._entry.request_forwarding import AcceptForwarded
from pimentohoist._entry.request_handler import RequestHandler
from pimentohoist._entry.server import CallersServer, ServerSize
from pimentohoist._entry.wsgi_apps import ForwardedApp, ForwardingRefusalApp


def forwarded_server(
    callers: RequestHandler,
    filters: tuple[Filter, ...],
    address: str,
    memory: CallerMemory,
) -> CallersServer:
    """Return a server that dispatches requests as the callers' handler does.

    The daemons that forward them have checked the key, the quota and the operators' limits.

    Parameters
    ----------
    filters : tuple of Filter
        What is checked here as well.
    memory : CallerMemory
        Account of the bytes held for callers.
    """
    handler = RequestHandler(
        callers.declarations,
        callers.quotas,
        (AcceptForwarded(), *filters),
        callers.dispatch,
        callers.request_monitor,
        callers.shutdown,
    )
    server = CallersServer(
        ForwardedApp(handler),
        address,
        memory=memory,
        size=ServerSize(connections_share=FORWARDED_SHARE),
    )
    server.refusal = ForwardingRefusalApp(callers.shutdown)
    return server
