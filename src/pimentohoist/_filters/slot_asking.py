"""Asks for the slots of one request's attempts, away from endpoints that failed it."""

from __future__ import annotations

from contextlib import ExitStack
from dataclasses import replace

from pimentohoist._decisions.quarantine import QuarantineStatus, suspect_order
from pimentohoist._filters.retry_tools import RetryDependencies
from pimentohoist.exceptions import (
    DeadlineError,
    PeerError,
    QuarantinedError,
    RunState,
    UnavailableError,
)
from pimentohoist.exchanges import SlotRequest
from pimentohoist.protocols import Slot

_STEP = 'quarantine'
_FAILURES_TO_AVOID = 2


class SlotAcquirer:
    """One request's way to its slots.

    A suspect is asked for at one endpoint at a time, which all daemons choose alike, and
    runs alone there. So copies of a request that crashes endpoints wait behind one
    another, whichever daemons they came through, and learn of its second crash before
    they would cause a third.
    """

    def __init__(
        self, slot_request: SlotRequest, fingerprint: str, tools: RetryDependencies
    ) -> None:
        self.slot_request = slot_request
        self.fingerprint = fingerprint
        self.tools = tools
        self._failures: dict[str, int] = {}

    def record_failure(self, name: str, *, is_certain: bool) -> None:
        """Count a failure of an endpoint; it is avoided if that is certain."""
        count = _FAILURES_TO_AVOID if is_certain else self._failures.get(name, 0) + 1
        self._failures[name] = count

    def acquire(self, request_id: str) -> Slot:
        """Wait for a slot for an attempt.

        Raises
        ------
        QuarantinedError
            The request was seen at a second crash while it waited.
        PimentohoistError
            There is no slot.
        """
        quarantine_status = self._quarantine_status()
        request = replace(
            self.slot_request,
            request_id=request_id,
            excluded=self.slot_request.excluded | self._blamed(),
        )
        if quarantine_status is QuarantineStatus.SUSPECT:
            slot = self._acquire_alone(request)
        else:
            slot = self._ask(request)
        # It may have been seen at a crash while it waited.
        if self._quarantine_status() is quarantine_status:
            return slot
        with ExitStack() as stack:
            stack.enter_context(slot)
        return self.acquire(request_id)

    def _acquire_alone(self, request: SlotRequest) -> Slot:
        group = request.group
        by_name = {endpoint.name: endpoint for endpoint in group.endpoints}
        failure = UnavailableError('no endpoint is left', step=_STEP)
        for name in suspect_order(self.fingerprint, by_name, self._blamed()):
            narrowed = replace(group, endpoints=(by_name[name],))
            try:
                return self._ask(
                    replace(
                        request,
                        group=narrowed,
                        excluded=self.slot_request.excluded,
                        is_alone=True,
                    )
                )
            except DeadlineError:
                raise
            except UnavailableError as error:
                failure = error
            self._quarantine_status()
        raise failure

    def _ask(self, request: SlotRequest) -> Slot:
        try:
            return self.tools.slots.acquire(request)
        except PeerError as error:
            # A failed order to an endpoint has not run the request.
            error.run_state = RunState.NOT_RUN
            for endpoint in request.group.endpoints:
                if endpoint.address == error.peer:
                    self.record_failure(endpoint.name, is_certain=True)
            raise

    def _blamed(self) -> frozenset[str]:
        return frozenset(
            name
            for name, count in self._failures.items()
            if count >= _FAILURES_TO_AVOID
        )

    def _quarantine_status(self) -> QuarantineStatus:
        """Return what is known of the request; raises QuarantinedError."""
        if not self.fingerprint:
            return QuarantineStatus.CLEAR
        quarantine_status = self.tools.crashes.quarantine_status(self.fingerprint)
        if quarantine_status is QuarantineStatus.QUARANTINED:
            raise QuarantinedError(
                'the request was running at two crashes of endpoints', step=_STEP
            )
        return quarantine_status
