"""The software versions of each group's engines that have served lately."""

from __future__ import annotations

import threading
from collections import defaultdict
from collections.abc import Mapping

from pimentohoist import _clock
from pimentohoist._decisions.version_history import VERSION_KEPT_S
from pimentohoist._entry.endpoints import EndpointsController
from pimentohoist._entry.heartbeat import Heartbeat
from pimentohoist._entry.members import MembersController
from pimentohoist._entry.stream_log import StreamLog

_RECORD_INTERVAL_S = 5.0
"""The store may keep records for 20 s only."""

_RANK_DELAY_S = 0.5
"""The daemons record the versions in turn: one is enough unless it can't reach the store."""

_MAX_VERSIONS = 8


class ServiceVersions:
    """Tracks the versions in service, and records them in the store.

    All daemons may be lost at once; those that start then read from the store which
    versions have served.
    """

    def __init__(
        self,
        endpoints: EndpointsController,
        members: MembersController,
        stream_log: StreamLog,
    ) -> None:
        self.endpoints = endpoints
        self.members = members
        self.stream_log = stream_log
        self._seen_at: defaultdict[str, dict[str, float]] = defaultdict(dict)
        self._recorded_by_others_at = float('-inf')
        self._is_history_read = False
        self._lock = threading.Lock()
        stream_log.version_ages = self.ages

    def of_group(self, group: str) -> set[str]:
        """Return the versions of a group's engines, those lately gone included."""
        return set(self.ages().get(group, ()))

    def ages(self) -> dict[str, dict[str, float]]:
        """Return the seconds since each version was last seen, by group."""
        now = _clock.now()
        with self._lock:
            for endpoint in self.endpoints.alive():
                self._seen_at[endpoint.group][endpoint.software_version] = now
            for known in tuple(self._seen_at):
                self._drop_old(known, now)
            return {
                group: {
                    version: max(0, round(now - at, 3))
                    for version, at in seen_at.items()
                }
                for group, seen_at in self._seen_at.items()
            }

    def announced(self) -> dict[str, list[str]]:
        """Return the versions in service of groups with several, for heartbeats."""
        versions: dict[str, set[str]] = {}
        for endpoint in self.endpoints.alive():
            versions.setdefault(endpoint.group, set()).add(endpoint.software_version)
        return {
            group: sorted(found)[:_MAX_VERSIONS]
            for group, found in versions.items()
            if len(found) > 1
        }

    def recorded_age_s(self) -> float | None:
        """Return the seconds since this daemon recorded the versions, for heartbeats."""
        appended = self.stream_log.appended
        if appended.era != self.stream_log.store.era.current:
            return None
        return round(_clock.now() - appended.at, 3)

    def record_heartbeat(self, heartbeat: Heartbeat) -> bool:
        """Record what another daemon has seen; return whether that was unknown here."""
        now = _clock.now()
        is_new = False
        with self._lock:
            for group, versions in heartbeat.software_versions.items():
                seen_at = self._seen_at[group]
                is_new |= not seen_at.keys() >= set(versions)
                seen_at.update(dict.fromkeys(versions, now))
            age_s = heartbeat.versions_recorded_age_s
            if age_s is not None:
                recorded_at = max(self._recorded_by_others_at, now - age_s)
                self._recorded_by_others_at = recorded_at
        return is_new

    def read_history(self) -> None:
        """Take over what the daemons before this start of the fleet have seen."""
        if self._is_history_read:
            return
        history = self.stream_log.read()
        if history is None:
            return
        self._is_history_read = True
        now = _clock.now()
        departed = history.versions.departed(self.live_incarnations(), now)
        with self._lock:
            for group, ages in departed.items():
                _update_newest(self._seen_at[group], now, ages)

    def record_due(self) -> None:
        """Append the versions in service to the store, if they aren't in it."""
        ages = self.ages()
        seen = {(group, version) for group in ages for version in ages[group]}
        appended = self.stream_log.appended
        is_known = appended.era == self.stream_log.store.era.current
        if seen and not (is_known and appended.versions >= seen and self._is_recent()):
            self.stream_log.append_versions()

    def live_incarnations(self) -> frozenset[str]:
        """Return the daemons that are live, this one included."""
        others = (heartbeat.incarnation for heartbeat in self.members.live())
        return frozenset((self.members.incarnation, *others))

    def _drop_old(self, group: str, now: float) -> None:
        recent = {
            version: at
            for version, at in self._seen_at.pop(group).items()
            if at >= now - VERSION_KEPT_S
        }
        if recent:
            self._seen_at[group] = recent

    def _is_recent(self) -> bool:
        """Return whether some daemon has recorded versions lately."""
        recorded_at = max(self.stream_log.appended.at, self._recorded_by_others_at)
        names = [heartbeat.member for heartbeat in self.members.live()]
        rank = sum(name < self.members.member for name in names)
        interval_s = _RECORD_INTERVAL_S + rank * _RANK_DELAY_S
        return _clock.now() < recorded_at + interval_s


def _update_newest(
    seen_at: dict[str, float], now: float, ages: Mapping[str, float]
) -> None:
    for version, age_s in ages.items():
        seen_at[version] = max(seen_at.get(version, float('-inf')), now - age_s)
