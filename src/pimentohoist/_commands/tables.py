"""Rows of named cells as text."""

from __future__ import annotations

import csv
import io
from collections.abc import Sequence

_Rows = Sequence[dict[str, str]]


def csv_text(names: Sequence[str], rows: _Rows) -> str:
    """Return rows as comma-separated values under a header."""
    text = io.StringIO()
    writer = csv.DictWriter(text, names, lineterminator='\n')
    writer.writeheader()
    writer.writerows(rows)
    return text.getvalue().rstrip('\n')


def table_text(names: Sequence[str], rows: _Rows) -> str:
    """Return rows as columns, the first aligned left and the others right."""
    lines = [names, *([row[name] for name in names] for row in rows)]
    widths = [max(map(len, column)) for column in zip(*lines, strict=True)]
    return '\n'.join(_aligned(line, widths) for line in lines)


def _aligned(line: Sequence[str], widths: Sequence[int]) -> str:
    cells = (
        cell.rjust(width) if index else cell.ljust(width)
        for index, (cell, width) in enumerate(zip(line, widths, strict=True))
    )
    return '  '.join(cells).rstrip()
