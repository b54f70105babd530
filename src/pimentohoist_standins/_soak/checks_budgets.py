"""Checks of quotas and of the budget of repeats, over windows that slide."""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from collections import defaultdict, deque
from collections.abc import Iterator

from pimentohoist_standins._soak.history import History, Verdict
from pimentohoist_standins._soak.records import LIMIT_PER_S, Bounds, FaultRecord
from pimentohoist_standins._soak.versions import Versions


def quotas(history: History) -> Iterator[Verdict]:
    """All daemons together run no more tokens of a workspace than its quota allows."""
    limits = _Limits(history)
    for workspace, requests in _token_spans(history).items():
        for began_at, tokens in _window_sums(requests):
            limit = limits.tokens(workspace, began_at)
            if limit is not None:
                text = f'{workspace} ran {tokens} tokens; its limit is {limit:.0f}'
                yield Verdict(tokens <= limit, began_at, text)


def retry_budget(history: History) -> Iterator[Verdict]:
    """Endpoint groups get no more repeats than the budget of their requests allows."""
    sent, repeats = _arrivals_by_group(history)
    for group, times in repeats.items():
        for index, at in enumerate(times):
            repeated = bisect_right(times, at + history.bounds.budget_window_s) - index
            allowed = _allowed_repeats(history.bounds, sent[group], at)
            text = f'{group} got {repeated} repeats; {allowed:.0f} are allowed'
            yield Verdict(repeated <= allowed, at, text)


def endpoint_limits(history: History) -> Iterator[Verdict]:
    """Endpoints get no more requests than the limit allows that they have named."""
    bounds = history.bounds
    allowed = bounds.limit_over * LIMIT_PER_S * bounds.limit_window_s
    for fault in history.observations.faults:
        if fault.kind == 'engine_limit':
            most = _most_in_window(history, fault)
            text = f'{fault.target} got {most} requests; it allows {allowed:.0f}'
            is_kept = most <= allowed + bounds.limit_slack
            yield Verdict(is_kept, fault.ended_at, text)


class _Limits:
    """The limits of workspaces, per window."""

    def __init__(self, history: History) -> None:
        self.bounds = history.bounds
        self.versions = Versions(history.observations)
        self.binding_at = {
            one.version: history.disruptions.all_in_touch_from(
                one.acknowledged_at + self.bounds.configuration_s
            )
            for one in self.versions.configurations
            if one.acknowledged_at is not None
        }

    def tokens(self, workspace: str, began_at: float) -> float | None:
        """Return the tokens that a window allows, or None without a limit."""
        window_s = self.bounds.quota_window_s
        bound = [
            version
            for version, binding_at in self.binding_at.items()
            if binding_at + window_s <= began_at
        ]
        rates = [
            one.rates.get(workspace, (0, 0))
            for one in self.versions.sent_before(began_at + window_s)
            if one.version >= max(bound, default=0)
        ]
        if not rates or any(rate == 0 for rate, _ in rates):
            return None
        limit = max(rate * window_s + burst for rate, burst in rates)
        return limit * (1 + self.bounds.quota_over) + self.bounds.quota_slack_tokens


def _token_spans(history: History) -> dict[str, list[tuple[float, float, int]]]:
    """Return by workspace the span in which windows with a request begin, and tokens."""
    spans = defaultdict(list)
    for caller, runs in history.callers_with_runs():
        first_at = runs[0].arrived_at - history.bounds.quota_window_s
        if first_at <= caller.sent_at:
            span = (first_at, caller.sent_at, caller.tokens)
            spans[runs[0].workspace].append(span)
    return spans


def _window_sums(spans: list[tuple[float, float, int]]) -> Iterator[tuple[float, int]]:
    """Yield the tokens of the windows that begin when a request first falls in one."""
    leaving = deque(sorted(spans, key=lambda span: span[1]))
    total = 0
    for first_at, _, tokens in sorted(spans):
        while leaving[0][1] < first_at:
            total -= leaving.popleft()[2]
        total += tokens
        yield first_at, total


def _most_in_window(history: History, fault: FaultRecord) -> int:
    """Return the most arrivals in a window that ends while a limit binds.

    Arrivals count from daemons that have been told and are in touch.
    """
    bounds = history.bounds
    # Another fault of the kind that ends first ends this one's limit, too.
    ended_at = min(
        other.ended_at
        for other in history.observations.faults
        if (other.kind, other.target) == (fault.kind, fault.target)
        and other.ended_at > fault.began_at
    )
    times = sorted(
        run.arrived_at
        for run in history.observations.runs
        if run.endpoint == fault.target
        and fault.began_at + bounds.told_s <= run.arrived_at <= ended_at
        and history.disruptions.is_in_touch(run.daemon, fault.began_at, run.arrived_at)
    )
    counts = (
        index + 1 - bisect_left(times, at - bounds.limit_window_s)
        for index, at in enumerate(times)
        if at >= fault.began_at + bounds.contact_s
    )
    return max(counts, default=0)


def _arrivals_by_group(
    history: History,
) -> tuple[dict[str, list[float]], dict[str, list[float]]]:
    """Return by group, in order: when requests for it were sent, and repeats arrived."""
    sent: dict[str, list[float]] = defaultdict(list)
    repeats: dict[str, list[float]] = defaultdict(list)
    groups_by_route = _groups_by_route(history)
    for caller in history.observations.callers:
        for group in groups_by_route[caller.route]:
            sent[group].append(caller.sent_at)
        for run in history.arrivals(caller)[1:]:
            repeats[run.group].append(run.arrived_at)
    for times in (*sent.values(), *repeats.values()):
        times.sort()
    return sent, repeats


def _groups_by_route(history: History) -> dict[str, set[str]]:
    groups: dict[str, set[str]] = defaultdict(set)
    for one in history.observations.configurations:
        for route, group in one.groups.items():
            groups[route].add(group)
    for caller in history.observations.callers:
        groups[caller.route].update(run.group for run in history.arrivals(caller))
    return groups


def _allowed_repeats(bounds: Bounds, sent: list[float], began_at: float) -> float:
    """Return what the requests of a window allow, or of the ones just before it."""
    window_s = bounds.budget_window_s
    starts = (began_at, began_at - window_s, began_at - window_s / 2)
    requests = max(
        bisect_right(sent, start + window_s) - bisect_left(sent, start)
        for start in starts
    )
    return bounds.retry_ratio * requests + bounds.retry_slack
