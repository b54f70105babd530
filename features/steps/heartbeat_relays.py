"""Steps on heartbeats that go through relays."""

from __future__ import annotations

import json
import logging
import sys
import zlib
from collections.abc import Collection
from dataclasses import replace
from pathlib import Path
from typing import Any
from unittest import mock

from behave import given, then, when
from behave.runner import Context

sys.path.append(str(Path(__file__).resolve().parent.parent))
from relay_world import RelayWorld  # noqa: E402

from pimentohoist._entry.heartbeat import encode_heartbeat  # noqa: E402

_CHECKED_EACH_S = 0.5
_KB = 1000
_ENGINE = 'engine-of-the-test'
_HUGE_BYTES = 4_000_000


@given('{daemons:d} daemons in {domains:d} failure domains')
def start_world(context: Context, daemons: int, domains: int) -> None:
    context.world = RelayWorld(daemons, domains, seed=daemons)
    context.wrong = 0
    context.views = 0
    context.excused = set()


@given('{daemons:d} daemons in {domains:d} failure domains, half of an earlier build')
def start_mixed(context: Context, daemons: int, domains: int) -> None:
    start_world(context, daemons, domains)
    for number, members in enumerate(context.world.members.values()):
        if number % 2:
            _make_earlier_build(members)


@given(
    '{daemons:d} daemons in {domains:d} failure domains, {count:d} of each with a link'
    ' of {fast:g} Mbit/s and the others of {slow:g}'
)
def start_uneven(
    context: Context, daemons: int, domains: int, count: int, fast: float, slow: float
) -> None:
    start_world(context, 0, domains)
    context.world.chance.seed(daemons)
    context.fast = set()
    for number in range(daemons):
        address = f'10.0.0.{number + 1}:8002'
        # The fast ones are neither the first nor the last by address.
        is_fast = daemons // 2 <= number < daemons // 2 + count * domains
        context.world.add(address, number % domains, fast if is_fast else slow)
        context.fast |= {address} if is_fast else set()


@given('a daemon of each failure domain is of a build that does not state its link')
def hide_links(context: Context) -> None:
    hidden = {members.settings.failure_domain: members for members in _others(context)}
    for members in hidden.values():
        members.settings.link_mbps = 0
        for other in context.world.members.values():
            other.member_list.link_mbps[members.member] = 0


@then('the relays are the daemons with fast links')
def check_fast_relays(context: Context) -> None:
    assert context.world.relays() == context.fast, context.world.relays()


@then('the relays are those of a fleet that states no links')
def check_plain_relays(context: Context) -> None:
    relays = context.world.relays()
    world = RelayWorld(0, 0, seed=1)
    for address, members in context.world.members.items():
        world.add(address, int(members.settings.failure_domain.partition('-')[-1]))
    assert relays == world.relays(), relays


def _others(context: Context) -> list[Any]:
    members = context.world.members
    return [members[name] for name in members if name not in context.fast]


@when('they run for {seconds:g} s')
def run(context: Context, seconds: float) -> None:
    world = context.world
    world.run(seconds / 2)
    world.network.sent.clear()
    world.network.sent_bytes.clear()
    world.run(seconds / 2)
    context.measured_s = seconds / 2


@when('they run for {seconds:g} s and then {what} are killed')
def kill(context: Context, seconds: float, what: str) -> None:
    world = context.world
    world.run(seconds)
    world.dead = set(_groups(world)[what])
    _watch(context, 2.5)


@when('a share of {loss:g} of all datagrams is lost for {seconds:g} s, seed {seed:d}')
def lose(context: Context, loss: float, seconds: float, seed: int) -> None:
    context.world = RelayWorld(42, 3, seed)
    context.world.run(3)
    context.world.network.loss = loss
    _watch(context, seconds)


@when("they run for {seconds:g} s and then a relay's datagrams to its domain are lost")
def cut(context: Context, seconds: float) -> None:
    world = context.world
    world.run(seconds)
    relay = min(world.relays())
    domain = world.members[relay].settings.failure_domain
    world.network.cut = {
        (relay, name)
        for name, one in world.members.items()
        if one.settings.failure_domain == domain
    }
    context.excused = {relay}
    _watch(context, 6)


@when(
    'they run for {seconds:g} s and then a relay freezes, {count:d} daemons are killed,'
    ' and it wakes {frozen_s:g} s later'
)
def freeze(context: Context, seconds: float, count: int, frozen_s: float) -> None:
    world = context.world
    world.run(seconds)
    relays = world.relays()
    world.frozen = {min(relays)}
    world.dead = set(sorted(set(world.members) - relays)[:count])
    _watch(context, frozen_s)
    context.excused = set(world.frozen)
    world.frozen = set()
    world.run(0.5)


@when(
    'they run for {seconds:g} s and then malformed, cut, repeated and old datagrams come'
)
def send_malformed(context: Context, seconds: float) -> None:
    world = context.world
    world.run(seconds)
    target, other = tuple(world.members.values())[:2]
    heartbeat = encode_heartbeat(other.sender.make_heartbeat())
    context.logged = _CountingHandler()
    logger = logging.getLogger('pimentohoist._entry.members')
    logger.addHandler(context.logged)
    context.stack.callback(logger.removeHandler, context.logged)
    for data in _malformed_datagrams(heartbeat) * 20:
        target._handle_datagram(data)
    world.run(1)


@when(
    'they run for {seconds:g} s and then one begins a request'
    ' at an engine that another one owns'
)
def begin_request(context: Context, seconds: float) -> None:
    world = context.world
    world.run(seconds)
    relays = world.relays()
    user, owner = [name for name in sorted(world.members) if name not in relays][:2]
    context.user, context.owner = user, owner
    sender = world.members[user].sender
    sender.owners_of = lambda engines: {owner} if _ENGINE in engines else set()
    context.idle = sender.make_heartbeat
    in_flight = {_ENGINE: {'model/a1': 1}}
    sender.make_heartbeat = lambda: replace(context.idle(), in_flight=in_flight)


@when(
    'they run for {seconds:g} s and then one uses engines of the relays of another domain'
    ' for {used_s:g} s'
)
def use_engines_of_relays(context: Context, seconds: float, used_s: float) -> None:
    world = context.world
    world.run(seconds)
    relays = world.relays()
    user = min(set(world.members) - relays)
    sender = world.members[user].sender
    others = {name for name in relays if _domain(world, name) != _domain(world, user)}
    sender.owners_of = lambda engines: others if _ENGINE in engines else set()
    idle = sender.make_heartbeat
    in_flight = {_ENGINE: {'model/a1': 1}}
    sender.make_heartbeat = lambda: replace(idle(), in_flight=in_flight)
    _watch(context, used_s)


@when(
    'they run for {seconds:g} s and then a daemon has restarted'
    ' and a relay sends its former heartbeat'
)
def send_former(context: Context, seconds: float) -> None:
    world = context.world
    world.run(seconds)
    target, other = tuple(world.members.values())[:2]
    former = target.received[other.member].heartbeat
    current = replace(former, incarnation='next', sequence=1)
    # The machine's own clock may be behind the simulated one, so that both would be old.
    with mock.patch('pimentohoist._clock.now', lambda: world.now):
        target._handle_datagram(json.dumps(encode_heartbeat(current)).encode())
        target._handle_datagram(_bundle([[0.5, 2, encode_heartbeat(former)]]))
    context.kept = target.received[other.member].heartbeat


@then('the former heartbeat changes nothing')
def check_former(context: Context) -> None:
    assert context.kept.incarnation == 'next', context.kept


def _domain(world: RelayWorld, name: str) -> str:
    return world.members[name].settings.failure_domain


@then('the owner hears of it within {limit_s:g} s')
def check_use(context: Context, limit_s: float) -> None:
    context.world.run(limit_s)
    assert _known_use(context) == 1


@then('of its end within {limit_s:g} s')
def check_end(context: Context, limit_s: float) -> None:
    context.world.members[context.user].sender.make_heartbeat = context.idle
    context.world.run(limit_s)
    assert not _known_use(context)


def _known_use(context: Context) -> int:
    received = context.world.members[context.owner].received
    return received[context.user].heartbeat.in_flight_at(_ENGINE)


@then('each daemon takes all others as live')
def check_live(context: Context) -> None:
    assert not context.world.missing(), context.world.missing()


@then(
    'daemons that are no relays send at most {count:d} datagrams'
    ' and {size:d} KB a second'
)
def check_sent(context: Context, count: int, size: int) -> None:
    world = context.world
    relays = world.relays() if len(world.members) > 16 else set()
    others = set(world.members) - relays
    sent = max(world.network.sent[name] for name in others) / context.measured_s
    bytes_sent = max(world.network.sent_bytes[name] for name in others)
    assert sent <= count, sent
    assert bytes_sent / context.measured_s <= size * _KB, bytes_sent


@then('the fleet sends at most {count:d} datagrams a second')
def check_fleet(context: Context, count: int) -> None:
    sent = context.world.network.sent.total() / context.measured_s
    assert sent <= count, sent


@then('{delay_s:g} s later no daemon takes a dead one as live')
def check_dead(context: Context, delay_s: float) -> None:
    wrong = context.world.wrongly_live()
    assert not wrong, wrong


@then('meanwhile no running daemon was taken as dead')
@then('meanwhile no daemon but that relay was taken as dead')
def check_none_wrong(context: Context) -> None:
    assert not context.wrong, f'{context.wrong} of {context.views}'


@then('meanwhile at most {count:d} of 10,000 views of a running daemon were wrong')
def check_wrong(context: Context, count: int) -> None:
    assert context.wrong * 10_000 <= count * context.views, (
        context.wrong,
        context.views,
    )


@then('no more than {count:d} rejections were logged by each')
def check_rejections(context: Context, count: int) -> None:
    rejected = context.logged.messages.count('datagram rejected')
    assert 0 < rejected <= count, rejected


class _CountingHandler(logging.Handler):
    def __init__(self) -> None:
        super().__init__()
        self.messages: list[str] = []

    def emit(self, record: logging.LogRecord) -> None:
        self.messages.append(record.getMessage())


def _malformed_datagrams(heartbeat: list[Any]) -> list[bytes]:
    packed = zlib.compress(_bundle([[0, 0, heartbeat]]))
    wrong_hops = ([[0, 9, heartbeat]], [['x', 0, heartbeat]])
    bundles = map(_bundle, (None, [[0]], [[0, 0, None]], *wrong_hops))
    texts = (b'', b'[', b'[]', b'{}', b'[1, 2]', b'\xff\xfe')
    huge = zlib.compress(b' ' * _HUGE_BYTES)
    return [*texts, packed[:-5], packed[5:], huge, packed, packed, *bundles]


def _bundle(entries: object) -> bytes:
    return json.dumps({'from': 'x', 'bundle': entries}).encode()


def _groups(world: RelayWorld) -> dict[str, Collection[str]]:
    """Return groups of daemons by what they are."""
    relays = sorted(world.relays())
    domains = {name: one.settings.failure_domain for name, one in world.members.items()}
    of_first = {name for name in domains if domains[name] == domains[relays[0]]}
    others = sorted(set(domains) - set(relays))
    one_each = {domains[name]: name for name in relays}
    return {
        '3 daemons that are no relays': others[:3],
        'one relay of each domain': one_each.values(),
        'both relays of a domain': of_first & set(relays),
        'all relays': relays,
        'a failure domain': of_first,
    }


def _watch(context: Context, seconds: float) -> None:
    """Run the fleet and count the views of running daemons that are wrong."""
    world = context.world
    for _ in range(round(seconds / _CHECKED_EACH_S)):
        world.run(_CHECKED_EACH_S)
        missing = world.missing().values()
        context.wrong += sum(len(names - context.excused) for names in missing)
        context.views += len(world.live_members()) ** 2


def _make_earlier_build(members: Any) -> None:
    """Send to each, without a number, and reject bundles."""
    sender = members.sender

    def send_now() -> None:
        fields = encode_heartbeat(sender.make_heartbeat())[:-1]
        for address in sender.routes().domains:
            sender.datagrams.send(json.dumps(fields).encode(), address)

    def handle(data: bytes) -> None:
        if data.startswith(b'['):
            type(members)._handle_datagram(members, data)

    sender.send_now = send_now
    sender._send_due = send_now
    members._handle_datagram = handle
