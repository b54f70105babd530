"""Ownership terms of this daemon for the engines in the configuration."""

from __future__ import annotations

from pimentohoist._controllers.configuration import ConfigurationController
from pimentohoist._controllers.engine_orders import EndpointRef
from pimentohoist._controllers.held_pins import OwnershipView
from pimentohoist._controllers.ownership_history_reader import OwnershipHistoryReader
from pimentohoist._decisions.ownership_terms import OwnershipTerm
from pimentohoist.configuration import EndpointGroup, GroupKind


class OwnershipTracker:
    """Finds the endpoints that this daemon owns in the current view."""

    def __init__(
        self, view: OwnershipView, configuration: ConfigurationController
    ) -> None:
        self.view = view
        self.configuration = configuration
        self.reader = OwnershipHistoryReader(view)
        self.endpoint_refs: tuple[EndpointRef, ...] = ()
        self._configuration_offset = -1

    def term(self, name: str) -> OwnershipTerm | None:
        """Return this daemon's ownership term of an endpoint; None if it isn't the owner."""
        term = self.reader.term(name)
        is_own = term is not None and term.owner == self.view.incarnation
        return term if is_own else None

    def owned_endpoints(self) -> tuple[EndpointRef, ...]:
        """Return the engines that this daemon owns in the current view."""
        offset = self.configuration.follower.next_offset
        if offset != self._configuration_offset:
            self.endpoint_refs = self._read_endpoint_refs()
            self._configuration_offset = offset
        return tuple(
            endpoint_ref
            for endpoint_ref in self.endpoint_refs
            if self.term(endpoint_ref.name)
        )

    def endpoint_ref(self, name: str) -> EndpointRef | None:
        """Return an endpoint by its name with the group; None if it isn't configured."""
        group_name, _, endpoint_name = name.partition('/')
        group = self.configuration.group(group_name)
        endpoints = group.endpoints if group else ()
        for endpoint in endpoints:
            if group is not None and endpoint.name == endpoint_name:
                return EndpointRef(group, endpoint)
        return None

    def _read_endpoint_refs(self) -> tuple[EndpointRef, ...]:
        return tuple(
            EndpointRef(group, endpoint)
            for group in self.configuration.sections(EndpointGroup)
            if group.kind is GroupKind.ENGINE
            for endpoint in group.endpoints
        )
