"""What both examples have in common."""

from __future__ import annotations

from collections.abc import Iterator

from pimentohoist.configuration import Adapter, Endpoint, EndpointGroup, GroupKind


def endpoints(name: str, count: int, network: str, domains: tuple[str, ...]) -> tuple:
    """Return endpoints spread over the failure domains."""
    return tuple(
        Endpoint(
            f'{name}-{index}', f'{network}.{index}:9000', domains[index % len(domains)]
        )
        for index in range(1, count + 1)
    )


def adapters(group: str, count: int, workspaces: tuple[str, ...]) -> Iterator[Adapter]:
    """Yield adapters, each granted to one workspace in turn."""
    for index in range(count):
        owner = workspaces[index % len(workspaces)]
        yield Adapter(f'{group}-{index:04}', group, (1, 2), 2, (owner,))


def engines(name: str, model: str, members: tuple) -> EndpointGroup:
    """Return a group of engines."""
    return EndpointGroup(name, GroupKind.ENGINE, members, model=model)


def services(name: str, members: tuple) -> EndpointGroup:
    """Return a group of plain services."""
    return EndpointGroup(name, GroupKind.SERVICE, members)
