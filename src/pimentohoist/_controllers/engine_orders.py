"""Orders to one engine, fenced and only from its home."""

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
LATE_ORDER_S = 1.0
"""Time in which an order that a former home has sent arrives at an engine that doesn't
check fencing numbers."""


@dataclass(frozen=True, slots=True)
class EndpointRef:
    """An endpoint with its group."""

    group: EndpointGroup
    endpoint: Endpoint

    @property
    def name(self) -> str:
        """Name in calls between daemons, and of the thing whose home is sought."""
        return f'{self.group.name}/{self.endpoint.name}'


@dataclass(frozen=True, slots=True)
class EngineOrders:
    """An engine as its home uses it.

    Attributes
    ----------
    is_owner : callable
        Asked right before each order.
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
        """Make the engine refuse orders of former homes; return whether it does so now.

        Raises
        ------
        PeerError, NotOwnerError
            It is not known whether it does.
        """
        if not self.endpoint_ref.endpoint.checks_fencing:
            return False
        resident = self.engine.status().resident
        if resident:
            # An adapter that is resident is ordered once more: that changes nothing but
            # the fencing number, so that orders of a former home are refused from now on.
            self.engine.load(self._order(min(resident)))
        return bool(resident)

    def execute(self, plan: LoadPlan) -> None:
        """Order an eviction, if there is one, and a load.

        Raises
        ------
        PeerError, NotOwnerError
            The adapter is perhaps not resident.
        """
        if plan.victim is not None:
            self.engine.evict(self._order(plan.victim))
        self.engine.load(self._order(plan.adapter))

    def _order(self, adapter: AdapterVersion) -> AdapterOrder:
        # The number comes first: a view that is read meanwhile must not lend its number
        # to an order of the home before it.
        order = AdapterOrder(adapter, self.epoch())
        if not self.is_owner():
            raise NotOwnerError(
                f'not the home of {self.endpoint_ref.name}',
                step=_STEP,
                peer=self.endpoint_ref.endpoint.address,
                retry_after_s=_RETRY_AFTER_S,
            )
        return order
