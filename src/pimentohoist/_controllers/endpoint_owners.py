"""The endpoints whose home this daemon is, and the calls that other daemons make."""

from __future__ import annotations

import logging
import threading
import time
from collections.abc import Callable, Mapping
from concurrent.futures import ThreadPoolExecutor
from contextlib import suppress
from typing import Any, Self

from pimentohoist._controllers.configuration import ConfigurationController
from pimentohoist._controllers.endpoint_owner import EndpointHome
from pimentohoist._controllers.exit_prober import EndProofs
from pimentohoist._controllers.engine_orders import EngineOrders, Place
from pimentohoist._controllers.owner_takeover import HomeTakeover
from pimentohoist._controllers.held_pins import MS_PER_S, HeldPins, MemberHomes
from pimentohoist._controllers.load_permits import LoadPermits
from pimentohoist._controllers.pin_collection import PinCollection
from pimentohoist._controllers.ownership_watch import PlaceWatch
from pimentohoist._decisions.loads import LoadWish
from pimentohoist._decisions.queue import Waiting
from pimentohoist._decisions.ownership_terms import Tenure
from pimentohoist._generated import peer_pb2
from pimentohoist.exceptions import NotHomeError, PimentohoistError
from pimentohoist.models import AdapterVersion
from pimentohoist.protocols import Engine, Peers

_STEP = 'endpoint_homes'
_TICK_S = 0.05
_IDLE_S = 0.25
_PAUSE_S = 0.2
_RETRY_AFTER_S = 0.3
_HOLD_S = 0.5
_MOST_HELD_CALLS = 24
_LOAD_THREADS = 16
_logger = logging.getLogger(__name__)


class EndpointHomes:
    """Keeps an `EndpointHome` for each endpoint whose home this daemon is.

    Attributes
    ----------
    homes : dict of str to EndpointHome
        By name of the place.
    """

    def __init__(
        self,
        view: MemberHomes,
        configuration: ConfigurationController,
        peers: Peers,
        pins: HeldPins,
        proofs: EndProofs,
        engine_at: Callable[[Place], Engine],
    ) -> None:
        self.view = view
        self.configuration = configuration
        self.peers = peers
        self.pins = pins
        self.watch = PlaceWatch(view, configuration)
        self.engine_at = engine_at
        self.takeover = HomeTakeover(
            PinCollection(view, peers, pins), proofs, self._is_kept
        )
        self.permits = LoadPermits(view, configuration, peers)
        self.homes: dict[str, EndpointHome] = {}
        self._lock = threading.RLock()
        self._closed = threading.Event()
        self._held_calls = threading.Semaphore(_MOST_HELD_CALLS)
        self._loads = ThreadPoolExecutor(_LOAD_THREADS, 'loads')

    def __enter__(self) -> Self:
        """Start deciding."""
        threading.Thread(target=self._tick, name='endpoint-homes', daemon=True).start()
        return self

    def __exit__(self, *exc_info: object) -> None:
        """Stop; orders under way end by themselves."""
        self._closed.set()
        self._loads.shutdown(wait=False, cancel_futures=True)

    def acquire(self, request: peer_pb2.AcquireRequest) -> peer_pb2.AcquireReply:
        """Answer a request for a slot; NotHomeError if this is not the home."""
        home = self._require(request.endpoint)
        is_held = self._held_calls.acquire(blocking=False)
        try:
            refusal = home.ask(
                _waiting(request),
                must_queue=request.must_queue,
                hold_s=_HOLD_S if is_held else 0,
            )
        finally:
            if is_held:
                self._held_calls.release()
        if refusal is not None:
            return peer_pb2.AcquireReply(
                refusal=refusal.reason.value,
                retry_after_ms=_finite_ms(refusal.retry_after_s),
            )
        if home.is_pinned(request.request_id):
            return peer_pb2.AcquireReply(
                pin_id=request.request_id, fencing_number=self.view.epoch
            )
        return peer_pb2.AcquireReply(is_queued=True)

    def release(self, request: peer_pb2.ReleaseRequest) -> peer_pb2.Acknowledgement:
        """Answer a release; one that is not known is acknowledged as well."""
        with self._lock:
            home = self.homes.get(request.endpoint)
        if home is not None:
            home.release(
                request.pin_id,
                request.service_time_ms / MS_PER_S,
                has_failed=request.endpoint_failed,
            )
        return peer_pb2.Acknowledgement(accepted=home is not None)

    def dump(self) -> Mapping[str, Any]:
        """Return the state of each endpoint."""
        with self._lock:
            homes = dict(self.homes)
        return {name: home.dump() for name, home in homes.items()}

    def _require(self, name: str) -> EndpointHome:
        with self._lock:
            tenure = self.watch.tenure(name)
            if tenure is None or not self.view.is_home(name):
                raise NotHomeError(
                    f'not the home of {name}', step=_STEP, retry_after_s=_RETRY_AFTER_S
                )
            home = self.homes.get(name)
            if home is None or home.tenure != tenure:
                place = self.watch.place(name)
                if place is None:
                    raise NotHomeError(
                        f'no endpoint {name} yet',
                        step=_STEP,
                        retry_after_s=_RETRY_AFTER_S,
                    )
                home = self._start_home(place, tenure)
            return home

    def _start_home(self, place: Place, tenure: Tenure) -> EndpointHome:
        orders = EngineOrders(
            place,
            self.engine_at(place),
            lambda: self.view.is_home(place.name),
            lambda: self.view.epoch,
        )
        self._end_home(place.name)
        home = EndpointHome(orders, tenure)
        self.homes[place.name] = home
        for work in (self.takeover.collect, self.takeover.fence, self._load):
            threading.Thread(
                target=work, args=(home,), name=place.name, daemon=True
            ).start()
        return home

    def _is_kept(self, home: EndpointHome) -> bool:
        with self._lock:
            is_present = self.homes.get(home.place.name) is home
        return is_present and not self._closed.is_set()

    def _tick(self) -> None:
        while not self._closed.wait(_TICK_S):
            self.pins.note_members()
            self.permits.watch()
            try:
                self._begin_homes()
            except Exception:
                _logger.exception('homes not begun', extra={'step': _STEP})
            with self._lock:
                homes = tuple(self.homes.values())
            for home in homes:
                self._tick_home(home)

    def _begin_homes(self) -> None:
        """Take over what is at home here now, before anybody asks for it."""
        with self._lock:
            names = {place.name for place in self.watch.own_places()}
        for name in names - self.homes.keys():
            with suppress(NotHomeError):
                self._require(name)

    def _end_home(self, name: str) -> None:
        home = self.homes.pop(name, None)
        if home is not None:
            home.close()
            _logger.info('no longer the home', extra={'endpoint': name})

    def _tick_home(self, home: EndpointHome) -> None:
        with self._lock:
            if self.watch.tenure(home.place.name) != home.tenure:
                self._end_home(home.place.name)
                return
        home.tick()
        if home.is_verified and home.verify_at <= time.monotonic():
            home.verify_at = float('inf')
            self._loads.submit(home.verify)

    def _load(self, home: EndpointHome) -> None:
        """Get permits for what the endpoint needs, as long as it is kept."""
        while self._is_kept(home):
            wishes, loading = home.load_needs(_IDLE_S)
            if wishes or loading:
                self._take_permit(home, wishes, loading)

    def _take_permit(
        self,
        home: EndpointHome,
        wishes: list[LoadWish],
        loading: tuple[AdapterVersion, ...],
    ) -> None:
        try:
            adapter = self.permits.take(home.place.name, wishes, loading)
        except PimentohoistError:
            self._closed.wait(_PAUSE_S)
            return
        self._start_load(home, adapter)
        if not wishes:
            self._closed.wait(_IDLE_S)

    def _start_load(self, home: EndpointHome, adapter: AdapterVersion | None) -> None:
        plan = home.begin_load(adapter) if adapter else None
        if plan is not None:
            self._loads.submit(home.carry_out, plan)


def _waiting(request: peer_pb2.AcquireRequest) -> Waiting:
    now = time.monotonic()
    adapter = AdapterVersion(request.adapter, request.version)
    return Waiting(
        request.request_id,
        request.workspace,
        adapter if request.adapter else None,
        request.cost_tokens,
        request.is_urgent,
        now + request.deadline_after_ms / MS_PER_S,
        now,
        request.is_alone,
    )


def _finite_ms(seconds: float) -> int:
    longest_s = 60
    return int(min(seconds, longest_s) * MS_PER_S)
