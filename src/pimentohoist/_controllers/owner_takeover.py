"""How a new home of an engine makes sure that it is the only one that orders there."""

from __future__ import annotations

import logging
import time
from collections import ChainMap
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from pimentohoist._controllers.exit_prober import ExitProber
from pimentohoist._controllers.endpoint_owner import EndpointOwner
from pimentohoist._controllers.engine_orders import LATE_ORDER_S
from pimentohoist._controllers.pin_collection import PinCollection
from pimentohoist._decisions.shares import CLOCK_RATIO
from pimentohoist._decisions.ownership_terms import (
    FRESH_S,
    TakeoverDelays,
    takeover_allowed_at,
)
from pimentohoist.exceptions import PimentohoistError

_PAUSE_S = 0.1
_WAIT = TakeoverDelays(
    after_fence_s=FRESH_S * CLOCK_RATIO + LATE_ORDER_S, after_end_s=LATE_ORDER_S
)
_logger = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class _Proofs:
    fenced_at: Mapping[int, float]
    inactive_since: Mapping[str, float]


class OwnerTakeover:
    """Fences an engine, reads what it holds and collects the pins on it.

    Parameters
    ----------
    is_kept : callable
        Whether a home is still the present one.
    """

    def __init__(
        self,
        collection: PinCollection,
        proofs: ExitProber,
        is_kept: Callable[[EndpointOwner], bool],
    ) -> None:
        self.collection = collection
        self.proofs = proofs
        self.is_kept = is_kept

    def collect(self, owner: EndpointOwner) -> None:
        """Learn all pins that members hold, until the home is settled."""
        self.collection.collect(owner, lambda: self.is_kept(owner))
        _logger.info('home settled', extra={'endpoint': owner.endpoint_ref.name})

    def fence(self, owner: EndpointOwner) -> None:
        """Let requests through once no former home can order anything at the engine."""
        while self.is_kept(owner) and not self._try(owner):
            time.sleep(_PAUSE_S)
        _logger.info('home fenced', extra={'endpoint': owner.endpoint_ref.name})

    def _try(self, owner: EndpointOwner) -> bool:
        if owner.is_fenced:
            return True
        if self._is_free(owner) or self._is_fenced_by_engine(owner):
            owner.verify()
            owner.is_fenced = owner.is_verified
        elif owner.endpoint_ref.endpoint.checks_fencing and not owner.is_verified:
            # Nothing is resident: the first load fences the engine.
            owner.verify()
        return owner.is_fenced

    def _is_free(self, owner: EndpointOwner) -> bool:
        inactive_since = ChainMap(owner.moved_at, dict(self.proofs.inactive_since))
        proofs = _Proofs(self.proofs.fenced_at, inactive_since)
        return takeover_allowed_at(owner.term, proofs, _WAIT) <= time.monotonic()

    def _is_fenced_by_engine(self, owner: EndpointOwner) -> bool:
        try:
            return owner.orders.fence()
        except PimentohoistError as error:
            _logger.info(
                'not fenced: %s',
                error.message,
                extra={'step': error.step, 'endpoint': owner.endpoint_ref.name},
            )
        return False
