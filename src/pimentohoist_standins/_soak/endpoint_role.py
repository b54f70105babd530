"""An engine or plain service as a process of the soak, with records of what reached it."""

from __future__ import annotations

import time
from dataclasses import replace
from http import HTTPStatus
from typing import Any, Self

from pimentohoist_standins._soak.record_files import RecordFile
from pimentohoist_standins._soak.records import OrderRecord, RunOutcome, RunRecord
from pimentohoist_standins.opaque_engine import OpaqueEngine

_MS_PER_S = 1000


class EndpointRole(OpaqueEngine):
    """An endpoint that writes a record of each request and order."""

    def __init__(
        self,
        address: list[Any],
        endpoint_id: str,
        group: str,
        model: str,
        version: str,
        path: str,
    ) -> None:
        super().__init__((address[0], address[1]), endpoint_id, model)
        self.group = group
        self.version = version
        self.records = RecordFile(path)
        self.arrivals: dict[int, RunRecord] = {}

    def __enter__(self) -> Self:
        """Open the file of records and start the server."""
        self.records.__enter__()
        return super().__enter__()

    def __exit__(self, *exc_info: object) -> None:
        """Stop the server and close the file."""
        super().__exit__(*exc_info)
        self.records.__exit__(*exc_info)

    def configure(self, **attributes: Any) -> None:
        """Set faults, such as ``is_silent``."""
        for name, setting in attributes.items():
            setattr(self.faults, name, setting)

    def falls(self) -> list[float]:
        """Return when it fell over, on the machine's monotonic clock."""
        return list(self.state.falls)

    def document(self, state: str = 'ready') -> dict[str, Any]:
        """Return the endpoint's entry in the store."""
        return self.entry(self.group, state)

    def order(self, document: dict[str, Any]) -> HTTPStatus:
        """Carry out an order and record it."""
        arrived_at = time.monotonic()
        status = super().order(document)
        record = OrderRecord(
            self.engine_id,
            document['holder'],
            document['fence'],
            document['opcode'],
            document.get('adapter', ''),
            status.value,
            arrived_at,
            len(self.state.adapters),
            self.state.capacity,
        )
        self.records.write(self.records.next_number(), record)
        return status

    def record_arrival(
        self, path: str, headers: dict[str, str], client_host: str
    ) -> int:
        """Record that a request arrived; it counts as cancelled until it ends."""
        _, _, adapter = headers.get('pimentohoist-model', '').partition('/')
        left_ms = headers.get('pimentohoist-deadline-ms')
        record = RunRecord(
            headers.get('pimentohoist-attempt-id', ''),
            self.engine_id,
            self.group,
            client_host,
            path,
            headers.get('pimentohoist-tenant', ''),
            adapter,
            self.state.versions.get(adapter, 0),
            int(headers.get('last-event-id', '0')),
            'api-key' in headers,
            None if left_ms is None else int(left_ms) / _MS_PER_S,
            time.monotonic(),
            None,
            RunOutcome.CANCELLED,
            software_version=self.version,
        )
        number = self.records.next_number()
        self.arrivals[number] = record
        self.records.write(number, record)
        return number

    def record_end(
        self, arrival: int, outcome: RunOutcome, status: int, last_event: int | None
    ) -> None:
        """Record how a request ended."""
        record = self.arrivals.pop(arrival)
        ended = replace(
            record,
            ended_at=time.monotonic(),
            outcome=outcome,
            status=status,
            last_event=last_event,
        )
        self.records.write(arrival, ended)
