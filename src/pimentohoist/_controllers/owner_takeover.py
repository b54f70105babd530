"""How a new home of an engine makes sure that it is the only one that orders there."""

from __future__ import annotations

import logging
import time
from collections import ChainMap
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from pimentohoist._controllers.exit_prober import EndProofs
from pimentohoist._controllers.endpoint_owner import EndpointHome
from pimentohoist._controllers.engine_orders import LATE_ORDER_S
from pimentohoist._controllers.pin_collection import PinCollection
from pimentohoist._decisions.shares import CLOCK_RATIO
from pimentohoist._decisions.ownership_terms import FRESH_S, FormerWait, free_at
from pimentohoist.exceptions import PimentohoistError

_PAUSE_S = 0.1
_WAIT = FormerWait(
    after_fence_s=FRESH_S * CLOCK_RATIO + LATE_ORDER_S, after_end_s=LATE_ORDER_S
)
_logger = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class _Proofs:
    fenced_at: Mapping[int, float]
    gone_at: Mapping[str, float]


class HomeTakeover:
    """Fences an engine, reads what it holds and collects the pins on it.

    Parameters
    ----------
    is_kept : callable
        Whether a home is still the present one.
    """

    def __init__(
        self,
        collection: PinCollection,
        proofs: EndProofs,
        is_kept: Callable[[EndpointHome], bool],
    ) -> None:
        self.collection = collection
        self.proofs = proofs
        self.is_kept = is_kept

    def collect(self, home: EndpointHome) -> None:
        """Learn all pins that members hold, until the home is settled."""
        self.collection.collect(home, lambda: self.is_kept(home))
        _logger.info('home settled', extra={'endpoint': home.place.name})

    def fence(self, home: EndpointHome) -> None:
        """Let requests through once no former home can order anything at the engine."""
        while self.is_kept(home) and not self._try(home):
            time.sleep(_PAUSE_S)
        _logger.info('home fenced', extra={'endpoint': home.place.name})

    def _try(self, home: EndpointHome) -> bool:
        if home.is_fenced:
            return True
        if self._is_free(home) or self._is_fenced_by_engine(home):
            home.verify()
            home.is_fenced = home.is_verified
        elif home.place.endpoint.checks_fencing and not home.is_verified:
            # Nothing is resident: the first load fences the engine.
            home.verify()
        return home.is_fenced

    def _is_free(self, home: EndpointHome) -> bool:
        gone_at = ChainMap(home.moved_at, dict(self.proofs.gone_at))
        proofs = _Proofs(self.proofs.fenced_at, gone_at)
        return free_at(home.tenure, proofs, _WAIT) <= time.monotonic()

    def _is_fenced_by_engine(self, home: EndpointHome) -> bool:
        try:
            return home.orders.fence()
        except PimentohoistError as error:
            _logger.info(
                'not fenced: %s',
                error.message,
                extra={'step': error.step, 'endpoint': home.place.name},
            )
        return False
