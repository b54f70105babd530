"""The list of daemons' addresses in the store, by which new daemons find the others."""

from __future__ import annotations

import json
import logging
import threading
from collections.abc import Callable
from typing import Self

from pimentohoist import _clock
from pimentohoist._addresses import split_address
from pimentohoist._entry.topic_follower import apply_each
from pimentohoist.exceptions import PimentohoistError
from pimentohoist.platform import MEMBER_RECORDS, KeyedRecord, Store

_READ_INTERVAL_S = 30.0
_READ_INTERVAL_PER_DAEMON_S = 1.5
"""Large fleets read together every 1.5 s. Each daemon publishes its address before it reads
the list: of two that start at once, at least one finds the other and tells it by heartbeat."""

_MIN_READ_INTERVAL_S = 1.0
_NOT_PUBLISHED = -1

_MALFORMED = (ValueError, TypeError, KeyError, AttributeError)

_logger = logging.getLogger(__name__)


class MemberList:
    """Implements `Controller`: publishes this daemon's address and reads the others'.

    Parameters
    ----------
    name : str
        Key of this daemon's record.
    address : str
        This daemon's address for other daemons.
    is_alone : callable
        Returns whether no heartbeat has been received; then the list is read more often.

    Attributes
    ----------
    domains : dict of str to str
        Failure domain of each daemon by its address; empty if its record names none.
    link_mbps : dict of str to float
        Speed of each daemon's link in Mbit/s by its address; 0 if its record names none.
    confirmed_at : dict of str to float
        When each daemon's address was last confirmed, on this daemon's clock.
    """

    def __init__(
        self,
        store: Store,
        name: str,
        address: str,
        failure_domain: str,
        is_alone: Callable[[], bool],
        own_link_mbps: float = 0,
    ) -> None:
        self.store = store
        self.name = name
        self.address = address
        self.failure_domain = failure_domain
        self.domains: dict[str, str] = {}
        self.own_link_mbps = own_link_mbps
        self.link_mbps: dict[str, float] = {}
        self.is_alone = is_alone
        self.confirmed_at: dict[str, float] = {}
        self._published_era = _NOT_PUBLISHED
        self._closed = threading.Event()
        self._thread = threading.Thread(target=self._run, name='list', daemon=True)

    def __enter__(self) -> Self:
        """Start publishing and reading."""
        self._thread.start()
        return self

    def __exit__(self, *exc_info: object) -> None:
        """Stop after the current call."""
        self._closed.set()

    def read_interval_s(self) -> float:
        """Return the seconds between two reads of a daemon that hears of others."""
        by_size_s = _READ_INTERVAL_PER_DAEMON_S * len(self.confirmed_at)
        return max(_READ_INTERVAL_S, by_size_s)

    def _run(self) -> None:
        while not self._closed.is_set():
            try:
                self._publish_and_read()
            except PimentohoistError as error:
                extra = {'step': 'members', 'cause': str(error)}
                _logger.info('members not read', extra=extra)
            self._wait(_clock.now())

    def _publish_and_read(self) -> None:
        if self._must_publish():
            entry = {
                'at': self.address,
                'domain': self.failure_domain,
                'link_mbps': self.own_link_mbps,
            }
            self._published_era = self.store.put(MEMBER_RECORDS, self.name, entry)
        records, _ = self.store.read_newest(MEMBER_RECORDS)
        apply_each(records, MEMBER_RECORDS, self._record_address)

    def _must_publish(self) -> bool:
        """Return whether the store may lack the record, as it does after a restore."""
        return self._published_era != self.store.era.current

    def _record_address(self, record: KeyedRecord) -> None:
        try:
            address, domain, link_mbps = _decode_member(record.body or b'')
        except _MALFORMED as error:
            extra = {'step': 'members', 'key': record.key, 'cause': repr(error)}
            _logger.warning('member record rejected', extra=extra)
            return
        self.domains[address] = domain
        self.link_mbps[address] = link_mbps
        self.confirmed_at.setdefault(address, _clock.now())

    def _wait(self, read_at: float) -> None:
        """Wait until the list is to be read, or the record published, again."""
        while not self._closed.wait(_MIN_READ_INTERVAL_S):
            is_due = _clock.now() - read_at > self.read_interval_s()
            if is_due or self.is_alone() or self._must_publish():
                return


def _decode_member(text: bytes) -> tuple[str, str, float]:
    """Return a daemon's address, failure domain and link; earlier builds lack the last."""
    entry = json.loads(text)
    address = entry['at']
    split_address(address)
    return address, str(entry.get('domain', '')), float(entry.get('link_mbps', 0))
