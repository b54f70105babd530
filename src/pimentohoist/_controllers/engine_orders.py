"""Orders to one engine, with fencing numbers and only from its owner."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from pimentohoist._decisions.endpoint import LoadPlan
from pimentohoist.configuration import Endpoint, EndpointGroup
from pimentohoist.exceptions import NotOwnerError
from pimentohoist.models import AdapterOrder, AdapterVersion, EngineStatus
from pimentohoist.protocols import Engine

_STEP = 'engine_orders'
_RETRY_AFTER_S = 0.5
MAX_ORDER_DELAY_S = 1.0
"""Time in which an order sent by a former owner arrives at an engine that doesn't check
fencing numbers."""


@dataclass(frozen=True, slots=True)
class EndpointRef:
    """An endpoint with its group."""

    group: EndpointGroup
    endpoint: Endpoint

    @property
    def name(self) -> str:
        """Name in peer calls, and resource key by which the owner is found."""
        return f'{self.group.name}/{self.endpoint.name}'


@dataclass(frozen=True, slots=True)
class EngineOrders:
    """Sends orders to an engine on behalf of its owner.

    Attributes
    ----------
    is_owner : callable
        Called right before each order.
    epoch : callable
        Returns the fencing number.
    """

    endpoint_ref: EndpointRef
    engine: Engine
    is_owner: Callable[[], bool]
    epoch: Callable[[], int]

    def status(self) -> EngineStatus:
        """Return the engine's report; raises PeerError."""
        return self.engine.status()

    def fence(self) -> bool:
        """Make the engine refuse orders of former owners; return whether it does so now.

        Raises
        ------
        PeerError, NotOwnerError
            It is not known whether it does.
        """
        if not self.endpoint_ref.endpoint.checks_fencing:
            return False
        resident = self.engine.status().resident
        if resident:
            # A load of a resident adapter changes only the fencing number, so that the
            # engine refuses orders of former owners from now on.
            self.engine.load(self._order(min(resident)))
        return bool(resident)

    def execute(self, plan: LoadPlan) -> None:
        """Evict the victim, if there is one, then load the adapter.

        Raises
        ------
        PeerError, NotOwnerError
            The adapter may not be resident.
        """
        if plan.victim is not None:
            self.engine.evict(self._order(plan.victim))
        self.engine.load(self._order(plan.adapter))

    def _order(self, adapter: AdapterVersion) -> AdapterOrder:
        # The number is read before the check: if a newer view arrives in between, an order
        # of the former owner must not carry the newer number.
        order = AdapterOrder(adapter, self.epoch())
        if not self.is_owner():
            raise NotOwnerError(
                f'not the owner of endpoint {self.endpoint_ref.name}',
                step=_STEP,
                peer=self.endpoint_ref.endpoint.address,
                retry_after_s=_RETRY_AFTER_S,
            )
        return order
