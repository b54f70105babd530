"""Command lines of the tools whose settings are keyword arguments."""

from __future__ import annotations

import sys
from collections.abc import Callable

import fire

_HELP_FLAGS = frozenset(('--help', '-h'))


def run_command(command: Callable[..., None], name: str) -> None:
    """Run a command with the arguments of the process.

    A function that takes any keyword takes ``--help`` for one of its settings, unless it
    follows fire's own separator.
    """
    arguments = sys.argv[1:]
    is_help = not _HELP_FLAGS.isdisjoint(arguments)
    fire.Fire(command, command=['--', '--help'] if is_help else arguments, name=name)
