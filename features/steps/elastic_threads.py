"""Steps on pools of threads."""

from __future__ import annotations

import sys
import threading
import time
from concurrent.futures import CancelledError
from pathlib import Path

from behave import given, then, when
from behave.runner import Context

sys.path.append(str(Path(__file__).resolve().parent.parent))
from entry_fleet import EntryFleet, wait_for  # noqa: E402

from pimentohoist._elastic_pool import ElasticExecutor  # noqa: E402

_LIMIT_S = 5.0


@given('a pool of at most {count:d} threads that end after {idle_s:g} s')
def start_pool(context: Context, count: int, idle_s: float) -> None:
    context.executor = ElasticExecutor(count, 'tested', idle_s)
    context.stack.callback(context.executor.shutdown)


@when('{count:d} pieces of work run at once')
def run_at_once(context: Context, count: int) -> None:
    pool = context.executor.pool
    may_end = threading.Event()
    context.futures = [
        context.executor.submit(may_end.wait, _LIMIT_S) for _ in range(count)
    ]
    wait_for(lambda: pool.worker_count == min(count, pool.max_workers), _LIMIT_S)
    context.had_threads = pool.worker_count
    may_end.set()
    context.results = [future.result(_LIMIT_S) for future in context.futures]


@when('one piece of work comes each {pause_s:g} s for {for_s:g} s')
def run_one_by_one(context: Context, pause_s: float, for_s: float) -> None:
    until = time.monotonic() + for_s
    while time.monotonic() < until:
        context.executor.submit(time.sleep, 0).result(_LIMIT_S)
        time.sleep(pause_s)


@when('a piece of work fails')
def fail(context: Context) -> None:
    context.failed_work = context.executor.submit(int, 'no number')


@then('it had {count:d} threads')
def check_had(context: Context, count: int) -> None:
    assert context.had_threads == count, context.had_threads


@then('{delay_s:g} s later it has none')
def check_none(context: Context, delay_s: float) -> None:
    time.sleep(delay_s)
    assert not context.executor.pool.worker_count


@then('it has at most {count:d} threads')
def check_few(context: Context, count: int) -> None:
    assert context.executor.pool.worker_count <= count


@then('all {count:d} pieces were done')
def check_done(context: Context, count: int) -> None:
    assert context.results == [True for _ in range(count)]


@then('its future has the failure and the next work is done')
def check_failure(context: Context) -> None:
    assert isinstance(context.failed_work.exception(_LIMIT_S), ValueError)
    assert context.executor.submit(int, '7').result(_LIMIT_S) == 7


@then('after its close what waits is cancelled and what runs is finished')
def check_close(context: Context) -> None:
    may_end = threading.Event()
    running = context.executor.submit(may_end.wait, _LIMIT_S)
    waiting = context.executor.submit(int, '7')
    context.executor.shutdown(wait=False, cancel_futures=True)
    may_end.set()
    assert running.result(_LIMIT_S)
    try:
        waiting.result(_LIMIT_S)
    except CancelledError:
        return
    raise AssertionError('the waiting work ran')


@given('a fleet of 3 daemons that has served {count:d} requests')
def start_served(context: Context, count: int) -> None:
    context.fleet = context.stack.enter_context(EntryFleet())
    context.fleet.add_engine('engine-0')
    context.fleet.declare(1)
    context.fleet.start_ready(3)
    for number in range(count):
        context.fleet.send_request(adapter=f'a{number % 3}', daemon=number % 3)


@when('nothing has come for {for_s:g} s')
def rest(context: Context, for_s: float) -> None:
    time.sleep(for_s)


@then('each daemon has at most {count:d} threads')
def check_threads(context: Context, count: int) -> None:
    threads = [
        len(list(Path(f'/proc/{daemon.popen.pid}/task').iterdir()))
        for daemon in context.fleet.daemons
    ]
    assert max(threads) <= count, threads
