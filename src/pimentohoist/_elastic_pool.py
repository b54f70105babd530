"""Threads that start with the work and end when they have been idle for a while."""

from __future__ import annotations

import logging
import threading
import time
from collections import deque
from collections.abc import Callable
from concurrent.futures import Executor, Future
from dataclasses import dataclass
from typing import Any, ParamSpec, Protocol, TypeVar

_MAX_IDLE_S = 5.0
"""Longer than the pauses between requests under load, so that threads are started once."""

_logger = logging.getLogger(__name__)

ArgumentsT = ParamSpec('ArgumentsT')
ResultT = TypeVar('ResultT')


@dataclass(frozen=True, slots=True)
class WorkItem:
    """Work for a thread, and what to call instead if it never starts."""

    run: Callable[[], None]
    cancel: Callable[[], None]


class _Worker:
    """A thread's next work, which is handed to it while it is idle."""

    def __init__(self, item: WorkItem) -> None:
        self.item: WorkItem | None = item
        self.has_item = threading.Event()


class WorkerPool:
    """Runs work in as many threads as it takes, up to a number.

    The thread that was busy last gets the next work, so that the others can end.

    Parameters
    ----------
    max_workers : int
        Number of threads; more work waits for one of them.
    max_idle_s : float
        Time after which an idle thread ends, in seconds.
    """

    def __init__(
        self, max_workers: int, name: str, max_idle_s: float = _MAX_IDLE_S
    ) -> None:
        self.max_workers = max_workers
        self.name = name
        self.max_idle_s = max_idle_s
        self.worker_count = 0
        self._idle: list[_Worker] = []
        self._waiting: deque[WorkItem] = deque()
        self._is_closed = False
        self._changed = threading.Condition()

    def submit(self, item: WorkItem) -> None:
        """Run work in a thread; raises RuntimeError once the pool is closed."""
        with self._changed:
            if self._is_closed:
                raise RuntimeError(f'pool {self.name} is closed')
            if self._idle:
                worker = self._idle.pop()
                worker.item = item
                worker.has_item.set()
            elif self.worker_count < self.max_workers:
                self._start_worker(item)
            else:
                self._waiting.append(item)

    def close(self, *, is_cancelling: bool) -> None:
        """Take no more work; cancel what waits for a thread, if wanted."""
        with self._changed:
            self._is_closed = True
            idle, self._idle = self._idle, []
            self.worker_count -= len(idle)
            cancelled = tuple(self._waiting) if is_cancelling else ()
            if is_cancelling:
                self._waiting.clear()
            self._changed.notify_all()
        for worker in idle:
            worker.has_item.set()
        for item in cancelled:
            item.cancel()

    def join(self, timeout_s: float | None = None) -> bool:
        """Wait for all threads of a closed pool; return whether they have ended."""
        with self._changed:
            return self._changed.wait_for(lambda: not self.worker_count, timeout_s)

    def _start_worker(self, item: WorkItem) -> None:
        worker = _Worker(item)
        thread = threading.Thread(
            target=self._run, args=(worker,), name=self.name, daemon=True
        )
        self.worker_count += 1
        try:
            thread.start()
        except RuntimeError as error:
            # The machine has no room for a thread; those that run take the work.
            self.worker_count -= 1
            if not self.worker_count:
                raise
            self._waiting.append(item)
            extra = {'step': 'pool', 'pool': self.name, 'cause': str(error)}
            _logger.warning('thread not started', extra=extra)

    def _run(self, worker: _Worker) -> None:
        while worker.item is not None:
            try:
                worker.item.run()
            except BaseException:
                _logger.exception('work failed', extra={'step': 'pool'})
            worker.item = None
            self._await_item(worker)

    def _await_item(self, worker: _Worker) -> None:
        """Give a worker its next item; none if it is to end."""
        with self._changed:
            if self._waiting:
                worker.item = self._waiting.popleft()
                return
            if self._is_closed:
                self._discard_worker()
                return
            worker.has_item.clear()
            self._idle.append(worker)
        if worker.has_item.wait(self.max_idle_s):
            return
        with self._changed:
            # It may have got an item, or been ended, since the wait.
            if worker in self._idle:
                self._idle.remove(worker)
                self._discard_worker()

    def _discard_worker(self) -> None:
        self.worker_count -= 1
        self._changed.notify_all()


class ElasticExecutor(Executor):
    """An executor whose threads end when they have been idle."""

    def __init__(
        self, max_workers: int, name: str, max_idle_s: float = _MAX_IDLE_S
    ) -> None:
        self.pool = WorkerPool(max_workers, name, max_idle_s)

    def submit(
        self,
        fn: Callable[ArgumentsT, ResultT],
        /,
        *args: ArgumentsT.args,
        **kwargs: ArgumentsT.kwargs,
    ) -> Future[ResultT]:
        """Run a function in a thread; raises RuntimeError after the shutdown."""
        future: Future[ResultT] = Future()

        def run() -> None:  # noqa: WPS430
            _run_for(future, lambda: fn(*args, **kwargs))

        self.pool.submit(WorkItem(run, lambda: _cancel(future)))
        return future

    def shutdown(self, wait: bool = True, *, cancel_futures: bool = False) -> None:
        """Take no more work; optionally cancel what waits, and wait for what runs."""
        self.pool.close(is_cancelling=cancel_futures)
        if wait:
            self.pool.join()


class ServerTask(Protocol):
    """A connection with a request to be handled, as waitress queues it."""

    def service(self) -> None:
        """Handle the request."""

    def cancel(self) -> None:
        """Close the connection without handling the request."""


class ElasticDispatcher:
    """Hands waitress's tasks to a pool; stands in for its own dispatcher."""

    def __init__(self, max_workers: int, name: str) -> None:
        self.pool = WorkerPool(max_workers, name)

    def add_task(self, task: ServerTask) -> None:
        """Queue a task."""
        try:
            self.pool.submit(WorkItem(task.service, task.cancel))
        except RuntimeError as error:
            extra = {'step': 'pool', 'pool': self.pool.name, 'cause': str(error)}
            _logger.warning('request not handled', extra=extra)
            task.cancel()

    def shutdown(self, cancel_pending: bool = True, timeout: float = 5) -> bool:
        """Wait for the tasks that run, then cancel those that wait."""
        deadline = time.monotonic() + timeout
        self.pool.close(is_cancelling=False)
        has_ended = self.pool.join(max(0, deadline - time.monotonic()))
        if not has_ended:
            extra = {'step': 'pool', 'threads': self.pool.worker_count}
            _logger.warning('requests still run after the shutdown', extra=extra)
        self.pool.close(is_cancelling=cancel_pending)
        return has_ended


def _run_for(future: Future[Any], compute: Callable[[], Any]) -> None:
    if not future.set_running_or_notify_cancel():
        return
    try:
        result = compute()
    except BaseException as error:
        future.set_exception(error)
        return
    future.set_result(result)


def _cancel(future: Future[Any]) -> None:
    future.cancel()
    future.set_running_or_notify_cancel()
