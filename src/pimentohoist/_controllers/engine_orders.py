"""Orders to one engine, fenced and only from its home."""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass

from pimentohoist._decisions.endpoint import LoadPlan
from pimentohoist.configuration import Endpoint, EndpointGroup
from pimentohoist.exceptions import NotHomeError
from pimentohoist.models import AdapterOrder, EngineStatus
from pimentohoist.protocols import Engine

_STEP = 'engine_orders'
_RETRY_AFTER_S = 0.5
LATE_ORDER_S = 1.0
"""Time in which an order that a former home has sent arrives at an engine that doesn't
check fencing numbers."""


@dataclass(frozen=True, slots=True)
class Place:
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
    is_home : callable
        Asked right before each order.
    epoch : callable
        Returns the fencing number.
    """

    place: Place
    engine: Engine
    is_home: Callable[[], bool]
    epoch: Callable[[], int]

    def status(self) -> EngineStatus:
        """Return the engine's report; raises PeerError."""
        return self.engine.status()

    def fence(self) -> None:
        """Make orders of a former home harmless; raises PeerError, NotHomeError."""
        if not self.place.endpoint.checks_fencing:
            time.sleep(LATE_ORDER_S)
            return
        resident = self.engine.status().resident
        if resident:
            # An adapter that is resident is ordered once more: that changes nothing but
            # the fencing number, so that orders of a former home are refused from now on.
            self._require_home()
            self.engine.load(AdapterOrder(min(resident), self.epoch()))

    def carry_out(self, plan: LoadPlan) -> None:
        """Order an eviction, if there is one, and a load.

        Raises
        ------
        PeerError, NotHomeError
            The adapter is perhaps not resident.
        """
        if plan.victim is not None:
            self._require_home()
            self.engine.evict(AdapterOrder(plan.victim, self.epoch()))
        self._require_home()
        self.engine.load(AdapterOrder(plan.adapter, self.epoch()))

    def _require_home(self) -> None:
        if not self.is_home():
            raise NotHomeError(
                f'not the home of {self.place.name}',
                step=_STEP,
                peer=self.place.endpoint.address,
                retry_after_s=_RETRY_AFTER_S,
            )
