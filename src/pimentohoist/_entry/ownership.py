"""Ownership of engines: only the owner of an engine may order it.

The store's group assigns partitions to daemons, with a generation that rises at each
change; an engine always belongs to the same partition. Heartbeats carry each daemon's
partitions to the others.
"""

from __future__ import annotations

import logging
import threading
from collections.abc import Callable, Iterable, Mapping
from typing import Any, Self

from pimentohoist import _clock
from pimentohoist._decisions.join_times import JoinTimes
from pimentohoist._decisions.ownership import (
    Ownership,
    PartitionLeases,
    owner_of,
    partition_of,
)
from pimentohoist._entry.heartbeat import Heartbeat
from pimentohoist._entry.members import MembersController
from pimentohoist.exceptions import PimentohoistError
from pimentohoist.platform import EntrySettings, Store

_GROUP = 'pimentohoist-homes'
_MEMBERSHIP_LEASE_S = 2.5
"""Time until the partitions of a lost owner are reassigned; three joins fit in, so that
two may be lost."""

_logger = logging.getLogger(__name__)


class OwnershipController:
    """Implements `Controller`: keeps this daemon's partitions in the store's group.

    Attributes
    ----------
    own : Ownership
        The partitions that this daemon holds.
    joined_at : float
        When the last join that succeeded was sent, on the daemon's clock.
    on_change : list of callable
        Called when this daemon gains or loses partitions.
    """

    def __init__(
        self, settings: EntrySettings, store: Store, members: MembersController
    ) -> None:
        self.settings = settings
        self.store = store
        self.members = members
        self.own = Ownership(settings.control_address, 0, frozenset())
        self.joined_at = float('-inf')
        self.on_change: list[Callable[[], None]] = [members.send_now]
        self._leases = PartitionLeases(lambda: self.settings.bounds.lease_s)
        self._prompting_generation = 0
        self._join_times = JoinTimes()
        self._era = 0
        self._era_changed_at = float('-inf')
        self._is_suspended = False
        self._has_left = False
        self._closed = threading.Event()
        self._wake = threading.Event()
        self._thread = threading.Thread(target=self._run, name='homes', daemon=True)
        members.on_heartbeat.append(self._record_heartbeat)

    def __enter__(self) -> Self:
        """Join the group."""
        self._thread.start()
        return self

    def __exit__(self, *exc_info: object) -> None:
        """Stop joining; the membership's lease expires unless `leave` was called."""
        self._closed.set()
        self._wake.set()

    def join(self) -> None:
        """Join the group once and take over what it assigns."""
        requested_at = _clock.now()
        self._has_left = False
        membership = self.store.join(
            _GROUP, self.own.member, self.own.generation, _MEMBERSHIP_LEASE_S
        )
        if self._closed.is_set():
            return
        self.joined_at = requested_at
        ownership = Ownership(
            self.own.member, membership.generation, membership.partitions
        )
        # A restored store may assign a partition again whose holder it has forgotten.
        is_same_era = membership.era == self._era or not self.own.generation
        if not is_same_era:
            self._era_changed_at = requested_at
        self._era = membership.era
        self._set_ownership(ownership)

    def suspend(self, is_suspended: bool) -> None:
        """Leave the group while this daemon can't order engines, or join it again.

        The partitions are kept until a heartbeat names their next owner: nobody takes them
        over if no other daemon is in the group.
        """
        if is_suspended == self._is_suspended:
            return
        self._is_suspended = is_suspended
        extra = {**_extra(), 'is_suspended': is_suspended}
        _logger.warning('ownership of engines suspended or resumed', extra=extra)
        self._wake.set()

    def leave(self) -> None:
        """Leave the group, so that other daemons take over the partitions.

        If engines refuse older fencing numbers, this daemon keeps its partitions until
        a heartbeat names their next owner.
        """
        self._closed.set()
        self._wake.set()
        try:
            self._leave_group()
        except PimentohoistError as error:
            _logger.warning('group not left', extra=_extra(str(error)))

    def owner_address(self, endpoint_id: str) -> str | None:
        """Return the address of an engine's owner; None if no owner is known."""
        partition = partition_of(endpoint_id, self.settings.partitions)
        claims = [heartbeat.ownership() for heartbeat in self.members.live()]
        owner = owner_of(partition, (self.own, *claims))
        return None if owner is None else owner.member

    def owners_of(self, endpoint_ids: Iterable[str]) -> set[str]:
        """Return the daemons that own some of the endpoints."""
        owners = (self.owner_address(endpoint_id) for endpoint_id in endpoint_ids)
        return {owner for owner in owners if owner is not None}

    def is_owner(self, endpoint_id: str) -> bool:
        """Return whether this daemon owns an engine."""
        return self.owner_address(endpoint_id) == self.own.member

    def may_order(self, endpoint_id: str) -> bool:
        """Return whether this daemon may order an engine now."""
        lease = self._leases.of(partition_of(endpoint_id, self.settings.partitions))
        now = _clock.now()
        is_joined = now - self.joined_at < _MEMBERSHIP_LEASE_S
        if not self.settings.engines_check_fences and not is_joined:
            return False
        return self.is_owner(endpoint_id) and lease.may_order(now)

    def record_order(self, endpoint_id: str) -> None:
        """Record that this daemon has ordered an engine."""
        partition = partition_of(endpoint_id, self.settings.partitions)
        self._leases.of(partition).record_order(_clock.now())

    def dump(self) -> Mapping[str, Any]:
        """Return the partitions held and their generation."""
        return {
            'generation': self.own.generation,
            'partitions': sorted(self.own.partitions),
        }

    def _run(self) -> None:
        is_failing = False
        while not self._closed.is_set():
            generation = self.own.generation
            is_failing = not self._renew(is_failing=is_failing)
            is_changed = self.own.generation != generation
            self._join_times.record_join(_clock.now(), is_changed=is_changed)
            self._wait_for_join()

    def _wait_for_join(self) -> None:
        """Wait until the next join is due, or another daemon has a later generation."""
        times = self._join_times
        claims = (heartbeat.ownership() for heartbeat in self.members.live())
        claimed = self.own.partitions.union(*(claim.partitions for claim in claims))
        has_unclaimed = len(claimed) < self.settings.partitions
        next_at = times.next_join_at(has_unclaimed=has_unclaimed)
        if self._wake.wait(max(0, next_at - _clock.now())):
            self._closed.wait(max(0, times.prompted_join_at() - _clock.now()))
        self._wake.clear()

    def _renew(self, *, is_failing: bool) -> bool:
        """Join the group, or leave it while suspended; return whether that succeeded."""
        try:
            self._leave_group() if self._is_suspended else self.join()
        except PimentohoistError as error:
            if not is_failing:
                _logger.warning('group not joined', extra=_extra(str(error)))
            return False
        except Exception:
            _logger.exception('joining the group failed', extra=_extra())
            return not is_failing
        return True

    def _leave_group(self) -> None:
        """Leave the group, unless it was left; raises PimentohoistError."""
        if self._has_left:
            return
        if not self.settings.engines_check_fences:
            # Engines would obey this daemon beside the next owner.
            self._set_ownership(
                Ownership(self.own.member, self.own.generation, frozenset())
            )
        self.store.leave(_GROUP, self.own.member)
        self._has_left = True

    def _record_heartbeat(self, heartbeat: Heartbeat, before: Heartbeat | None) -> None:
        """Join at once if another daemon has a later generation."""
        if heartbeat.generation > max(self.own.generation, self._prompting_generation):
            self._prompting_generation = heartbeat.generation
            self._wake.set()

    def _set_ownership(self, ownership: Ownership) -> None:
        before, self.own = self.own, ownership
        if before.partitions == ownership.partitions:
            if before.generation != ownership.generation:
                self.members.send_now()
            return
        now = _clock.now()
        # Fences keep the former holder's orders out; other engines would obey both.
        is_released = (
            self.settings.engines_check_fences
            or now - self._era_changed_at > self.settings.bounds.lease_s
        )
        for partition in ownership.partitions - before.partitions:
            self._leases.of(partition).gain(now, is_released=is_released)
        for lost in before.partitions - ownership.partitions:
            self._leases.of(lost).lose()
        extra = {
            **_extra(),
            'generation': ownership.generation,
            'partitions': sorted(ownership.partitions),
            'before': sorted(before.partitions),
        }
        _logger.info('partitions held', extra=extra)
        for listener in self.on_change:
            listener()


def _extra(cause: str = '') -> dict[str, object]:
    extra: dict[str, object] = {'step': 'homes'}
    return {**extra, 'cause': cause} if cause else extra
