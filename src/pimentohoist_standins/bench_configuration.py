"""Certification by section against two simpler rules, and the cost of a publish."""

from __future__ import annotations

import sys
import time
from collections.abc import Callable, Iterable, Iterator

from pimentohoist._configuration_fold import (
    SectionChange,
    ConfigurationFold,
    PublishRecord,
)
from pimentohoist.configuration import (
    Adapter,
    EndpointGroup,
    GroupKind,
    Section,
    Workspace,
    section_id,
    section_text,
)
from pimentohoist.models import LogRecord
from pimentohoist_standins._certification_rules import (
    draw_edits,
    takes_by_section,
    takes_last_writer,
    takes_whole_text,
    tally,
)

_CHANGES_A_DAY = 3100
_SECONDS_A_DAY = 86_400
_BURST_CHANGES = 300
_BURST_S = 60.0
_SIZES = (1000, 10_000, 50_000)
_PUBLISHES = 200
_SECTIONS_A_PUBLISH = 500
_MICROSECONDS = 1e6
_MILLISECONDS = 1e3


def measure_publish(size: int) -> tuple[float, float]:
    """Return microseconds a publish and milliseconds a snapshot, at so many adapters."""
    fold = _fold_of(size)
    first = fold.next_offset
    records = [
        _record(first + index, [_adapter(index, 2)]) for index in range(_PUBLISHES)
    ]
    publish_s = _time(lambda: _apply_all(fold, records))
    snapshot_s = _time(fold.snapshot)
    return publish_s / _PUBLISHES * _MICROSECONDS, snapshot_s * _MILLISECONDS


def _apply_all(fold: ConfigurationFold, records: Iterable[LogRecord]) -> None:
    for record in records:
        fold.apply(record)


def _time(function: Callable[[], object]) -> float:
    started_at = time.process_time()
    function()
    return time.process_time() - started_at


def _fold_of(size: int) -> ConfigurationFold:
    fold = ConfigurationFold()
    _apply(fold, [Workspace('house', 1, 1), EndpointGroup('review', GroupKind.ENGINE)])
    for start in range(0, size, _SECTIONS_A_PUBLISH):
        part = range(start, min(size, start + _SECTIONS_A_PUBLISH))
        _apply(fold, [_adapter(index, 1) for index in part])
    return fold


def _adapter(index: int, version: int) -> Adapter:
    return Adapter(f'adapter-{index}', 'review', (version,), version, ('house',))


def _apply(fold: ConfigurationFold, sections: list[Section]) -> None:
    fold.apply(_record(fold.next_offset, sections))


def _record(offset: int, sections: list[Section]) -> LogRecord:
    changes = tuple(
        SectionChange(section=section_id(section), text=section_text(section))
        for section in sections
    )
    publish = PublishRecord(publish_id=str(offset), base_offset=offset, changes=changes)
    return LogRecord(offset, publish.model_dump_json().encode())


def _rule_lines() -> Iterator[str]:
    yield '| edits | rule | lost updates | needless rejections | rejections |'
    yield '|---|---|---|---|---|'
    rules = {
        'last writer wins': takes_last_writer,
        'one version for the whole text': takes_whole_text,
        'by section': takes_by_section,
    }
    loads = {
        f'{_CHANGES_A_DAY} a day': draw_edits(_CHANGES_A_DAY, _SECONDS_A_DAY),
        f'{_BURST_CHANGES} in {_BURST_S:g} s': draw_edits(_BURST_CHANGES, _BURST_S),
    }
    for load, edits in loads.items():
        for name, rule in rules.items():
            found = tally(rule, edits)
            counts = f'{found.lost} | {found.needless} | {found.rejected}'
            yield f'| {load} | {name} | {counts} |'


def _cost_lines() -> Iterator[str]:
    yield '| adapters | publish, microseconds of a core | snapshot, ms of a core |'
    yield '|---|---|---|'
    for size in _SIZES:
        publish_us, snapshot_ms = measure_publish(size)
        yield f'| {size} | {publish_us:.0f} | {snapshot_ms:.0f} |'


def main() -> None:
    """Print the tables."""
    for line in (*_rule_lines(), '', *_cost_lines()):
        sys.stdout.write(f'{line}\n')


if __name__ == '__main__':
    main()
