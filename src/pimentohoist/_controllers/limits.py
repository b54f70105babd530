"""Charges requests to workspaces' limits, using grants taken in advance."""

from __future__ import annotations

import logging
import secrets
import threading
import time
from collections import deque
from collections.abc import Callable, Mapping
from concurrent.futures import ThreadPoolExecutor, wait
from dataclasses import dataclass, field
from typing import Any, Self

from pimentohoist._controllers.configuration import ConfigurationController
from pimentohoist._controllers.exit_prober import ExitProber
from pimentohoist._controllers.owned_shares import OwnedShares
from pimentohoist._controllers.share_messages import ShareService
from pimentohoist._controllers.share_client import CALL_TIMEOUT_S, ShareClient
from pimentohoist._controllers.view import ViewController
from pimentohoist._decisions.grants import (
    Charge,
    Demand,
    GrantPool,
    split_need,
)
from pimentohoist._decisions.shares import SHARES_PER_WORKSPACE, GrantOrder
from pimentohoist._decisions.ownership_terms import ShareId
from pimentohoist.configuration import Workspace
from pimentohoist.exceptions import (
    LimitExceededError,
    PeerRefusedError,
    UnavailableError,
)
from pimentohoist.protocols import Clock, Peers

_STEP = 'limits'
_TICK_S = 0.1
_REFUSAL_CACHE_S = 0.05
_MIN_RETRY_AFTER_S = 0.1
_MAX_ORDERS_S = 0.6
"""Time in which a charge may send orders. With the timeout of the last one and the time
to read and answer the request, a refusal arrives within a second."""

_FLOOD_WINDOW_S = 5.0
_MAX_WAITING_REQUESTS = 4
_MAX_GRANT_ORDERS = 40
_CALL_THREADS = 16
_GRANT_ID_BYTES = 8
_logger = logging.getLogger(__name__)


@dataclass(slots=True)
class _Account:
    """State of one workspace's limit at this daemon.

    Attributes
    ----------
    refusing_until : float
        Time up to which requests of `refused_tokens` or more are refused without a call
        to the owners, since their shares had too few tokens at the last refusal.
    has_unanswered_share : bool
        Whether a share didn't answer the last grant orders: its term had not begun at its
        owner, the owner was silent, or the reply was lost.
    refused_at : float
        Time of the last refusal.
    wait_permits : Semaphore
        Bounds the requests that wait for such a share, so that a workspace at several
        times its rate doesn't delay the others.
    """

    pool: GrantPool = field(default_factory=GrantPool)
    demand: Demand = field(default_factory=Demand)
    refusing_until: float = 0
    refused_tokens: int = 0
    rotation: int = 0
    has_unanswered_share: bool = False
    refused_at: float = float('-inf')
    wait_permits: threading.Semaphore = field(
        default_factory=lambda: threading.Semaphore(_MAX_WAITING_REQUESTS)
    )

    def is_refusing(self, tokens: int, now: float) -> bool:
        """Return whether at most this many tokens were refused a moment ago."""
        return tokens >= self.refused_tokens and now < self.refusing_until

    def may_wait(self, now: float) -> bool:
        """Return whether a refusal may be wrong and no other one was recent."""
        return self.has_unanswered_share and now - self.refused_at > _FLOOD_WINDOW_S


class LimitsController:
    """Admits requests within their workspaces' limits.

    Attributes
    ----------
    owned_shares : OwnedShares
        The shares that this daemon owns.
    """

    def __init__(
        self,
        view: ViewController,
        configuration: ConfigurationController,
        peers: Peers,
        exit_prober: ExitProber,
        clock: Clock = time.monotonic,
    ) -> None:
        self.clock = clock
        self.owned_shares = OwnedShares(view, configuration, exit_prober, clock)
        self.share_client = ShareClient(self.owned_shares, peers)
        self.accounts: dict[str, _Account] = {}
        self.refusals = 0
        self._lock = threading.RLock()
        self._pool = ThreadPoolExecutor(_CALL_THREADS, thread_name_prefix='limits')
        self._closed = threading.Event()
        self._thread = threading.Thread(target=self._run, name='limits', daemon=True)

    def __enter__(self) -> Self:
        """Start the thread that reports uses and takes grants in advance."""
        self._thread.start()
        return self

    def __exit__(self, *exc_info: object) -> None:
        """Return all grants, hand the owned shares over, and stop."""
        self._closed.set()
        self._thread.join()
        with self._lock:
            for account in self.accounts.values():
                account.pool.close_all()
        for workspace in tuple(self.accounts):
            self._report(workspace)
        self.share_client.hand_over_all()
        self._pool.shutdown(wait=False, cancel_futures=True)

    def charge(self, workspace: Workspace, tokens: int) -> tuple[Charge, ...]:
        """Charge a request's tokens.

        Raises
        ------
        LimitExceededError
            The shares refuse it, which is raised at once, or a share still hasn't answered
            after a short wait.
        """
        if tokens > workspace.burst_tokens:
            self.refusals += 1
            raise LimitExceededError(
                f'the request costs {tokens} tokens, more than the burst of '
                f'{workspace.burst_tokens} tokens of workspace {workspace.name}',
                step=_STEP,
            )
        account = self._account(workspace.name)
        orders_until = self.clock() + _MAX_ORDERS_S
        with self._lock:
            account.demand.add(tokens, self.clock())
            charges = account.pool.charge(tokens, self.clock())
        if charges is None and not account.is_refusing(tokens, self.clock()):
            charges = self._take_and_charge(workspace.name, tokens, orders_until)
        if charges is None and account.may_wait(self.clock()):
            charges = self._wait_for_shares(workspace.name, tokens, orders_until)
        if charges is None:
            self._refuse(workspace, account, tokens)
        return charges or ()

    def settle(self, workspace: str, charges: tuple[Charge, ...], unused: int) -> None:
        """Refund the tokens that a request didn't use."""
        with self._lock:
            self._account(workspace).pool.settle(charges, unused)

    def peer_methods(self) -> Mapping[str, Callable[[Any], Any]]:
        """Return the handlers of peer calls by method."""
        return ShareService(self.owned_shares).peer_methods()

    def dump(self) -> Mapping[str, Any]:
        """Return the owned shares, and by workspace the tokens granted to this daemon."""
        now = self.clock()
        with self._lock:
            held = {
                workspace: {
                    'available_tokens': account.pool.available(now),
                    'grants': len(account.pool.grants),
                    'demand_tokens_per_s': round(account.demand.rate(now), 1),
                }
                for workspace, account in self.accounts.items()
            }
        return {
            'shares': self.owned_shares.dump(),
            'held': held,
            'refusals': self.refusals,
            'failed_calls': self.share_client.failures,
        }

    def _account(self, workspace: str) -> _Account:
        with self._lock:
            return self.accounts.setdefault(workspace, _Account())

    def _refuse(self, workspace: Workspace, account: _Account, tokens: int) -> None:
        now = self.clock()
        with self._lock:
            self.refusals += 1
            account.refused_at = now
            missing = tokens - account.pool.available(now)
            if now >= account.refusing_until:
                account.refusing_until = now + _REFUSAL_CACHE_S
                account.refused_tokens = tokens
        raise LimitExceededError(
            f'workspace {workspace.name} exceeds its rate and burst',
            step=_STEP,
            retry_after_s=_retry_after_s(workspace, missing),
        )

    def _take_and_charge(
        self, workspace: str, tokens: int, orders_until: float
    ) -> tuple[Charge, ...] | None:
        account = self._account(workspace)
        with self._lock:
            account.rotation += 1
            account.has_unanswered_share = False
            missing = tokens - account.pool.available(self.clock())
            needs = split_need(max(0, missing), account.rotation)
        orders = tuple(GrantOrder(_new_grant_id(), need) for need in needs)
        self._take_from_all(workspace, orders, orders_until)
        # Other requests may charge what was granted for this one, so a share that granted
        # the whole need is asked again.
        shares = deque(range(SHARES_PER_WORKSPACE))
        for _ in range(_MAX_GRANT_ORDERS):
            with self._lock:
                charges = account.pool.charge(tokens, self.clock())
                missing = tokens - account.pool.available(self.clock())
            if charges is not None or not shares:
                return charges
            if self.clock() > orders_until:
                account.has_unanswered_share = True
                break
            order = GrantOrder(_new_grant_id(), max(1, missing))
            share = shares.popleft()
            if self._take_from(ShareId(workspace, share), order) >= order.need_tokens:
                shares.append(share)
        return None

    def _wait_for_shares(
        self, workspace: str, tokens: int, orders_until: float
    ) -> tuple[Charge, ...] | None:
        """Retry for a short time, since a share that didn't answer may have tokens."""
        account = self._account(workspace)
        if not account.wait_permits.acquire(blocking=False):
            return None
        charges: tuple[Charge, ...] | None = None
        try:
            while charges is None and account.has_unanswered_share:
                is_late = self.clock() + _TICK_S > orders_until
                if is_late or self._closed.wait(_TICK_S):
                    break
                charges = self._take_and_charge(workspace, tokens, orders_until)
        finally:
            account.wait_permits.release()
        return charges

    def _take_from_all(
        self, workspace: str, orders: tuple[GrantOrder, ...], orders_until: float
    ) -> None:
        """Send the orders to all shares in parallel."""
        futures = [
            self._pool.submit(self._take_from, ShareId(workspace, share), order)
            for share, order in enumerate(orders)
            if order.need_tokens or order.extra_tokens
        ]
        timeout_s = max(0, orders_until + CALL_TIMEOUT_S - self.clock())
        done, pending = wait(futures, timeout_s)
        for future in pending:
            # One that waits for a thread isn't sent; the grant of one that was is used.
            future.cancel()
            self._account(workspace).has_unanswered_share = True
        for future in done:
            future.result()

    def _take_from(self, share_id: ShareId, order: GrantOrder) -> int:
        account = self._account(share_id.workspace)
        pool = account.pool
        owner = self.share_client.owner(share_id)
        if owner is None:
            account.has_unanswered_share = True
            return 0
        with self._lock:
            uses = pool.take_uses(owner)
        sent_at = self.clock()
        try:
            grant = self.share_client.take(share_id, owner, order, uses)
        except (UnavailableError, PeerRefusedError):
            account.has_unanswered_share = True
            return 0
        with self._lock:
            now = self.clock()
            if grant is None:
                account.has_unanswered_share = True
                pool.add_unconfirmed(order.grant_id, owner, now)
                return 0
            pool.confirm(uses, now)
            if grant.tokens:
                pool.add(grant, owner, sent_at, now)
        return grant.tokens

    def _run(self) -> None:
        while not self._closed.wait(_TICK_S):
            try:
                self._tick()
            except Exception:
                _logger.exception('update of limits failed', extra={'step': _STEP})

    def _tick(self) -> None:
        self.owned_shares.update_workspaces()
        for share_id in self.owned_shares.share_ids():
            self.share_client.pull(share_id)
        for workspace in tuple(self.accounts):
            # Grant orders carry uses along, so only the remaining ones are reported here.
            self._take_in_advance(workspace)
            self._report(workspace)

    def _report(self, workspace: str) -> None:
        pool = self._account(workspace).pool
        with self._lock:
            now = self.clock()
            pool.close_idle(now)
            pool.forget_old(now)
            reports = {owner: pool.take_uses(owner) for owner in pool.owners(now)}
        for owner, uses in reports.items():
            if self.share_client.report(ShareId(workspace, owner.share), owner, uses):
                with self._lock:
                    pool.confirm(uses, self.clock())

    def _take_in_advance(self, workspace: str) -> None:
        account = self._account(workspace)
        with self._lock:
            now = self.clock()
            wanted = account.demand.wanted(now, account.pool)
            account.rotation += 1
            extras = split_need(wanted, account.rotation)
        if wanted:
            orders = (GrantOrder(_new_grant_id(), 0, extra) for extra in extras)
            self._take_from_all(workspace, tuple(orders), now + _MAX_ORDERS_S)


def _new_grant_id() -> str:
    return secrets.token_hex(_GRANT_ID_BYTES)


def _retry_after_s(workspace: Workspace, missing: int) -> float | None:
    if not workspace.rate_tokens_per_s:
        return None
    return max(_MIN_RETRY_AFTER_S, missing / workspace.rate_tokens_per_s)
