"""Acquires slots for the attempts of one request on endpoints that did not fail it."""

from __future__ import annotations

from contextlib import ExitStack
from dataclasses import replace

from pimentohoist._decisions.quarantine import QuarantineStatus, suspect_order
from pimentohoist._filters.retry_dependencies import RetryDependencies
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
    """Acquires the slots of one request's attempts.

    For a suspect request, a slot is requested on one endpoint at a time, in an order that
    is the same on all daemons, and the request runs alone there. So copies of a request
    that crashes endpoints wait behind one another, whichever daemons received them, and
    are refused after the second crash instead of causing a third.
    """

    def __init__(
        self,
        slot_request: SlotRequest,
        fingerprint: str,
        dependencies: RetryDependencies,
    ) -> None:
        self.slot_request = slot_request
        self.fingerprint = fingerprint
        self.dependencies = dependencies
        self._failures: dict[str, int] = {}

    def record_failure(self, name: str, *, is_certain: bool) -> None:
        """Count a failure of an endpoint.

        The endpoint is avoided from its second failure on, or from the first one that is
        certainly its own.
        """
        count = _FAILURES_TO_AVOID if is_certain else self._failures.get(name, 0) + 1
        self._failures[name] = count

    def acquire(self, request_id: str) -> Slot:
        """Wait for a slot for an attempt and return it.

        Raises
        ------
        QuarantinedError
            A second crash of the request was reported while it waited.
        PimentohoistError
            No slot is available.
        """
        quarantine_status = self._quarantine_status()
        request = replace(
            self.slot_request,
            request_id=request_id,
            excluded=self.slot_request.excluded | self._avoided_endpoints(),
        )
        if quarantine_status is QuarantineStatus.SUSPECT:
            slot = self._acquire_alone(request)
        else:
            slot = self._acquire_once(request)
        # A crash of the request may have been reported while it waited.
        if self._quarantine_status() is quarantine_status:
            return slot
        with ExitStack() as stack:
            stack.enter_context(slot)
        return self.acquire(request_id)

    def _acquire_alone(self, request: SlotRequest) -> Slot:
        group = request.group
        endpoints_by_name = {endpoint.name: endpoint for endpoint in group.endpoints}
        last_error = UnavailableError('no endpoint is left to try', step=_STEP)
        for name in suspect_order(
            self.fingerprint, endpoints_by_name, self._avoided_endpoints()
        ):
            single_endpoint_group = replace(group, endpoints=(endpoints_by_name[name],))
            try:
                return self._acquire_once(
                    replace(
                        request,
                        group=single_endpoint_group,
                        excluded=self.slot_request.excluded,
                        is_exclusive=True,
                    )
                )
            except DeadlineError:
                raise
            except UnavailableError as error:
                last_error = error
            self._quarantine_status()
        raise last_error

    def _acquire_once(self, request: SlotRequest) -> Slot:
        try:
            return self.dependencies.slots.acquire(request)
        except PeerError as error:
            # A failed order to an endpoint, such as a load, has not executed the request.
            error.run_state = RunState.NOT_RUN
            for endpoint in request.group.endpoints:
                if endpoint.address == error.peer:
                    self.record_failure(endpoint.name, is_certain=True)
            raise

    def _avoided_endpoints(self) -> frozenset[str]:
        return frozenset(
            name
            for name, count in self._failures.items()
            if count >= _FAILURES_TO_AVOID
        )

    def _quarantine_status(self) -> QuarantineStatus:
        """Return the quarantine status; raises QuarantinedError."""
        if not self.fingerprint:
            return QuarantineStatus.CLEAR
        quarantine_status = self.dependencies.crash_reports.quarantine_status(
            self.fingerprint
        )
        if quarantine_status is QuarantineStatus.QUARANTINED:
            raise QuarantinedError(
                'the request was running on two endpoints when they crashed', step=_STEP
            )
        return quarantine_status
