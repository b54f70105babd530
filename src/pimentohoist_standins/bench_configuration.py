"""Benchmark of certification by section and of the cost of a publish."""

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
    accept_by_section,
    accept_every_edit,
    accept_by_whole_text,
    tally,
)

_CHANGES_PER_DAY = 3100
_DAY_S = 86_400
_BURST_CHANGES = 300
_BURST_S = 60.0
_ADAPTER_COUNTS = (1000, 10_000, 50_000)
_PUBLISH_COUNT = 200
_SECTIONS_PER_PUBLISH = 500
_US_PER_S = 1e6
_MS_PER_S = 1e3


def measure_publish(size: int) -> tuple[float, float]:
    """Return the processor time of a publish in us and of a snapshot in ms.

    Parameters
    ----------
    size : int
        Adapters in the configuration.
    """
    fold = _build_fold(size)
    first = fold.next_offset
    records = [
        _record(first + index, [_adapter(index, 2)]) for index in range(_PUBLISH_COUNT)
    ]
    publish_s = _processor_s(lambda: _apply_all(fold, records))
    snapshot_s = _processor_s(fold.snapshot)
    return publish_s / _PUBLISH_COUNT * _US_PER_S, snapshot_s * _MS_PER_S


def _apply_all(fold: ConfigurationFold, records: Iterable[LogRecord]) -> None:
    for record in records:
        fold.apply(record)


def _processor_s(function: Callable[[], object]) -> float:
    started_at = time.process_time()
    function()
    return time.process_time() - started_at


def _build_fold(size: int) -> ConfigurationFold:
    fold = ConfigurationFold()
    _publish(
        fold, [Workspace('house', 1, 1), EndpointGroup('review', GroupKind.ENGINE)]
    )
    for start in range(0, size, _SECTIONS_PER_PUBLISH):
        part = range(start, min(size, start + _SECTIONS_PER_PUBLISH))
        _publish(fold, [_adapter(index, 1) for index in part])
    return fold


def _adapter(index: int, version: int) -> Adapter:
    return Adapter(f'adapter-{index}', 'review', (version,), version, ('house',))


def _publish(fold: ConfigurationFold, sections: list[Section]) -> None:
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
        'last writer wins': accept_every_edit,
        'one version for the whole text': accept_by_whole_text,
        'by section': accept_by_section,
    }
    loads = {
        f'{_CHANGES_PER_DAY} a day': draw_edits(_CHANGES_PER_DAY, _DAY_S),
        f'{_BURST_CHANGES} in {_BURST_S:g} s': draw_edits(_BURST_CHANGES, _BURST_S),
    }
    for load, edits in loads.items():
        for name, rule in rules.items():
            counts = tally(rule, edits)
            row = f'{counts.lost} | {counts.needless} | {counts.rejected}'
            yield f'| {load} | {name} | {row} |'


def _cost_lines() -> Iterator[str]:
    yield '| adapters | publish, microseconds of a core | snapshot, ms of a core |'
    yield '|---|---|---|'
    for size in _ADAPTER_COUNTS:
        publish_us, snapshot_ms = measure_publish(size)
        yield f'| {size} | {publish_us:.0f} | {snapshot_ms:.0f} |'


def main() -> None:
    """Print the tables."""
    for line in (*_rule_lines(), '', *_cost_lines()):
        sys.stdout.write(f'{line}\n')


if __name__ == '__main__':
    main()
