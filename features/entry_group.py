"""Test doubles of a store's group, and the daemons in it, without a network."""

from __future__ import annotations

import threading
import time
from contextlib import ExitStack
from types import SimpleNamespace
from typing import Any, Self

from pimentohoist._entry.ownership import OwnershipController
from pimentohoist.platform import Membership

PARTITIONS = 12


class PartitionGroup:
    """Test double of a group that assigns partitions evenly, as the platform states.

    A partition is reassigned once its former holder joins with the generation that took
    it away.
    """

    def __init__(self) -> None:
        self.generation = 0
        self.members: list[str] = []
        self.holders: dict[int, str] = {}
        self.joins = 0
        self._lock = threading.Lock()

    def join(
        self, group: str, member: str, generation: int, lease_s: float
    ) -> Membership:
        """Join or stay; return the partitions that the member holds."""
        with self._lock:
            self.joins += 1
            if member not in self.members:
                self.members.append(member)
                self.generation += 1
            elif generation >= self.generation:
                self._release_reassigned(member)
            held = {
                partition
                for partition in range(PARTITIONS)
                if self._assigned_member(partition) == member
                and self.holders.setdefault(partition, member) == member
            }
            return Membership(self.generation, frozenset(held))

    def leave(self, group: str, member: str) -> None:
        """Remove a member."""
        with self._lock:
            self.members.remove(member)
            self.generation += 1
            self._release(
                partition
                for partition, holder in self.holders.items()
                if holder == member
            )

    def _assigned_member(self, partition: int) -> str:
        return self.members[partition % len(self.members)]

    def _release_reassigned(self, member: str) -> None:
        self._release(
            partition
            for partition, holder in self.holders.items()
            if holder == member and self._assigned_member(partition) != member
        )

    def _release(self, partitions: Any) -> None:
        for partition in tuple(partitions):
            self.holders.pop(partition)


class DaemonGroup:
    """Daemons that receive one another's heartbeats as soon as one sends them."""

    def __init__(self) -> None:
        self.store = PartitionGroup()
        self.controllers: dict[str, OwnershipController] = {}
        self._stack = ExitStack()

    def __enter__(self) -> Self:
        """Return itself."""
        return self

    def __exit__(self, *exc_info: object) -> None:
        """Stop all daemons."""
        self._stack.close()

    def start(self, name: str) -> None:
        """Start a daemon."""
        settings: Any = SimpleNamespace(
            control_address=name,
            partitions=PARTITIONS,
            engines_check_fences=True,
            bounds=SimpleNamespace(lease_s=3.0),
        )
        members: Any = SimpleNamespace(
            on_heartbeat=[],
            send_now=lambda: self._deliver_heartbeat(name),
            live=lambda: self._live_heartbeats(name),
        )
        store: Any = self.store
        controller = OwnershipController(settings, store, members)
        self.controllers[name] = controller
        self._stack.enter_context(controller)

    def owners(self) -> list[str]:
        """Return the holder of each partition, in order of the partitions."""
        held = [
            (partition, name)
            for name, controller in self.controllers.items()
            for partition in controller.own.partitions
        ]
        return [name for _, name in sorted(held)]

    def time_until_assigned(self, limit_s: float) -> float:
        """Wait until each partition has one holder; return the seconds it took."""
        began_at = time.monotonic()
        while time.monotonic() - began_at < limit_s:
            partitions = [
                partition
                for controller in self.controllers.values()
                for partition in controller.own.partitions
            ]
            if (
                sorted(partitions) == list(range(PARTITIONS))
                and self._do_all_hold_partitions()
            ):
                break
            time.sleep(0.01)
        return time.monotonic() - began_at

    def deliver_generation(self, sender: str, generation: int) -> None:
        """Deliver a heartbeat of a daemon to the others."""
        heartbeat: Any = SimpleNamespace(member=sender, generation=generation)
        for name, controller in tuple(self.controllers.items()):
            if name != sender:
                for listener in controller.members.on_heartbeat:
                    listener(heartbeat, None)

    def _live_heartbeats(self, receiver: str) -> list[Any]:
        others = [
            controller
            for name, controller in self.controllers.items()
            if name != receiver
        ]
        return [
            SimpleNamespace(ownership=lambda own=controller.own: own)
            for controller in others
        ]

    def _do_all_hold_partitions(self) -> bool:
        return all(
            controller.own.partitions for controller in self.controllers.values()
        )

    def _deliver_heartbeat(self, sender: str) -> None:
        self.deliver_generation(sender, self.controllers[sender].own.generation)
