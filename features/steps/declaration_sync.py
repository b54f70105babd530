"""Steps on the exchange of declarations between daemons, without a network."""

from __future__ import annotations

import json
import sys
import time
from pathlib import Path
from types import SimpleNamespace
from typing import Any

from behave import given, then, when
from behave.runner import Context

sys.path.append(str(Path(__file__).resolve().parent.parent))
from entry_fleet import MODEL, configuration_document  # noqa: E402

from pimentohoist._entry.declaration_sync import DeclarationSync  # noqa: E402
from pimentohoist._entry.declarations import DeclarationsController  # noqa: E402
from pimentohoist._entry.heartbeat import Heartbeat  # noqa: E402
from pimentohoist._entry.members import MembersController  # noqa: E402
from pimentohoist.entry_models import AdapterKey  # noqa: E402

_HEARTBEAT_S = 0.1


class SyncingDaemon:
    """The controllers of a daemon that gets no answers from the store."""

    def __init__(self, name: str, peers: PeersDouble) -> None:
        settings: Any = SimpleNamespace(
            name=name,
            control_address=name,
            failure_domain='a',
            host='127.0.0.1',
            peer_port=0,
            link_mbps=0,
        )
        store: Any = None
        self.name = name
        self.members = MembersController(settings, store, self.heartbeat)
        self.declarations = DeclarationsController(store, self.members)
        self.sync = DeclarationSync(self.declarations, self.members, peers)

    def declare(self, version: int) -> None:
        text = json.dumps(configuration_document(version)).encode()
        self.declarations.apply_newer(text, 'store')

    def declare_adapter(self, adapter: str, version: int) -> None:
        document = {'model': MODEL, 'adapter': adapter, 'version': version}
        text = json.dumps(document).encode()
        self.declarations.apply_newer_version(text, 'store')

    def heartbeat(self) -> Heartbeat:
        declarations = self.declarations
        return Heartbeat(
            self.name,
            'incarnation',
            'a',
            self.name,
            is_ready=True,
            version=declarations.version,
            adapter_versions=declarations.versions_digest,
            generation=0,
        )

    def hear(self, other: SyncingDaemon) -> None:
        for listener in self.members.on_heartbeat:
            listener(other.heartbeat(), None)


class PeersDouble:
    """Calls the methods of daemons of this process by their names."""

    def __init__(self) -> None:
        self.daemons: dict[str, SyncingDaemon] = {}
        self.calls = 0

    def call(self, address: str, method: str, request: Any, **limits: float) -> Any:
        self.calls += 1
        return self.daemons[address].sync.peer_methods()[method](request)


def _start_daemons(context: Context) -> None:
    context.peers = PeersDouble()
    for name in ('a', 'b'):
        daemon = SyncingDaemon(name, context.peers)
        context.peers.daemons[name] = daemon
        context.stack.enter_context(daemon.sync)
    context.daemons = context.peers.daemons


@given('daemon A with versions a1@2 and a2@1, and daemon B with a1@1 and a2@2')
def start_with_versions(context: Context) -> None:
    _start_daemons(context)
    for name, versions in (('a', (2, 1)), ('b', (1, 2))):
        for adapter, version in zip(('a1', 'a2'), versions, strict=True):
            context.daemons[name].declare_adapter(adapter, version)


@when('their heartbeats reach each other for {seconds:d} s')
def exchange_heartbeats(context: Context, seconds: int) -> None:
    first, second = context.daemons.values()
    for _ in range(round(seconds / _HEARTBEAT_S)):
        first.hear(second)
        second.hear(first)
        time.sleep(_HEARTBEAT_S)


@then('both have versions a1@2 and a2@2')
def check_versions(context: Context) -> None:
    expected = {AdapterKey(MODEL, 'a1'): 2, AdapterKey(MODEL, 'a2'): 2}
    for daemon in context.daemons.values():
        assert daemon.declarations.versions == expected, daemon.declarations.versions


@given('daemon A with configuration 5 and daemon B with configuration 3')
def start_with_configurations(context: Context) -> None:
    _start_daemons(context)
    context.daemons['a'].declare(5)
    context.daemons['b'].declare(3)


@when('the heartbeat of A reaches B and the store gives B configuration 5 at once')
def hear_before_store(context: Context) -> None:
    context.daemons['b'].hear(context.daemons['a'])
    context.daemons['b'].declare(5)


@then('after 1 s B has fetched nothing')
def check_not_fetched(context: Context) -> None:
    time.sleep(1)
    assert not context.peers.calls, context.peers.calls
