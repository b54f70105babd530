"""Checks of the orders that engines get."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator

from pimentohoist_standins._soak.history import History, Verdict, is_success
from pimentohoist_standins._soak.records import OrderRecord


def adapter_slots(history: History) -> Iterator[Verdict]:
    """No engine is ordered to hold more adapters than it has slots."""
    for order in history.observations.orders:
        held = f'{order.engine} held {order.held} adapters in {order.slots} slots'
        text = f'{held} after {order.opcode} {order.adapter} of {order.holder}'
        yield Verdict(order.held <= order.slots, order.arrived_at, text)


def one_holder_per_fence(history: History) -> Iterator[Verdict]:
    """Two holders never order an engine with the same fence."""
    holders: dict[tuple[str, int, int], str] = {}
    for order, restarts in _orders_with_restarts(history):
        holder = holders.setdefault((order.engine, restarts, order.fence), order.holder)
        text = f'{order.engine} got {order.fence} of {holder} and of {order.holder}'
        yield Verdict(holder == order.holder, order.arrived_at, text)


def fences_rise(history: History) -> Iterator[Verdict]:
    """No engine obeys a lower fence after a higher one."""
    fences: dict[tuple[str, int], int] = defaultdict(int)
    for order, restarts in _orders_with_restarts(history):
        highest = fences[order.engine, restarts]
        if is_success(order.status):
            text = f'{order.engine} obeyed fence {order.fence} after {highest}'
            yield Verdict(order.fence >= highest, order.arrived_at, text)
            fences[order.engine, restarts] = max(highest, order.fence)


def _orders_with_restarts(history: History) -> Iterator[tuple[OrderRecord, int]]:
    """Yield each order and how often its engine, which forgets fences, had restarted.

    Orders of a holder whose process or links have just been disturbed may be old ones
    that were held up, and are left out.
    """
    crashes = defaultdict(list)
    for fault in history.observations.faults:
        if fault.kind == 'engine_crash':
            crashes[fault.target].append(fault.began_at)
    orders = history.observations.orders
    for order in sorted(orders, key=lambda arrival: arrival.arrived_at):
        at = order.arrived_at
        if not history.disruptions.is_disturbed(order.holder, at, at):
            yield order, sum(crash <= at for crash in crashes[order.engine])
