"""Runs one role of the soak in this process and obeys commands on standard input.

The process ends with its standard input, so that none outlasts the soak.
"""

from __future__ import annotations

import faulthandler
import importlib
import json
import signal
import sys
from types import MappingProxyType
from typing import Any

_ROLES = MappingProxyType(
    {
        'callers': 'callers.CallersRole',
        'endpoint': 'endpoint_role.EndpointRole',
        'proxy': 'proxy_role.ProxyRole',
        'store': 'store_role.StoreRole',
    }
)


def main(role_name: str, options: str) -> None:
    """Run a role until standard input ends."""
    faulthandler.register(signal.SIGUSR1)
    module_name, _, class_name = _ROLES[role_name].partition('.')
    # A process imports its own role only, so that many start in little time.
    module = importlib.import_module(f'pimentohoist_standins._soak.{module_name}')
    with getattr(module, class_name)(**json.loads(options)) as role:
        _reply(None)
        for line in sys.stdin:
            command = json.loads(line)
            _reply(getattr(role, command['method'])(**command['arguments']))


def _reply(result: Any) -> None:
    sys.stdout.write(f'{json.dumps(result)}\n')
    sys.stdout.flush()


if __name__ == '__main__':
    main(*sys.argv[1:])
