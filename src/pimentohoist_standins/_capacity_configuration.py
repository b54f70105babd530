"""Probes of the configuration reader."""

from __future__ import annotations

import time

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

_SECTIONS_PER_PUBLISH = 500
_MS_PER_S = 1000


def _publish(offset: int, *sections: Section) -> LogRecord:
    changes = tuple(
        SectionChange(section=section_id(section), text=section_text(section))
        for section in sections
    )
    publish = PublishRecord(
        publish_id=f'publish-{offset}', base_offset=offset, changes=changes
    )
    return LogRecord(offset, publish.model_dump_json().encode())


def _adapter(index: int, *versions: int) -> Adapter:
    return Adapter(
        f'adapter-{index}',
        'review',
        versions or (1,),
        default_version=1,
        workspaces=('house',),
    )


def build_configuration(size: int) -> ConfigurationFold:
    """Return a configuration fold with `size` adapters."""
    fold = ConfigurationFold()
    fold.apply(
        _publish(
            0,
            Workspace('house', rate_tokens_per_s=1, burst_tokens=1),
            EndpointGroup('review', GroupKind.ENGINE),
        )
    )
    for offset, start in enumerate(range(0, size, _SECTIONS_PER_PUBLISH), start=1):
        indexes = range(start, min(size, start + _SECTIONS_PER_PUBLISH))
        fold.apply(_publish(offset, *(_adapter(index) for index in indexes)))
    return fold


def change_adapter(fold: ConfigurationFold, number: int) -> None:
    """Publish a new version of one adapter, as an operator does."""
    fold.apply(_publish(fold.next_offset, _adapter(number, 1, 2)))


def build_different(size: int) -> ConfigurationFold:
    """Return a fold with `size` adapters whose sections all have different texts."""
    fold = build_configuration(0)
    for start in range(0, size, _SECTIONS_PER_PUBLISH):
        indexes = range(start, min(size, start + _SECTIONS_PER_PUBLISH))
        fold.apply(
            _publish(
                fold.next_offset, *(_adapter(index, 1, index + 2) for index in indexes)
            )
        )
    return fold


def measure_restore(size: int) -> str:
    """Return the row of the times to restore a snapshot and to copy under the lock."""
    fold = build_configuration(size)
    body = fold.snapshot()
    started_at = time.process_time()
    ConfigurationFold().restore(body)
    restored_at = time.process_time()
    fold.copy()
    copied_ms = (time.process_time() - restored_at) * _MS_PER_S
    return f'| {size:,} | {restored_at - started_at:.3f} | {copied_ms:.1f} |'
