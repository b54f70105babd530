"""Steps on explaining requests of entry daemons from the lines that those log."""

from __future__ import annotations

import logging
import sys
import time
from contextlib import suppress
from pathlib import Path
from types import SimpleNamespace

from behave import given, then
from behave.runner import Context

sys.path.append(str(Path(__file__).resolve().parent.parent))
from entry_fleet import EntryFleet  # noqa: E402
from stop_callers import wait_for_log  # noqa: E402

from pimentohoist import _clock  # noqa: E402
from pimentohoist._entry.request_monitor import MonitoredRequest  # noqa: E402
from pimentohoist._entry.shutdown import Shutdown  # noqa: E402
from pimentohoist._logs import BoundedLogs  # noqa: E402
from pimentohoist.entry_models import ExecutionPolicy, Route  # noqa: E402
from pimentohoist.exceptions import UnavailableError  # noqa: E402

_QUIET_S = 10
_PAST_LOOKBACK_S = 3.5
"""Longer than the time before a request in which events are shown."""

_GRACE_S = 8
_OTHER_LOAD = 'adapter of a leaving engine requested'
_ROUTE = Route(
    'models',
    host='house.example',
    prefix='/models',
    execution_policy=ExecutionPolicy.STREAM,
    timeout_s=4,
    latency_target_s=1,
    priority=0,
    weighted_groups=(),
    max_executions=1,
    is_public=False,
    can_resume=False,
)


@given(
    'the log of a daemon whose store was restored, whose engine left '
    'and whose ledger asked for no requests'
)
def write_log_of_notices(context: Context) -> None:
    fleet = context.stack.enter_context(EntryFleet())
    fleet.store.era = 1
    fleet.declare(3)
    engine = fleet.add_engine('engine-0')
    fleet.start_ready()
    daemon = fleet.daemons[0]
    assert fleet.send_request().status == 200
    fleet.store.save_copy()
    fleet.store.restore_copy()
    wait_for_log(daemon, '"era": 2, "before": 1', 5)
    engine.faults.is_leaving = True
    assert fleet.send_request().status == 200
    assert fleet.send_request().status == 503
    fleet.ledger.faults.quiet_s = _QUIET_S
    assert fleet.send_request('/look/x').status == 503
    time.sleep(_PAST_LOOKBACK_S)
    assert fleet.send_request('/look/x').status == 503
    wait_for_log(daemon, f'"request-{fleet.requests}"', 5)
    (context.folder / 'entry.log').write_text(daemon.log.read_text())


@given('the log of a daemon that stopped while requests ran and others came')
def write_log_of_stop(context: Context) -> None:
    log = context.stack.enter_context((context.folder / 'entry.log').open('w'))
    with BoundedLogs('INFO', instance='front-1', stream=log):
        shutdown = Shutdown(_GRACE_S, lambda: True)
        shutdown.begin(_clock.now())
        shutdown.record_progress('stopping', 2)
        with shutdown.timed('leave the group'):
            time.sleep(0.01)
        shutdown.close()
        with suppress(UnavailableError):
            shutdown.check('late-1', _ROUTE, 4, None)
        extra = {'endpoint': 'engine-0', 'adapter': 'm1/other'}
        logging.getLogger('test').info(_OTHER_LOAD, extra=extra)
        shutdown.record_cut([_running('cut-1', 'engine-0'), _running('cut-2', '')])


def _running(request_id: str, endpoint: str) -> MonitoredRequest:
    now = _clock.now()
    exchange = SimpleNamespace(endpoint=SimpleNamespace(endpoint_id=endpoint))
    return MonitoredRequest(
        request_id, now - 2, now + 4, lambda: False, exchange if endpoint else None
    )


@then('it prints no load of another adapter')
def check_no_other_load(context: Context) -> None:
    assert _OTHER_LOAD in (context.folder / 'entry.log').read_text()
    assert _OTHER_LOAD not in context.run.stdout, context.run.stdout
