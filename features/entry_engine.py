"""Test double of an engine that its owner orders, without a network."""

from __future__ import annotations

import threading
import time
from collections.abc import Callable
from types import SimpleNamespace
from typing import Any

from pimentohoist._entry.engine_owner import EngineOwner
from pimentohoist.entry_models import AdapterKey
from pimentohoist.platform import OrderReply


def key(number: int) -> AdapterKey:
    """Return one of the adapters that the steps use."""
    return AdapterKey('m', f'a{number}')


class FakeEngine:
    """Test double of `EngineSession`: executes at once and reports it at the next poll.

    Attributes
    ----------
    held : dict of AdapterKey to int
        Versions of the adapters that the engine has or is loading.
    max_held : int
        Largest number of them at any time.
    polls : int
        Number of polls whether a load has ended.
    poll_s : float
        Time that a poll takes.
    """

    def __init__(self, held: dict[AdapterKey, int], poll_s: float = 0) -> None:
        self.held = dict(held)
        self.max_held = len(held)
        self.lock = threading.Lock()
        self.is_state_known = True
        self.is_ended = False
        self.models = ('m',)
        self.accepted_orders = 0
        self.polls = 0
        self.poll_s = poll_s
        self._completed: set[AdapterKey] = set(held)

    def may_order(self) -> bool:
        """Return whether orders may be sent now."""
        return True

    def load(self, adapter: AdapterKey, version: int | None) -> OrderReply:
        """Load an adapter."""
        if adapter in self._completed:
            return OrderReply.DONE
        self._completed.add(adapter)
        self.held[adapter] = version or 1
        self.max_held = max(self.max_held, len(self.held))
        self.accepted_orders += 1
        return OrderReply.ACCEPTED

    def poll(
        self, adapter: AdapterKey, version: int | None, accepted_orders: int
    ) -> OrderReply:
        """Load an adapter: an engine can't distinguish a poll from an order."""
        self.polls += 1
        time.sleep(self.poll_s)
        if accepted_orders != self.accepted_orders and adapter not in self._completed:
            return OrderReply.ACCEPTED
        return self.load(adapter, version)

    def unload(self, adapter: AdapterKey) -> OrderReply:
        """Unload an adapter."""
        self.held.pop(adapter, None)
        self.accepted_orders += 1
        self._completed.discard(adapter)
        return OrderReply.DONE

    def resync(self, apply: Callable[[Any], None]) -> None:
        """Report what the engine holds."""
        apply(SimpleNamespace(adapters=dict(self.held), loading=()))

    def log_fields(self) -> dict[str, object]:
        """Return the fields of each log record about the engine."""
        return {'endpoint': 'engine'}


def make_owner(engine: FakeEngine, capacity: int, loaders: Any) -> EngineOwner:
    """Return the owner of an engine, started and with the engine's state."""
    endpoint: Any = SimpleNamespace(
        endpoint_id='engine', address='127.0.0.1:1', models=('m',)
    )
    lease: Any = SimpleNamespace(may_order=lambda: True, quiet_s=lambda: 0)
    owner = EngineOwner(endpoint, capacity, 'm', lease, loaders)
    owner.session = engine  # type: ignore[assignment]
    owner.loader.session = engine  # type: ignore[assignment]
    owner.start()
    engine.resync(owner.apply_report)
    return owner
