"""The summary of a run for the terminal, and the report as JSON."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator
from dataclasses import asdict
from http import HTTPStatus
from pathlib import Path
from typing import Any

from hdrh.histogram import HdrHistogram

from pimentohoist_standins._soak.records import CallerRecord, CheckResult
from pimentohoist_standins._soak.run import SoakOutcome

_MAX_LATENCY_US = 60_000_000
_US_PER_S = 1_000_000
_US_PER_MS = 1000
_DIGITS = 3
_PERCENTILES = (50.0, 90.0, 99.0, 99.9, 100.0)
_MAX_LOG_LINES = 12
_MAX_VIOLATIONS = 20


def report_document(
    outcome: SoakOutcome, checks: tuple[CheckResult, ...]
) -> dict[str, Any]:
    """Return the report of a run; it holds the plan, for a replay."""
    observations = outcome.observations
    return {
        'plan': outcome.plan.document(),
        'start_s': round(outcome.start_s, 2),
        'requests': len(observations.callers),
        'runs': len(observations.runs),
        'orders': len(observations.orders),
        'configurations': len(observations.configurations),
        'ends': dict(Counter(map(_end_text, observations.callers))),
        'latencies_ms': latencies(observations.callers),
        'cpu_s': {
            'daemons': round(outcome.daemons_cpu_s, 2),
            'soak': round(outcome.soak_cpu_s, 2),
        },
        'faults': [asdict(fault) for fault in observations.faults],
        'skipped': [asdict(fault) for fault in outcome.skipped],
        'processes': [asdict(process) for process in observations.processes],
        'began_at': observations.began_at,
        'checks': {check.promise: check.applied for check in checks},
        'violations': [
            {
                **asdict(violation),
                'log': log_lines(outcome.folder, violation.request_id),
            }
            for check in checks
            for violation in check.violations
        ],
    }


def latencies(callers: tuple[CallerRecord, ...]) -> dict[str, dict[str, float]]:
    """Return percentiles of the times to whole responses of status 200, by kind."""
    histograms: dict[str, Any] = {}
    for record in callers:
        if record.is_whole and record.status == HTTPStatus.OK:
            histogram = histograms.setdefault(
                record.kind.value, HdrHistogram(1, _MAX_LATENCY_US, _DIGITS)
            )
            took_s = record.ended_at - record.sent_at
            histogram.record_value(max(1, int(took_s * _US_PER_S)))
    return {
        kind: {
            f'p{percentile:g}': histogram.get_value_at_percentile(percentile)
            / _US_PER_MS
            for percentile in _PERCENTILES
        }
        for kind, histogram in sorted(histograms.items())
    }


def log_lines(folder: Path, request_id: str) -> list[str]:
    """Return the daemons' log lines that name a request."""
    if not request_id:
        return []
    quoted = f'"{request_id}"'
    return [
        line
        for path in sorted(folder.glob('127.*.log'))
        for line in path.read_text().splitlines()
        if quoted in line
    ][:_MAX_LOG_LINES]


def summary_lines(document: dict[str, Any]) -> Iterator[str]:
    """Yield the lines of the summary."""
    options = document['plan']['options']
    yield f'seed {options["seed"]}: {document["requests"]} requests'
    yield f'  started in {document["start_s"]} s'
    for end, count in sorted(document['ends'].items()):
        yield f'  {count:6} {end}'
    for kind, row in document['latencies_ms'].items():
        cells = ' '.join(f'{name}={took:.0f}' for name, took in row.items())
        yield f'  latency ms of {kind}: {cells}'
    yield from _fault_lines(document)
    yield _cpu_line(document['cpu_s'])
    yield from _check_lines(document)


def _cpu_line(cpu_s: dict[str, float]) -> str:
    soak_s, daemons_s = cpu_s['soak'], cpu_s['daemons']
    relation = 'less' if soak_s < daemons_s else 'NOT less'
    return f'  processor: soak {soak_s} s, {relation} than daemons {daemons_s} s'


def _fault_lines(document: dict[str, Any]) -> Iterator[str]:
    faults = [fault for fault in document['faults'] if fault['kind'] != 'caller_slow']
    for fault in sorted(faults, key=_began_at):
        began_s = fault['began_at'] - document['began_at']
        took_s = fault['ended_at'] - fault['began_at']
        yield f'  {began_s:6.2f} s {fault["kind"]} {fault["target"]} for {took_s:.2f} s'
    if document['skipped']:
        yield f'  {len(document["skipped"])} faults skipped: their target had ended'


def _check_lines(document: dict[str, Any]) -> Iterator[str]:
    for promise, applied in document['checks'].items():
        yield f'  check {promise}: applied {applied} times'
    violations = document['violations']
    for violation in violations[:_MAX_VIOLATIONS]:
        at_s = violation['at'] - document['began_at']
        yield f'  BROKEN {violation["promise"]} at {at_s:.2f} s: {violation["text"]}'
        yield from (f'    {line}' for line in violation['log'])
    yield f'  {len(violations)} violations'


def _began_at(fault: dict[str, Any]) -> float:
    return float(fault['began_at'])


def _end_text(record: CallerRecord) -> str:
    if record.is_whole:
        return f'status {record.status}'
    return f'{record.end.value} after {record.status or "no head"}'
