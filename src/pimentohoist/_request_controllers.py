"""The controllers and filters of a daemon that handle requests and their failures."""

from __future__ import annotations

import time
from collections.abc import Mapping

from pimentohoist._controllers.cancellations import CancellationsController
from pimentohoist._controllers.drain import DrainController
from pimentohoist._controllers.instances import InstancesController, NonLeavingSlots
from pimentohoist._controllers.metrics import MetricsController
from pimentohoist._controllers.quarantine import Membership, QuarantineController
from pimentohoist._filters.quarantine import Quarantine
from pimentohoist._filters.record_metrics import RecordMetrics
from pimentohoist._filters.retry_dependencies import (
    RetryDependencies,
    SharedRetryBudget,
)
from pimentohoist._platform_clients.instances import HttpInstanceList
from pimentohoist._relay import Relay
from pimentohoist.protocols import Controller, Log, Peers, Slots
from pimentohoist.settings import Settings


class RequestControllers:
    """The request-side controllers of one daemon and the filters that use them.

    Attributes
    ----------
    slots : Slots
        Source of slots on endpoints that are not leaving.
    """

    def __init__(
        self,
        settings: Settings,
        log: Log,
        membership: Membership,
        peers: Peers,
        slots: Slots,
    ) -> None:
        platform = settings.platform
        instances = HttpInstanceList(
            platform.instance_list_address, timeout_s=platform.timeout_s
        )
        self.instances = InstancesController(instances, slots.engine)
        self.slots = NonLeavingSlots(slots, self.instances)
        self.quarantine = QuarantineController(membership, peers)
        self.drain = DrainController(
            log,
            membership,
            entries_max_age_s=settings.callers.entries_max_age_s,
            limit_s=settings.callers.drain_limit_s,
        )
        self.cancellations = CancellationsController()
        self.relay = Relay()
        self.retries = SharedRetryBudget()
        self.metrics = MetricsController()
        self.retry_dependencies = RetryDependencies(
            self.slots,
            self.cancellations,
            self.quarantine,
            time.monotonic,
            self.retries,
        )

    def metrics_filter(self) -> RecordMetrics:
        """Return the filter that records metrics of every request."""
        return RecordMetrics(self.metrics)

    def filter(self) -> Quarantine:
        """Return the filter that runs directly before the last handler."""
        return Quarantine(self.quarantine)

    def controllers(self) -> Mapping[str, Controller]:
        """Return the controllers by name."""
        return {
            'instances': self.instances,
            'quarantine': self.quarantine,
            'cancellations': self.cancellations,
            'drain': self.drain,
            'relay': self.relay,
            'retries': self.retries,
            'metrics': self.metrics,
        }
