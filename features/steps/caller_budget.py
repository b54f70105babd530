"""Steps on the budget of bytes held for callers, without a network."""

from __future__ import annotations

import random
import tempfile
from pathlib import Path

from behave import given, then
from behave.runner import Context

from pimentohoist._decisions.caller_budget import CallerBudget
from pimentohoist.exceptions import SettingsError
from pimentohoist.platform import InstanceLimits, read_entry_settings
from pimentohoist_standins._soak.daemons import SETTINGS_TEMPLATE
from pimentohoist_standins._soak.records import Bounds

_BUDGET_BYTES = 8_388_608
_BODY_BYTES = 4_194_304
_READ_BYTES = 8192
_ORDINARY_BYTES = 4096
_READ_S = 0.001
_ARRIVAL_SHARE = 0.05


class _Sender:
    """Sends a body to a budget, one read at a time."""

    def __init__(self, budget: CallerBudget, group: str, size: int) -> None:
        self.budget = budget
        self.group = group
        self.size = size
        self.sent = 0
        self.sent_at: float = 0
        self._record(0)

    def send(self, now: float) -> bool:
        """Return whether a read was allowed; the last one ends the request."""
        if self.has_ended():
            return False
        if not self.budget.fits(self, _READ_BYTES):
            self.budget.wait(self, now)
            return False
        self.sent += _READ_BYTES
        self.sent_at = now
        self._record(now)
        if self.has_ended():
            self.budget.release(self)
        return True

    def send_all(self, now: float) -> bool:
        """Send until the end, which returns True, or until a read isn't allowed."""
        is_allowed = True
        while is_allowed and not self.has_ended():
            is_allowed = self.send(now)
        return is_allowed

    def has_ended(self) -> bool:
        return self.sent >= self.size

    def _record(self, now: float) -> None:
        self.budget.record(
            self, self.group, self.sent, now, is_complete=self.has_ended()
        )


def _send_in_turn(senders: list[_Sender]) -> float:
    """Send one read each, as often as the budget may allow it; return the time."""
    turns = _BUDGET_BYTES // _READ_BYTES // len(senders) + 1
    for turn in range(turns):
        for sender in senders:
            sender.send(turn * _READ_S)
    return turns * _READ_S


@given('{count:d} bodies of one address that grow in turn until none may be read')
def fill(context: Context, count: int) -> None:
    context.budget = CallerBudget(_BUDGET_BYTES)
    context.senders = [
        _Sender(context.budget, 'address', _BODY_BYTES) for _ in range(count)
    ]
    context.now = _send_in_turn(context.senders)
    for sender in context.senders:
        # Its caller sends no more.
        context.budget.stop_waiting(sender)


@then('at most the budget is held and {count:d} ordinary requests may be read')
def check_ordinary(context: Context, count: int) -> None:
    assert context.budget.held_bytes <= _BUDGET_BYTES
    for number in range(count):
        sender = _Sender(context.budget, f'caller {number}', _ORDINARY_BYTES)
        assert sender.send(context.now), number


@then(
    'after 1 s the bodies are given up in the order of their last progress until one of '
    'another address fits'
)
def check_given_up(context: Context) -> None:
    budget: CallerBudget = context.budget
    other = _Sender(budget, 'other', _BODY_BYTES // 2)
    assert not other.send_all(context.now)
    assert budget.find_victim(context.now) is None
    senders = sorted(context.senders, key=lambda sender: sender.sent_at)
    given_up = 0
    while not other.send_all(context.now + 1):
        victim = budget.find_victim(context.now + 1)
        assert victim is senders[given_up]
        budget.release(victim)
        given_up += 1
    assert 0 < given_up < len(senders) / 2, given_up


@then('all {count:d} bodies end one after the other without a refusal')
def check_all_end(context: Context, count: int) -> None:
    budget = CallerBudget(_BUDGET_BYTES)
    senders = [_Sender(budget, f'{number % 2}', _BODY_BYTES) for number in range(count)]
    now: float = 0
    while senders:
        progress = [sender.send(now) for sender in senders]
        assert any(progress)
        assert budget.held_bytes <= _BUDGET_BYTES + _BODY_BYTES
        senders = [sender for sender in senders if not sender.has_ended()]
        now += _READ_S / 10
    assert not budget.held_bytes


@then('its bodies wait while a body of another workspace grows to 2 MiB')
def check_fairness(context: Context) -> None:
    budget = CallerBudget(_BUDGET_BYTES)
    greedy = [_Sender(budget, 'greedy', _BODY_BYTES) for _ in range(10)]
    _send_in_turn(greedy)
    other = _Sender(budget, 'other', _BODY_BYTES // 2)
    assert not other.send_all(1)
    budget.release(greedy.pop())
    assert not any([sender.send(1) for sender in greedy[1:]])  # noqa: C419
    while not other.send_all(1):
        budget.release(greedy.pop())


@then('the budget holds nothing after generated requests have ended')
def check_generated(context: Context) -> None:
    generator = random.Random(20261206)
    budget = CallerBudget(_BUDGET_BYTES)
    senders: list[_Sender] = []
    for step in range(20_000):
        if generator.random() < _ARRIVAL_SHARE:
            group = f'{generator.randrange(5)}'
            senders.append(_Sender(budget, group, generator.randrange(_BODY_BYTES)))
        if senders:
            generator.choice(senders).send(step / 100)
        victim = budget.find_victim(step / 100)
        if victim is not None:
            budget.release(victim)
        senders = [
            sender
            for sender in senders
            if sender is not victim and not sender.has_ended()
        ]
    for sender in senders:
        budget.release(sender)
    assert not budget.held_bytes and not budget.waiting_count()


@then(
    "settings without limits have defaults and those that aren't numbers above 0 are "
    'refused'
)
def check_settings(context: Context) -> None:
    assert _read_limits('') == InstanceLimits()
    assert _read_limits('memory_mb = 160\nmax_descriptors = 1638') == InstanceLimits(
        160, 1638
    )
    for field in ('memory_mb', 'max_descriptors', 'body_timeout_s'):
        for text in ('0', '-1', '"9"', 'true', 'inf', 'nan'):
            assert field in str(_read_limits(f'{field} = {text}')), text


def _read_limits(fields: str) -> InstanceLimits | SettingsError:
    text = SETTINGS_TEMPLATE.format(
        host='127.0.0.1', seeds='', store='127.0.0.1:1', bounds=Bounds()
    )
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / 'settings.toml'
        path.write_text(f'{text}[limits]\n{fields}\n')
        try:
            return read_entry_settings(str(path)).limits
        except SettingsError as error:
            return error
