"""Filter that resolves the requested adapter and version, or the route."""

from __future__ import annotations

from pimentohoist._controllers.configuration import ConfigurationController
from pimentohoist.configuration import Adapter, Workspace
from pimentohoist.exceptions import NotFoundError
from pimentohoist.exchanges import CallerResponse, Exchange, RequestKind
from pimentohoist.models import AdapterVersion
from pimentohoist.protocols import Handler

_STEP = 'resolve'


class Resolve:
    """Implements `Filter`.

    An adapter or route of other workspaces is reported as not found rather than
    forbidden, so that the response doesn't reveal that it exists.
    """

    def __init__(self, configuration: ConfigurationController) -> None:
        self.configuration = configuration

    def __call__(self, exchange: Exchange, proceed: Handler) -> CallerResponse:
        """Set adapter, version, route and group."""
        if exchange.request.kind is RequestKind.SERVICE:
            self._resolve_route(exchange)
        elif exchange.request.kind is not RequestKind.MODELS:
            self._resolve_adapter(exchange)
        return proceed(exchange)

    def _resolve_route(self, exchange: Exchange) -> None:
        name = exchange.request.route
        route = self.configuration.route(name)
        if route is None or not (
            route.is_open or _is_granted(exchange.workspace, route.workspaces)
        ):
            raise NotFoundError(f'route {name!r} does not exist', step=_STEP)
        exchange.route = route
        exchange.group = self.configuration.group(route.group)
        exchange.cost_tokens = route.cost_tokens

    def _resolve_adapter(self, exchange: Exchange) -> None:
        model = str(exchange.request.document['model'])
        name, separator, version = model.partition('@')
        adapter = self.configuration.adapter(name)
        if adapter is None or not _is_granted(exchange.workspace, adapter.workspaces):
            raise NotFoundError(f'adapter {name!r} does not exist', step=_STEP)
        exchange.adapter = adapter
        exchange.adapter_version = _requested_version(
            adapter, version if separator else None
        )
        exchange.group = self.configuration.group(adapter.group)


def _is_granted(workspace: Workspace | None, names: tuple[str, ...]) -> bool:
    return workspace is not None and workspace.name in names


def _requested_version(adapter: Adapter, text: str | None) -> AdapterVersion:
    if text is None:
        return AdapterVersion(adapter.name, adapter.default_version)
    if text not in {str(version) for version in adapter.versions}:
        raise NotFoundError(
            f'adapter {adapter.name!r} has no version {text!r}', step=_STEP
        )
    return AdapterVersion(adapter.name, int(text))
