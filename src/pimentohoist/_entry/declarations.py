"""The operators' configuration in force, and the versions of adapters."""

from __future__ import annotations

import hashlib
import logging
import math
import threading
from collections.abc import Callable, Mapping, Sequence
from typing import Any, Self

from pimentohoist import _clock
from pimentohoist._decisions.homes import Homes, Regions, directory_regions
from pimentohoist._decisions.read_freshness import max_confirmation_age_s
from pimentohoist._entry.evacuations import Evacuations
from pimentohoist._entry.hedged_follower import HedgedFollower
from pimentohoist._entry.heartbeat import Heartbeat
from pimentohoist._entry.members import MembersController
from pimentohoist._entry.topic_follower import apply_each
from pimentohoist.entry_models import AdapterKey, Declaration
from pimentohoist.exceptions import DocumentError
from pimentohoist.platform import (
    ADAPTER_VERSION_KEYS,
    DECLARATION_KEY,
    OPERATOR_RECORDS,
    DirectoryQuery,
    KeyedRecord,
    Store,
    decode_adapter_version,
    decode_declaration,
)

_DIGEST_BYTES = 6

_logger = logging.getLogger(__name__)


class DeclarationsController:
    """Implements `Controller`: keeps the newest configuration that could be read.

    It comes from the store or from another daemon; an older version never replaces a
    newer one.

    Attributes
    ----------
    current : Declaration or None
        None until the first one has been read.
    evacuations : Evacuations
        The failure domains that get no requests.
    on_version : callable
        Called with an adapter and its version when a newer one was declared.
    """

    def __init__(self, store: Store, members: MembersController) -> None:
        self.members = members
        self.current: Declaration | None = None
        self.versions: dict[AdapterKey, int] = {}
        self.evacuations = Evacuations(members)
        self.on_version: Callable[[AdapterKey, int], None] = _ignore
        self.follower = HedgedFollower(
            store, OPERATOR_RECORDS, self._max_confirmation_age_s, self._apply_records
        )
        self._lock = threading.Lock()
        self._version_texts: dict[AdapterKey, bytes] = {}
        self._versions_digest = 0
        members.on_heartbeat.append(self._record_heartbeat)

    def __enter__(self) -> Self:
        """Start following the store."""
        self.follower.__enter__()
        return self

    def __exit__(self, *exc_info: object) -> None:
        """Stop following."""
        self.follower.__exit__(*exc_info)

    @property
    def version(self) -> int:
        """Return the version in force; -1 if there is none."""
        return -1 if self.current is None else self.current.version

    def version_of(self, adapter: AdapterKey | None) -> int:
        """Return the newest version declared of an adapter; 0 if none was."""
        return 0 if adapter is None else self.versions.get(adapter, 0)

    def directory_regions(self, query: DirectoryQuery, regions: Regions) -> Homes:
        """Return the regions whose daemons a caller may be sent to; None for all."""
        routes = () if self.current is None else self.current.routes
        asked = (
            route.homes
            for route in routes
            if query.name in {route.host, route.name.lower()}
        )
        caller_region = query.region or regions.by_domain.get(query.failure_domain, '')
        return directory_regions(asked, caller_region)

    def cold_per_s(self, group: str) -> float:
        """Return the requests a second that a cold endpoint takes; 0 without a limit."""
        declared = None if self.current is None else self.current.groups.get(group)
        return 0 if declared is None else declared.cold_per_s

    @property
    def versions_digest(self) -> int:
        """Return a number that two daemons share if they know the same versions."""
        return self._versions_digest

    def texts(self) -> tuple[bytes, list[bytes]]:
        """Return the texts of the configuration and of all adapter versions."""
        current = self.current
        text = b'' if current is None else current.document
        return text, list(self._version_texts.values())

    def apply_newer(self, text: bytes, source: str) -> bool:
        """Put a configuration in force if it is newer; return whether it was."""
        try:
            declaration = decode_declaration(text)
        except DocumentError as error:
            _logger.warning('configuration rejected', extra=_extra(source, str(error)))
            return False
        with self._lock:
            if declaration.version <= self.version:
                return False
            before, self.current = self.version, declaration
        extra = {
            **_extra(source),
            'version': declaration.version,
            'before': before,
            'routes': len(declaration.routes),
            'unread_s': self.follower.status.unread_s(),
        }
        _logger.info('configuration in force', extra=extra)
        return True

    def apply_newer_version(self, text: bytes, source: str) -> bool:
        """Put an adapter's version in force if it is newer; return whether it was."""
        try:
            adapter, version = decode_adapter_version(text)
        except DocumentError as error:
            extra = _extra(source, str(error))
            _logger.warning('adapter version rejected', extra=extra)
            return False
        with self._lock:
            known = self.versions.get(adapter, 0)
            if version <= known:
                return False
            self.versions[adapter] = version
            replaced = _version_digest(adapter, known) if known else 0
            self._versions_digest ^= replaced ^ _version_digest(adapter, version)
            self._version_texts[adapter] = text
        extra = {**_extra(source), 'adapter': str(adapter), 'version': version}
        _logger.info('adapter version declared', extra=extra)
        self.on_version(adapter, version)
        return True

    def dump(self) -> Mapping[str, Any]:
        """Return the versions in force, without API keys."""
        return {
            'version': self.version,
            'adapter_versions': len(self.versions),
            'store_failures': self.follower.status.failures,
            'unread_s': self.follower.status.unread_s(),
            'unconfirmed_s': self.unconfirmed_s(),
            'evacuated': sorted(self.evacuations.domains),
        }

    def unconfirmed_s(self) -> float | None:
        """Return the age of the last confirmation that nothing newer was declared.

        None if there hasn't been one, or if newer records have been missed since.
        """
        confirmed_at = self.follower.freshness.confirmed_at
        if math.isinf(confirmed_at):
            return None
        return round(_clock.now() - confirmed_at, 3)

    def _max_confirmation_age_s(self) -> float:
        """Return the age by this daemon's rank among the live ones, by address."""
        peers = [heartbeat.member for heartbeat in self.members.live()]
        return max_confirmation_age_s(sum(peer < self.members.member for peer in peers))

    def _record_heartbeat(self, heartbeat: Heartbeat, before: Heartbeat | None) -> None:
        age_s = heartbeat.declarations_read_age_s
        known = (self.version, self.versions_digest)
        if age_s is None or (heartbeat.version, heartbeat.adapter_versions) != known:
            return
        self.follower.freshness.record_peer_answer(_clock.now() - age_s)

    def _apply_records(self, records: Sequence[KeyedRecord], is_whole: bool) -> None:
        # A daemon that serves by a configuration must know of the evacuations before.
        self.evacuations.apply_records(
            records, self.follower.position, is_whole=is_whole
        )
        apply_each(records, OPERATOR_RECORDS, self._apply_record)

    def _apply_record(self, record: KeyedRecord) -> None:
        if record.body is None:
            return
        if record.key == DECLARATION_KEY:
            self.apply_newer(record.body, 'store')
        elif record.key.startswith(ADAPTER_VERSION_KEYS):
            self.apply_newer_version(record.body, 'store')


def _version_digest(adapter: AdapterKey, version: int) -> int:
    # Digests are combined by XOR, to which a cyclic redundancy check would be linear.
    text = f'{adapter}@{version}'.encode()
    return int.from_bytes(hashlib.blake2b(text, digest_size=_DIGEST_BYTES).digest())


def _ignore(adapter: AdapterKey, version: int) -> None:
    """Do nothing with a new version."""


def _extra(source: str, cause: str = '') -> dict[str, object]:
    extra: dict[str, object] = {'step': 'configuration', 'source': source}
    return {**extra, 'cause': cause} if cause else extra
