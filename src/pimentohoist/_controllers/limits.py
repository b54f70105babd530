"""Charges requests to workspaces' limits, with grants taken in advance of need."""

from __future__ import annotations

import logging
import secrets
import threading
import time
from collections import deque
from collections.abc import Callable, Mapping
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field
from typing import Any, Self

from pimentohoist._controllers.configuration import ConfigurationController
from pimentohoist._controllers.exit_prober import ExitProber
from pimentohoist._controllers.owned_shares import OwnedShares
from pimentohoist._controllers.share_messages import ShareAnswers
from pimentohoist._controllers.share_takers import ShareTaker
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
_REFUSING_S = 0.05
_MIN_RETRY_S = 0.1
_MAX_WAIT_S = 0.8
_FLOOD_MEMORY_S = 5.0
_MAX_WAITING = 4
_MAX_ORDERS = 40
_THREADS = 16
_ID_BYTES = 8
_logger = logging.getLogger(__name__)


@dataclass(slots=True)
class _Account:
    """What this daemon holds for one workspace.

    Attributes
    ----------
    refusing_until : float
        Time up to which requests of `refused_tokens` or more are refused without asking
        the homes, which had not enough a moment ago.
    has_missed_share : bool
        Whether a share gave no answer when the shares were last asked: it had not begun at
        its home, the home was silent, or the reply was lost.
    refused_at : float
        Time of the last refusal.
    places_to_wait : Semaphore
        Bounds the requests that wait for such a share, so that a workspace at several
        times its rate doesn't hold up the others.
    """

    pool: GrantPool = field(default_factory=GrantPool)
    demand: Demand = field(default_factory=Demand)
    refusing_until: float = 0
    refused_tokens: int = 0
    rotation: int = 0
    has_missed_share: bool = False
    refused_at: float = float('-inf')
    places_to_wait: threading.Semaphore = field(
        default_factory=lambda: threading.Semaphore(_MAX_WAITING)
    )

    def is_refusing(self, tokens: int, now: float) -> bool:
        """Return whether so many tokens were refused a moment ago."""
        return tokens >= self.refused_tokens and now < self.refusing_until

    def may_wait(self, now: float) -> bool:
        """Return whether a refusal may be wrong and is not one of many."""
        return self.has_missed_share and now - self.refused_at > _FLOOD_MEMORY_S


class LimitsController:
    """Admits requests within their workspaces' limits.

    Attributes
    ----------
    owners : OwnedShares
        The shares at home here.
    """

    def __init__(
        self,
        view: ViewController,
        configuration: ConfigurationController,
        peers: Peers,
        proofs: ExitProber,
        clock: Clock = time.monotonic,
    ) -> None:
        self.clock = clock
        self.owners = OwnedShares(view, configuration, proofs, clock)
        self.taker = ShareTaker(self.owners, peers)
        self.accounts: dict[str, _Account] = {}
        self.refusals = 0
        self._lock = threading.RLock()
        self._pool = ThreadPoolExecutor(_THREADS, thread_name_prefix='limits')
        self._closed = threading.Event()
        self._thread = threading.Thread(target=self._run, name='limits', daemon=True)

    def __enter__(self) -> Self:
        """Start reporting and taking in advance."""
        self._thread.start()
        return self

    def __exit__(self, *exc_info: object) -> None:
        """Give everything back, pass the shares on, and stop."""
        self._closed.set()
        self._thread.join()
        with self._lock:
            for account in self.accounts.values():
                account.pool.close_all()
        for workspace in tuple(self.accounts):
            self._report(workspace)
        self.taker.hand_over_all()
        self._pool.shutdown(wait=False, cancel_futures=True)

    def charge(self, workspace: Workspace, tokens: int) -> tuple[Charge, ...]:
        """Charge a request's tokens.

        Raises
        ------
        LimitExceededError
            The shares refuse it, which is said at once, or one of them still has no answer
            after a short wait.
        """
        if tokens > workspace.burst_tokens:
            self.refusals += 1
            raise LimitExceededError(
                f'the request needs {tokens} tokens, which is more than the burst of '
                f'{workspace.burst_tokens} that workspace {workspace.name} may have',
                step=_STEP,
            )
        account = self._account(workspace.name)
        with self._lock:
            account.demand.add(tokens, self.clock())
            charges = account.pool.charge(tokens, self.clock())
        if charges is None and not account.is_refusing(tokens, self.clock()):
            charges = self._take_and_charge(workspace.name, account, tokens)
        if charges is None and account.may_wait(self.clock()):
            charges = self._wait_for_shares(workspace.name, account, tokens)
        if charges is None:
            self._refuse(workspace, account, tokens)
        return charges or ()

    def settle(self, workspace: str, charges: tuple[Charge, ...], unused: int) -> None:
        """Give back what a request didn't use."""
        with self._lock:
            self._account(workspace).pool.settle(charges, unused)

    def peer_methods(self) -> Mapping[str, Callable[[Any], Any]]:
        """Return the functions that answer other daemons."""
        return ShareAnswers(self.owners).peer_methods()

    def dump(self) -> Mapping[str, Any]:
        """Return shares at home here, and by workspace the tokens held for it."""
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
            'shares': self.owners.dump(),
            'held': held,
            'refusals': self.refusals,
            'failed_calls': self.taker.failures,
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
                account.refusing_until = now + _REFUSING_S
                account.refused_tokens = tokens
        raise LimitExceededError(
            f'workspace {workspace.name} is over its rate and burst',
            step=_STEP,
            retry_after_s=_retry_after_s(workspace, missing),
        )

    def _take_and_charge(
        self, workspace: str, account: _Account, tokens: int
    ) -> tuple[Charge, ...] | None:
        with self._lock:
            account.rotation += 1
            account.has_missed_share = False
            missing = tokens - account.pool.available(self.clock())
            needs = split_need(max(0, missing), account.rotation)
        self._take(workspace, tuple(GrantOrder(_new_id(), need) for need in needs))
        # Others may charge what was granted for this request, so a share that gives all
        # that it is asked for is asked again.
        shares = deque(range(SHARES_PER_WORKSPACE))
        for _ in range(_MAX_ORDERS):
            with self._lock:
                charges = account.pool.charge(tokens, self.clock())
                missing = tokens - account.pool.available(self.clock())
            if charges is not None or not shares:
                return charges
            order = GrantOrder(_new_id(), max(1, missing))
            share = shares.popleft()
            if self._take_from(ShareId(workspace, share), order) >= order.need_tokens:
                shares.append(share)
        return None

    def _wait_for_shares(
        self, workspace: str, account: _Account, tokens: int
    ) -> tuple[Charge, ...] | None:
        """Ask again for a short time, since the share without an answer may have tokens."""
        if not account.places_to_wait.acquire(blocking=False):
            return None
        try:
            return self._ask_until_answered(workspace, account, tokens)
        finally:
            account.places_to_wait.release()

    def _ask_until_answered(
        self, workspace: str, account: _Account, tokens: int
    ) -> tuple[Charge, ...] | None:
        deadline = self.clock() + _MAX_WAIT_S
        charges: tuple[Charge, ...] | None = None
        while charges is None and account.has_missed_share:
            is_closed = self._closed.wait(_TICK_S)
            if is_closed or self.clock() >= deadline:
                break
            charges = self._take_and_charge(workspace, account, tokens)
        return charges

    def _take(self, workspace: str, orders: tuple[GrantOrder, ...]) -> None:
        """Ask all shares at the same time."""
        futures = [
            self._pool.submit(self._take_from, ShareId(workspace, share), order)
            for share, order in enumerate(orders)
            if order.need_tokens or order.extra_tokens
        ]
        for future in futures:
            future.result()

    def _take_from(self, name: ShareId, order: GrantOrder) -> int:
        account = self._account(name.workspace)
        pool = account.pool
        owner = self.taker.owner(name)
        if owner is None:
            account.has_missed_share = True
            return 0
        with self._lock:
            uses = pool.take_uses(owner)
        asked_at = self.clock()
        try:
            grant = self.taker.take(name, owner, order, uses)
        except (UnavailableError, PeerRefusedError):
            account.has_missed_share = True
            return 0
        with self._lock:
            now = self.clock()
            if grant is None:
                account.has_missed_share = True
                pool.add_lost(order.grant_id, owner, now)
                return 0
            pool.confirm(uses, now)
            if grant.tokens:
                pool.add(grant, owner, asked_at, now)
        return grant.tokens

    def _run(self) -> None:
        while not self._closed.wait(_TICK_S):
            try:
                self._tick()
            except Exception:
                _logger.exception('limits not kept', extra={'step': _STEP})

    def _tick(self) -> None:
        self.owners.watch()
        for name in self.owners.names():
            self.taker.pull(name)
        for workspace in tuple(self.accounts):
            # Calls for grants carry reports along: what is left is reported after them.
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
            if self.taker.report(ShareId(workspace, owner.share), owner, uses):
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
            orders = (GrantOrder(_new_id(), 0, extra) for extra in extras)
            self._take(workspace, tuple(orders))


def _new_id() -> str:
    return secrets.token_hex(_ID_BYTES)


def _retry_after_s(workspace: Workspace, missing: int) -> float | None:
    if not workspace.rate_tokens_per_s:
        return None
    return max(_MIN_RETRY_S, missing / workspace.rate_tokens_per_s)
