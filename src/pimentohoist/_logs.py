"""Structured logs: one JSON object a line on standard error."""

from __future__ import annotations

import logging
import sys

from pythonjsonlogger.json import JsonFormatter

_FORMAT = '%(asctime)s %(levelname)s %(name)s %(message)s'


def configure_logs(level: str, *, instance: str) -> None:
    """Write logs of `level` and above as JSON, each with the instance's name."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(
        JsonFormatter(_FORMAT, static_fields={'instance': instance}, timestamp=False)
    )
    logging.basicConfig(level=level, handlers=[handler], force=True)
    logging.getLogger('waitress').setLevel(logging.ERROR)
