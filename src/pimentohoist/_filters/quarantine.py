"""Refuses requests that were running at two crashes of endpoints."""

from __future__ import annotations

import hashlib

from pimentohoist._decisions.quarantine import QuarantineStatus
from pimentohoist._filters.retry_tools import CrashReports
from pimentohoist.exceptions import QuarantinedError
from pimentohoist.exchanges import CallerResponse, Exchange
from pimentohoist.protocols import Handler

_STEP = 'quarantine'
_DIGEST_BYTES = 16


class Quarantine:
    """Implements `Filter`."""

    def __init__(self, crashes: CrashReports) -> None:
        self.crashes = crashes

    def __call__(self, exchange: Exchange, proceed: Handler) -> CallerResponse:
        """Refuse a quarantined generation; let everything else go on."""
        if exchange.adapter_version is None or exchange.workspace is None:
            return proceed(exchange)
        fingerprint = request_fingerprint(exchange)
        exchange.annotations['fingerprint'] = fingerprint
        if self.crashes.quarantine_status(fingerprint) is QuarantineStatus.QUARANTINED:
            raise QuarantinedError(
                'the request was running at two crashes of endpoints', step=_STEP
            )
        return proceed(exchange)


def request_fingerprint(exchange: Exchange) -> str:
    """Return a digest of all that an engine is given, keyed by the workspace.

    Two workspaces' equal requests have different fingerprints, so one can't learn of
    the other's requests by what is refused.
    """
    workspace = exchange.workspace.name if exchange.workspace else ''
    key = hashlib.sha256(f'quarantine\n{workspace}'.encode()).digest()
    text = f'{exchange.adapter_version}\n{exchange.max_tokens}\n{exchange.prompt}'
    digest = hashlib.blake2b(
        text.encode('utf-8', 'surrogatepass'), digest_size=_DIGEST_BYTES, key=key
    )
    return digest.hexdigest()
