"""Fencing of an engine by its new owner, so that no former owner can send orders."""

from __future__ import annotations

import logging
import time
from collections import ChainMap
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from pimentohoist._controllers.exit_prober import ExitProber
from pimentohoist._controllers.endpoint_owner import EndpointOwner
from pimentohoist._controllers.engine_orders import MAX_ORDER_DELAY_S
from pimentohoist._controllers.pin_collector import PinCollector
from pimentohoist._decisions.shares import CLOCK_RATIO
from pimentohoist._decisions.ownership_terms import (
    MAX_FRESH_AGE_S,
    TakeoverDelays,
    takeover_allowed_at,
)
from pimentohoist.exceptions import PimentohoistError

_RETRY_PAUSE_S = 0.1
_TAKEOVER_DELAYS = TakeoverDelays(
    after_fence_s=MAX_FRESH_AGE_S * CLOCK_RATIO + MAX_ORDER_DELAY_S,
    after_end_s=MAX_ORDER_DELAY_S,
)
_logger = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class _FormerOwnerEnds:
    fenced_at: Mapping[int, float]
    inactive_since: Mapping[str, float]


class OwnerTakeover:
    """Fences an engine, reads its status and collects the pins on it.

    Parameters
    ----------
    is_current : callable
        Whether an `EndpointOwner` is still the current one of its endpoint.
    """

    def __init__(
        self,
        pin_collector: PinCollector,
        exit_prober: ExitProber,
        is_current: Callable[[EndpointOwner], bool],
    ) -> None:
        self.pin_collector = pin_collector
        self.exit_prober = exit_prober
        self.is_current = is_current

    def collect(self, owner: EndpointOwner) -> None:
        """Collect the pins that members hold, until all are known."""
        self.pin_collector.collect(owner, lambda: self.is_current(owner))
        _logger.info(
            'pins of the endpoint collected',
            extra={'endpoint': owner.endpoint_ref.name},
        )

    def fence(self, owner: EndpointOwner) -> None:
        """Allow requests once no former owner can send orders to the engine."""
        while self.is_current(owner) and not self._try_fence(owner):
            time.sleep(_RETRY_PAUSE_S)
        _logger.info('endpoint fenced', extra={'endpoint': owner.endpoint_ref.name})

    def _try_fence(self, owner: EndpointOwner) -> bool:
        if owner.is_fenced:
            return True
        if self._is_takeover_allowed(owner) or self._is_fenced_by_engine(owner):
            owner.verify()
            owner.is_fenced = owner.is_verified
        elif owner.endpoint_ref.endpoint.checks_fencing and not owner.is_verified:
            # No adapter is resident to reload, so the first load sets the fencing number.
            owner.verify()
        return owner.is_fenced

    def _is_takeover_allowed(self, owner: EndpointOwner) -> bool:
        inactive_since = ChainMap(
            owner.stepped_down_at, dict(self.exit_prober.inactive_since)
        )
        former_ends = _FormerOwnerEnds(self.exit_prober.fenced_at, inactive_since)
        return (
            takeover_allowed_at(owner.term, former_ends, _TAKEOVER_DELAYS)
            <= time.monotonic()
        )

    def _is_fenced_by_engine(self, owner: EndpointOwner) -> bool:
        try:
            return owner.orders.fence()
        except PimentohoistError as error:
            _logger.info(
                'endpoint not fenced: %s',
                error.message,
                extra={'step': error.step, 'endpoint': owner.endpoint_ref.name},
            )
        return False
