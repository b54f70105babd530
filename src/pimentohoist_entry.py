"""Starts an entry daemon on the platform without an installed package."""

import os
import signal

# The defaults would end the process with the signal's status; until the daemon handles
# them itself, there is nothing to finish and nothing to reload.
signal.signal(signal.SIGTERM, lambda number, frame: os._exit(0))
signal.signal(signal.SIGHUP, signal.SIG_IGN)

from pimentohoist.entry import main  # noqa: E402

if __name__ == '__main__':
    main()
