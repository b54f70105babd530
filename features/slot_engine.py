"""Test double of an engine that counts and executes orders on a virtual clock."""

from __future__ import annotations

import json
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import Any

from pimentohoist.entry_models import AdapterKey

_LOAD_S = 0.25
_REPORT_AGE_S = 0.13


@dataclass
class SlotEngine:
    """Test double of an engine that answers and counts orders as the platform does.

    A load of an adapter that is being loaded is answered as begun whatever count it
    names, and isn't counted; an unload of an adapter that isn't held isn't counted.

    Attributes
    ----------
    most_held : int
        Largest number of adapters held or being loaded at any time.
    orders_ahead : list of dict
        Orders that named more orders than the engine had accepted.
    absent_unloads : int
        Number of unloads of adapters that weren't held, which aren't counted.
    """

    accepted_orders: int = 0
    fence: int = 0
    most_held: int = 0
    held: dict[AdapterKey, int] = field(default_factory=dict)
    loading: dict[AdapterKey, float] = field(default_factory=dict)
    leaving: set[AdapterKey] = field(default_factory=set)
    runs: list[tuple[AdapterKey, float]] = field(default_factory=list)
    history: list[tuple[float, bytes]] = field(default_factory=list)
    orders_ahead: list[dict[str, Any]] = field(default_factory=list)
    absent_unloads: int = 0

    def order(self, document: dict[str, Any], now: float) -> HTTPStatus:
        """Execute an order."""
        self.advance(now)
        if document['fence'] < self.fence:
            return HTTPStatus.PRECONDITION_FAILED
        self.fence = document['fence']
        if document['expect'] > self.accepted_orders:
            self.orders_ahead.append(document)
        adapter = AdapterKey(document['model'], document['adapter'])
        if document['opcode'] == 'load' and adapter in self.loading:
            return HTTPStatus.ACCEPTED
        if document['expect'] != self.accepted_orders or self.leaving:
            return HTTPStatus.CONFLICT
        if (document['opcode'] == 'load') == (adapter in self.held):
            self.absent_unloads += document['opcode'] == 'unload'
            return HTTPStatus.OK
        status = self._execute(document['opcode'], adapter, now)
        self._record(now)
        return status

    def run(self, adapter: AdapterKey, ends_at: float) -> None:
        """Begin a request for an adapter."""
        if adapter in self.held and adapter not in self.leaving:
            self.runs.append((adapter, ends_at))

    def report(self, now: float) -> bytes:
        """Return the state of some time ago."""
        self.advance(now)
        older = [text for at, text in self.history if at <= now - _REPORT_AGE_S]
        return older[-1] if older else self._text(0, {}, ())

    def advance(self, now: float) -> None:
        """Finish the loads and requests that are due."""
        self.runs = [run for run in self.runs if run[1] > now]
        used = {adapter for adapter, _ in self.runs}
        left = self.leaving - used
        due = {adapter for adapter, at in self.loading.items() if at <= now}
        for adapter in due:
            self.loading.pop(adapter)
            self.held[adapter] = 1
        for gone in left:
            self.held.pop(gone)
        self.leaving -= left
        if due or left:
            self._record(now)

    def _execute(self, opcode: str, adapter: AdapterKey, now: float) -> HTTPStatus:
        if opcode == 'unload' and adapter in self.loading:
            return HTTPStatus.OK
        self.accepted_orders += 1
        if opcode == 'load':
            self.loading[adapter] = now + _LOAD_S
            self.most_held = max(self.most_held, len(self.held) + len(self.loading))
            return HTTPStatus.ACCEPTED
        if any(adapter == used for used, _ in self.runs):
            self.leaving.add(adapter)
            return HTTPStatus.ACCEPTED
        self.held.pop(adapter)
        return HTTPStatus.OK

    def _record(self, now: float) -> None:
        text = self._text(self.accepted_orders, self.held, self.loading)
        self.history.append((now, text))

    def _text(self, accepted_orders: int, held: Any, loading: Any) -> bytes:
        adapters = [f'{adapter.name}@1' for adapter in held]
        models = [{'name': 'm', 'adapters': adapters}]
        coming = [f'm/{adapter.name}@1' for adapter in loading]
        document = {
            'born': 1,
            'seq': accepted_orders,
            'models': models,
            'coming': coming,
        }
        return json.dumps(document).encode()
