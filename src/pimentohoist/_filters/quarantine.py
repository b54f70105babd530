"""Filter that refuses requests during which two endpoints crashed."""

from __future__ import annotations

import hashlib

from pimentohoist._decisions.quarantine import QuarantineStatus
from pimentohoist._filters.retry_dependencies import CrashReports
from pimentohoist.exceptions import QuarantinedError
from pimentohoist.exchanges import CallerResponse, Exchange
from pimentohoist.protocols import Handler

_STEP = 'quarantine'
_DIGEST_BYTES = 16


class Quarantine:
    """Implements `Filter`."""

    def __init__(self, crash_reports: CrashReports) -> None:
        self.crash_reports = crash_reports

    def __call__(self, exchange: Exchange, proceed: Handler) -> CallerResponse:
        """Refuse a quarantined generation; pass every other request on."""
        if exchange.adapter_version is None or exchange.workspace is None:
            return proceed(exchange)
        fingerprint = request_fingerprint(exchange)
        exchange.annotations['fingerprint'] = fingerprint
        if (
            self.crash_reports.quarantine_status(fingerprint)
            is QuarantineStatus.QUARANTINED
        ):
            raise QuarantinedError(
                'the request was running on two endpoints when they crashed', step=_STEP
            )
        return proceed(exchange)


def request_fingerprint(exchange: Exchange) -> str:
    """Return a digest of all engine input of the request, keyed by the workspace.

    Equal requests of two workspaces have different fingerprints, so a workspace can't
    infer from refusals which requests another one has sent.
    """
    workspace = exchange.workspace.name if exchange.workspace else ''
    key = hashlib.sha256(f'quarantine\n{workspace}'.encode()).digest()
    text = f'{exchange.adapter_version}\n{exchange.max_tokens}\n{exchange.prompt}'
    digest = hashlib.blake2b(
        text.encode('utf-8', 'surrogatepass'), digest_size=_DIGEST_BYTES, key=key
    )
    return digest.hexdigest()
