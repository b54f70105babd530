"""Steps on settings that come from the environment."""

from __future__ import annotations

import os
import tempfile
from pathlib import Path
from unittest import mock

from behave import given, then, when
from behave.runner import Context

from pimentohoist.exceptions import SettingsError
from pimentohoist.platform import EntrySettings, read_entry_settings

_INSTANCE_SETTINGS = 'PIMENTOHOIST_INSTANCE'
_FILE = """
[daemon]
name = "d1"
failure_domain = "a"
host = "127.0.0.1"
port_range = "7600,7615"
seeds = ""

[listen]
callers = "127.0.0.1:1"
ready = "127.0.0.1:2"
control = "127.0.0.1:3"
directory = "127.0.0.1:4"

[store]
partitions = 12
address = "127.0.0.1:5"

[bounds]
engines_check_fences = true
retry_ratio = 0.2
retry_slack = 54
retry_window_s = 10
lease_ms = 3000
most_directory_age_s = 5
"""


@given('a settings file with a grace period of {grace_s:d} s')
def write_file(context: Context, grace_s: int) -> None:
    folder = context.stack.enter_context(tempfile.TemporaryDirectory())
    context.settings_path = Path(folder) / 'settings.toml'
    context.settings_path.write_text(f'{_FILE}grace_s = {grace_s}\n')


@when(
    'the environment states a link of {mbps:d} Mbit/s, a memory of {memory_mb:d} MB'
    ' and the regions "{regions}"'
)
def state_instance(context: Context, mbps: int, memory_mb: int, regions: str) -> None:
    limits = f'limits.link_mbps = {mbps}\nlimits.memory_mb = {memory_mb}\n'
    context.environment = f'{limits}regions.of_domains = "{regions}"\n'


@when('the environment states a grace period of {grace_s:d} s')
def state_grace(context: Context, grace_s: int) -> None:
    context.environment = f'bounds.grace_s = {grace_s}\n'


@when('the environment states "{text}"')
def state_text(context: Context, text: str) -> None:
    context.environment = text


@then(
    'a daemon reads a link of {mbps:d} Mbit/s, a memory of {memory_mb:d} MB'
    ' and the region "{region}" of "{domain}"'
)
def check_instance(
    context: Context, mbps: int, memory_mb: int, region: str, domain: str
) -> None:
    context.read = _read(context)
    assert context.read.link_mbps == mbps
    assert context.read.limits.memory_mb == memory_mb
    assert context.read.regions.by_domain.get(domain) == region, context.read.regions


@then('a daemon reads a grace period of {grace_s:d} s')
@then('a grace period of {grace_s:d} s')
def check_grace(context: Context, grace_s: int) -> None:
    assert _read(context).bounds.grace_s == grace_s


@then('the settings are refused and the error names "{name}"')
def check_refused(context: Context, name: str) -> None:
    try:
        _read(context)
    except SettingsError as error:
        assert name in str(error), error
    else:
        raise AssertionError('the settings were read')


def _read(context: Context) -> EntrySettings:
    with mock.patch.dict(os.environ, {_INSTANCE_SETTINGS: context.environment}):
        return read_entry_settings(str(context.settings_path))
