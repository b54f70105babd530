"""Rows of named cells, formatted as CSV or as a table."""

from __future__ import annotations

import csv
import io
from collections.abc import Sequence

_Rows = Sequence[dict[str, str]]


def csv_text(columns: Sequence[str], rows: _Rows) -> str:
    """Return rows as comma-separated values under a header."""
    text = io.StringIO()
    writer = csv.DictWriter(text, columns, lineterminator='\n')
    writer.writeheader()
    writer.writerows(rows)
    return text.getvalue().rstrip('\n')


def table_text(columns: Sequence[str], rows: _Rows) -> str:
    """Return rows as a table, the first column aligned left and the others right."""
    lines = [columns, *([row[name] for name in columns] for row in rows)]
    widths = [max(map(len, column)) for column in zip(*lines, strict=True)]
    return '\n'.join(_aligned_line(line, widths) for line in lines)


def _aligned_line(line: Sequence[str], widths: Sequence[int]) -> str:
    cells = (
        cell.rjust(width) if index else cell.ljust(width)
        for index, (cell, width) in enumerate(zip(line, widths, strict=True))
    )
    return '  '.join(cells).rstrip()
