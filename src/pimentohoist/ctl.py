"""The operators' command line.

Exit codes: 0 done; 1 failed, nothing changed; 2 bad input, nothing changed; 3 rejected,
since a section had changed meanwhile or the result would be inconsistent; 4 accepted, but
not known to be in force on every live member.
"""

from __future__ import annotations

import fire

from pimentohoist._commands.changes import ChangeCommands
from pimentohoist._commands.command_io import ExitCode, exit_code_of, exit_with_errors
from pimentohoist._commands.explanation import ExplanationCommands
from pimentohoist._commands.queries import QueryCommands
from pimentohoist.exceptions import ConfigurationError, PimentohoistError

_PROGRAM_NAME = 'pimentohoistctl'


class Commands(QueryCommands, ChangeCommands, ExplanationCommands):
    """Commands of pimentohoistctl; ``pimentohoistctl COMMAND --help`` explains each.

    Every command takes ``--json``. Exit codes: 0 done; 1 failed, nothing changed; 2 bad
    input, nothing changed; 3 rejected, since a section had changed meanwhile or the result
    would be inconsistent; 4 accepted, but not known to be in force on every live member.
    """


def main() -> None:
    """Run ``pimentohoistctl``."""
    try:
        fire.Fire(Commands, name=_PROGRAM_NAME)
    except ConfigurationError as error:
        exit_with_errors(error.faults, ExitCode.BAD_INPUT)
    except PimentohoistError as error:
        exit_with_errors((str(error),), exit_code_of(error))
