"""The operators' command line.

Exit codes: 0 done; 1 failed, nothing changed; 2 bad input, nothing changed; 3 rejected,
since a section had changed or the whole would contradict itself; 4 accepted, but not known
to be in force on every live member.
"""

from __future__ import annotations

import fire

from pimentohoist._commands.changing import ChangingCommands
from pimentohoist._commands.console import ExitCode, exit_code, fail
from pimentohoist._commands.explaining import ExplainingCommands
from pimentohoist._commands.reading import ReadingCommands
from pimentohoist.exceptions import ConfigurationError, PimentohoistError

_NAME = 'pimentohoistctl'


class Commands(ReadingCommands, ChangingCommands, ExplainingCommands):
    """Commands of pimentohoistctl; ``pimentohoistctl COMMAND --help`` explains each.

    Every command takes ``--json``. Exit codes: 0 done; 1 failed, nothing changed; 2 bad
    input, nothing changed; 3 rejected, since a section had changed or the whole would
    contradict itself; 4 accepted, but not known to be in force on every live member.
    """


def main() -> None:
    """Run ``pimentohoistctl``."""
    try:
        fire.Fire(Commands, name=_NAME)
    except ConfigurationError as error:
        fail(error.faults, ExitCode.BAD_INPUT)
    except PimentohoistError as error:
        fail((str(error),), exit_code(error))
