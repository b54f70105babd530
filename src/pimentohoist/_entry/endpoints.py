"""Endpoints, from their own records in the store, and their health."""

from __future__ import annotations

import logging
import threading
from collections.abc import Callable, Mapping, Sequence
from typing import Any, Self

from pimentohoist import _clock
from pimentohoist._decisions.endpoint_health import EndpointHealth
from pimentohoist._entry.cold_endpoints import ColdEndpoints
from pimentohoist._entry.endpoint_limits import BRITTLE, EndpointLimits
from pimentohoist._entry.endpoint_notices import (
    NOTHING_READ,
    EndpointNotices,
    StoreMark,
)
from pimentohoist._entry.shared_follower import SharedFollower
from pimentohoist._entry.topic_follower import apply_each
from pimentohoist._entry.members import MembersController
from pimentohoist.entry_models import Endpoint
from pimentohoist.exceptions import DocumentError
from pimentohoist.platform import (
    ENDPOINT_RECORDS,
    KeyedRecord,
    ReadPosition,
    Store,
    decode_endpoint,
    endpoint_identity,
)

_REAPPEAR_S = 2.5
"""Records that expired in an outage of the store reappear about 2 s after its end, and so
do those that a restored store has lost."""

_MAX_REJECTED_IDS = 256

_logger = logging.getLogger(__name__)


class EndpointsController:
    """Implements `Controller`: follows the endpoints in the store and their health.

    Attributes
    ----------
    on_applied : list of callable
        Called after each read of the store, by this daemon or by one that reads for it.
    is_evacuated : callable
        Returns whether a failure domain gets no requests.
    """

    def __init__(self, store: Store, members: MembersController) -> None:
        self.members = members
        self.endpoints: dict[str, Endpoint] = {}
        self.health: dict[str, EndpointHealth] = {}
        self.notices = EndpointNotices()
        self.limits = EndpointLimits(members)
        self.brittle = EndpointLimits(members, BRITTLE)
        self.cold = ColdEndpoints(members)
        self.follower = SharedFollower(
            store,
            ENDPOINT_RECORDS,
            members,
            endpoint_identity,
            self._apply_records,
            self._notify_applied,
        )
        self.on_applied: list[Callable[[], None]] = []
        self.is_evacuated: Callable[[str], bool] = _never
        self._removed: set[str] = set()
        self._mark = NOTHING_READ
        self._era_changed_at = float('-inf')
        self._replaced_incarnations: set[str] = set()
        self._rejected: set[str] = set()
        self._lock = threading.Lock()
        members.on_heartbeat.append(
            lambda heartbeat, before: self.notices.record_heartbeat(
                heartbeat, self._listed_mark
            )
        )

    def __enter__(self) -> Self:
        """Start following the store."""
        self.follower.__enter__()
        return self

    def __exit__(self, *exc_info: object) -> None:
        """Stop following."""
        self.follower.__exit__(*exc_info)

    def usable(self, group: str) -> list[Endpoint]:
        """Return the endpoints of a group that may get new work."""
        now = _clock.now()
        usable = [
            endpoint
            for endpoint in self.alive()
            if endpoint.group == group
            and self.may_get_work(endpoint)
            and self.health_of(endpoint.endpoint_id).paused_until <= now
        ]
        responding = [
            endpoint
            for endpoint in usable
            if self.health_of(endpoint.endpoint_id).silent_until <= now
        ]
        return responding or usable

    def may_get_work(self, endpoint: Endpoint) -> bool:
        """Return whether an endpoint stays and wants requests now."""
        notices = self.notices
        if notices.is_leaving(endpoint) or notices.quiet_s(endpoint):
            return False
        return not self.is_evacuated(endpoint.failure_domain)

    def quiet_s(self, group: str) -> float:
        """Return the seconds until an endpoint of a group wants requests again.

        0 if one wants requests now, or none will.
        """
        staying = [
            endpoint
            for endpoint in self.alive()
            if endpoint.group == group
            and not self.notices.is_leaving(endpoint)
            and not self.is_evacuated(endpoint.failure_domain)
        ]
        return min((self.notices.quiet_s(endpoint) for endpoint in staying), default=0)

    def alive(self) -> list[Endpoint]:
        """Return all endpoints that still exist, leaving ones included."""
        self._drop_removed()
        return [
            endpoint
            for endpoint in tuple(self.endpoints.values())
            if endpoint.incarnation not in self._replaced_incarnations
        ]

    def health_of(self, endpoint_id: str) -> EndpointHealth:
        """Return the health of an endpoint, judged by its responses."""
        health = self.health.get(endpoint_id)
        if health is None:
            health = self.health.setdefault(endpoint_id, EndpointHealth())
        return health

    def record_silence(self, endpoint_id: str) -> None:
        """Record that an endpoint has requests in flight and sends nothing."""
        health = self.health_of(endpoint_id)
        now = _clock.now()
        if health.silent_until < now:
            extra = {'step': 'endpoints', 'endpoint': endpoint_id}
            _logger.warning('endpoint is silent', extra=extra)
        health.record_silence(now)

    def record_other_incarnation(self, endpoint: Endpoint) -> None:
        """Record that another incarnation or endpoint answers at the address."""
        self._replaced_incarnations.add(endpoint.incarnation)
        _logger.warning(
            'endpoint replaced at its address',
            extra={'step': 'endpoints', 'endpoint': endpoint.endpoint_id},
        )

    def dump(self) -> Mapping[str, Any]:
        """Return the endpoints with their groups and health."""
        now = _clock.now()
        return {
            endpoint.endpoint_id: {
                'group': endpoint.group,
                'is_leaving': self.notices.is_leaving(endpoint),
                'quiet_s': round(self.notices.quiet_s(endpoint), 3),
                'cold_s': round(self.cold.cold_s(endpoint.incarnation), 3),
                'limit_per_s': self.limits.limit_per_s(endpoint.incarnation),
                'failure_share': self.health_of(endpoint.endpoint_id).failure_share(
                    now
                ),
            }
            for endpoint in self.alive()
        }

    def _listed_mark(self, incarnation: str) -> StoreMark | None:
        """Return up to where the store was read if it had an incarnation's record there."""
        endpoint_id, _, _ = incarnation.rpartition('#')
        known = self.endpoints.get(endpoint_id)
        is_known = known is not None and known.incarnation == incarnation
        if not is_known or endpoint_id in self._removed:
            return None
        return _mark_of(self.follower.position) or self._mark

    def _apply_records(self, records: Sequence[KeyedRecord], is_whole: bool) -> None:
        if is_whole:
            listed = {record.key for record in records}
            for endpoint_id in tuple(self.endpoints):
                if endpoint_id not in listed:
                    self._record_removed(endpoint_id)
        mark = _mark_of(self.follower.position) or self._mark
        if NOTHING_READ < self._mark and self._mark.era < mark.era:
            # The store's answer to a read beyond its end doesn't look like an outage.
            self._era_changed_at = _clock.now()
        apply_each(
            records, ENDPOINT_RECORDS, lambda record: self._apply_record(record, mark)
        )
        self._mark = mark
        self._drop_removed()

    def _notify_applied(self) -> None:
        self._drop_removed()
        for listener in self.on_applied:
            listener()

    def _apply_record(self, record: KeyedRecord, mark: StoreMark) -> None:
        endpoint_id = record.key
        if record.body is None:
            self._record_removed(endpoint_id)
            return
        try:
            endpoint = decode_endpoint(endpoint_id, record.body)
        except DocumentError as error:
            self._record_rejected(endpoint_id, error)
            return
        known = self.endpoints.get(endpoint_id)
        if known is not None and endpoint.started_ms < known.started_ms:
            return
        if known is None or known.is_draining != endpoint.is_draining:
            _logger.info('endpoint seen', extra=_extra(endpoint))
        incarnation = endpoint.incarnation
        if endpoint.is_draining:
            self.notices.record_leaving(incarnation, 'store')
        elif endpoint_id in self._removed or self.notices.is_removed(incarnation):
            self.notices.record_returned(incarnation, mark, 'store')
        with self._lock:
            self._removed.discard(endpoint_id)
            # Requests must not reach a cold endpoint before this is known.
            self.cold.record_endpoint(endpoint)
            self.endpoints[endpoint_id] = endpoint

    def _record_rejected(self, endpoint_id: str, error: DocumentError) -> None:
        if endpoint_id in self._rejected or len(self._rejected) > _MAX_REJECTED_IDS:
            return
        self._rejected.add(endpoint_id)
        extra = {'step': 'endpoints', 'endpoint': endpoint_id, 'cause': str(error)}
        _logger.warning('endpoint record rejected', extra=extra)

    def _record_removed(self, endpoint_id: str) -> None:
        if endpoint_id in self.endpoints:
            with self._lock:
                self._removed.add(endpoint_id)

    def _drop_removed(self) -> None:
        """Drop removed endpoints; after an outage only if they don't reappear."""
        if not self._removed:
            return
        now = _clock.now()
        restored_at = max(self.follower.status.restored_at, self._era_changed_at)
        if self.follower.is_failing() or now < restored_at + _REAPPEAR_S:
            return
        with self._lock:
            removed, self._removed = self._removed, set()
            for endpoint_id in removed:
                endpoint = self.endpoints.pop(endpoint_id, None)
                self.health.pop(endpoint_id, None)
                if endpoint is not None:
                    self.notices.record_removed(
                        endpoint.incarnation, self._mark, 'store'
                    )
        for endpoint_id in removed:
            extra = {'step': 'endpoints', 'endpoint': endpoint_id}
            _logger.info('endpoint removed', extra=extra)


def _mark_of(position: ReadPosition | None) -> StoreMark | None:
    return None if position is None else StoreMark(position.era, position.offset)


def _never(failure_domain: str) -> bool:
    """Return that a failure domain isn't evacuated."""
    return False


def _extra(endpoint: Endpoint) -> dict[str, object]:
    return {
        'step': 'endpoints',
        'endpoint': endpoint.endpoint_id,
        'group': endpoint.group,
        'address': endpoint.address,
        'is_leaving': endpoint.is_draining,
        'software_version': endpoint.software_version,
        'started_ms': endpoint.started_ms,
    }
