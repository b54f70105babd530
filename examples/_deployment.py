"""Functions that build the parts of both examples' configurations."""

from __future__ import annotations

from collections.abc import Iterator

from pimentohoist.configuration import Adapter, Endpoint, EndpointGroup, GroupKind


def endpoints(name: str, count: int, network: str, domains: tuple[str, ...]) -> tuple:
    """Return `count` endpoints, assigned to the failure domains in rotation."""
    return tuple(
        Endpoint(
            f'{name}-{index}', f'{network}.{index}:9000', domains[index % len(domains)]
        )
        for index in range(1, count + 1)
    )


def adapters(group: str, count: int, workspaces: tuple[str, ...]) -> Iterator[Adapter]:
    """Yield `count` adapters, each granted to one of the workspaces in rotation."""
    for index in range(count):
        workspace = workspaces[index % len(workspaces)]
        yield Adapter(f'{group}-{index:04}', group, (1, 2), 2, (workspace,))


def engines(name: str, model: str, members: tuple) -> EndpointGroup:
    """Return an endpoint group of engines that serve a model."""
    return EndpointGroup(name, GroupKind.ENGINE, members, model=model)


def services(name: str, members: tuple) -> EndpointGroup:
    """Return an endpoint group of plain services."""
    return EndpointGroup(name, GroupKind.SERVICE, members)
