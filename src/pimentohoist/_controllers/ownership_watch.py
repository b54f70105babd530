"""Which engines have become at home here, and which are no longer."""

from __future__ import annotations

from pimentohoist._controllers.configuration import ConfigurationController
from pimentohoist._controllers.engine_orders import Place
from pimentohoist._controllers.held_pins import MemberHomes
from pimentohoist._controllers.ownership_history_reader import TenureReader
from pimentohoist._decisions.ownership_terms import Tenure
from pimentohoist.configuration import EndpointGroup, GroupKind


class PlaceWatch:
    """Compares views and configurations with those seen before."""

    def __init__(
        self, view: MemberHomes, configuration: ConfigurationController
    ) -> None:
        self.view = view
        self.configuration = configuration
        self.reader = TenureReader(view)
        self.places: tuple[Place, ...] = ()
        self._offset = -1

    def tenure(self, name: str) -> Tenure | None:
        """Return this daemon's tenure as the home of a place; None if it has none."""
        tenure = self.reader.tenure(name)
        is_own = tenure is not None and tenure.home == self.view.incarnation
        return tenure if is_own else None

    def own_places(self) -> tuple[Place, ...]:
        """Return the engines whose home this daemon is in the present view."""
        offset = self.configuration.follower.next_offset
        if offset != self._offset:
            self.places = self._read_places()
            self._offset = offset
        return tuple(place for place in self.places if self.tenure(place.name))

    def place(self, name: str) -> Place | None:
        """Return a place by name."""
        group_name, _, endpoint_name = name.partition('/')
        group = self.configuration.group(group_name)
        endpoints = group.endpoints if group else ()
        for endpoint in endpoints:
            if group is not None and endpoint.name == endpoint_name:
                return Place(group, endpoint)
        return None

    def _read_places(self) -> tuple[Place, ...]:
        return tuple(
            Place(group, endpoint)
            for group in self.configuration.sections(EndpointGroup)
            if group.kind is GroupKind.ENGINE
            for endpoint in group.endpoints
        )
