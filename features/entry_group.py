"""A store's group and the daemons in it, without a network."""

from __future__ import annotations

import threading
import time
from contextlib import ExitStack
from types import SimpleNamespace
from typing import Any, Self

from pimentohoist._entry.ownership import OwnershipController
from pimentohoist.platform import Membership

PARTITIONS = 12


class DealtGroup:
    """Deals partitions out evenly, as the platform states.

    A partition moves once its former member joins with the generation that took it away.
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
        """Join, or stay; return what the member holds."""
        with self._lock:
            self.joins += 1
            if member not in self.members:
                self.members.append(member)
                self.generation += 1
            elif generation >= self.generation:
                self._hand_over(member)
            held = {
                part
                for part in range(PARTITIONS)
                if self._due(part) == member
                and self.holders.setdefault(part, member) == member
            }
            return Membership(self.generation, frozenset(held))

    def leave(self, group: str, member: str) -> None:
        """Take a member out."""
        with self._lock:
            self.members.remove(member)
            self.generation += 1
            self._drop(
                part for part, holder in self.holders.items() if holder == member
            )

    def _due(self, part: int) -> str:
        return self.members[part % len(self.members)]

    def _hand_over(self, member: str) -> None:
        self._drop(
            part
            for part, holder in self.holders.items()
            if holder == member and self._due(part) != member
        )

    def _drop(self, parts: Any) -> None:
        for part in tuple(parts):
            self.holders.pop(part)


class GroupOfDaemons:
    """Daemons that hear one another's beats at once when one sends them."""

    def __init__(self) -> None:
        self.store = DealtGroup()
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
            send_now=lambda: self._tell(name),
            live=lambda: self._beats(name),
        )
        store: Any = self.store
        controllers = OwnershipController(settings, store, members)
        self.controllers[name] = controllers
        self._stack.enter_context(controllers)

    def owners(self) -> list[str]:
        """Return who holds each partition, in order of the partitions."""
        held = [
            (part, name)
            for name, controllers in self.controllers.items()
            for part in controllers.own.partitions
        ]
        return [name for _, name in sorted(held)]

    def time_until_dealt(self, limit_s: float) -> float:
        """Return how long it takes until each partition has one holder, in seconds."""
        began_at = time.monotonic()
        while time.monotonic() - began_at < limit_s:
            parts = [
                part
                for controllers in self.controllers.values()
                for part in controllers.own.partitions
            ]
            if sorted(parts) == list(range(PARTITIONS)) and self._is_even():
                break
            time.sleep(0.01)
        return time.monotonic() - began_at

    def tell_generation(self, sender: str, generation: int) -> None:
        """Let the others hear a daemon's beat."""
        heartbeat: Any = SimpleNamespace(member=sender, generation=generation)
        for name, controllers in tuple(self.controllers.items()):
            if name != sender:
                for listener in controllers.members.on_heartbeat:
                    listener(heartbeat, None)

    def _beats(self, hearer: str) -> list[Any]:
        others = [
            controllers
            for name, controllers in self.controllers.items()
            if name != hearer
        ]
        return [
            SimpleNamespace(ownership=lambda own=controllers.own: own)
            for controllers in others
        ]

    def _is_even(self) -> bool:
        return all(
            controllers.own.partitions for controllers in self.controllers.values()
        )

    def _tell(self, sender: str) -> None:
        self.tell_generation(sender, self.controllers[sender].own.generation)
