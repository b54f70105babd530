"""Loads the adapters of owned engines that leave at other engines."""

from __future__ import annotations

import logging
import threading
from collections import Counter
from typing import Self

from pimentohoist import _clock
from pimentohoist._decisions.adapter_handover import choose_new_holder
from pimentohoist._entry.endpoint_chooser import EndpointChooser
from pimentohoist._entry.engine_owner import EngineOwner
from pimentohoist.entry_models import AdapterKey
from pimentohoist.exceptions import PimentohoistError, UnavailableError

_INTERVAL_S = 0.25
"""Owners report once in this time what their engines have and load."""

_MAX_DURATION_S = 5.0
"""By then the adapters are loaded if other engines have room for them."""

_logger = logging.getLogger(__name__)


class LeavingEngines:
    """Implements `Controller`: requests adapters of leaving engines at other engines.

    Only the owner of a leaving engine does so; it knows what was requested there.
    """

    def __init__(self, chooser: EndpointChooser) -> None:
        self.chooser = chooser
        self._began_at: dict[str, float] = {}
        self._closed = threading.Event()
        self._thread = threading.Thread(target=self._run, name='leaving', daemon=True)

    def __enter__(self) -> Self:
        """Start watching the owned engines."""
        self._thread.start()
        return self

    def __exit__(self, *exc_info: object) -> None:
        """Stop watching."""
        self._closed.set()

    def _run(self) -> None:
        while not self._closed.wait(_INTERVAL_S):
            try:
                self._request_all()
            except Exception:
                _logger.exception('adapters not requested', extra={'step': 'leaving'})

    def _request_all(self) -> None:
        notices = self.chooser.endpoints.notices
        leaving = {
            engine.endpoint.incarnation: engine
            for engine in tuple(self.chooser.owned_engines.engines.values())
            if notices.is_leaving(engine.endpoint)
        }
        now = _clock.now()
        self._began_at = {
            incarnation: self._began_at.get(incarnation, now) for incarnation in leaving
        }
        requested: Counter[str] = Counter()
        for incarnation, engine in leaving.items():
            if now - self._began_at[incarnation] < _MAX_DURATION_S:
                self._request_adapters(engine, requested)

    def _request_adapters(self, engine: EngineOwner, requested: Counter[str]) -> None:
        group = engine.endpoint.group
        for adapter in engine.popular_adapters():
            candidates = self.chooser.candidates_for(group, adapter)
            target = choose_new_holder(str(adapter), candidates, requested)
            if target is not None:
                requested[target] += 1
                self._request(adapter, target, engine.endpoint.endpoint_id)

    def _request(self, adapter: AdapterKey, target: str, source: str) -> None:
        extra = {
            'step': 'leaving',
            'endpoint': target,
            'adapter': str(adapter),
            'leaving': source,
        }
        _logger.info('adapter of a leaving engine requested', extra=extra)
        try:
            self.chooser.owned_engines.load_and_pin(target, adapter, 0)
        except UnavailableError:
            # The load goes on, or couldn't begin and is requested in the next round.
            return
        except PimentohoistError as error:
            _logger.info('adapter not requested: %s', error, extra=extra)
