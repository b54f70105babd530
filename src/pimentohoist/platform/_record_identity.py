"""What daemons have to agree on of an endpoint's record.

An endpoint writes its record again and again; most of that matters to none but the owner
of the endpoint, who asks for a report.
"""

from __future__ import annotations

import json
from collections.abc import Mapping
from typing import Any

from pimentohoist.exceptions import DocumentError
from pimentohoist.platform._document_fields import decode_document

_FIELDS = ('service', 'address', 'zone', 'slots', 'state', 'born', 'version')


def endpoint_identity(body: bytes) -> bytes:
    """Return the fields of a record that don't change with each write.

    A record that defines no endpoint is its own identity.
    """
    try:
        return decode_document(body, 'endpoint', _identity)
    except DocumentError:
        return body


def _identity(document: Mapping[str, Any]) -> bytes:
    names = [model['name'] for model in document.get('models', ())]
    is_cold = bool(document.get('cold-ms'))
    fields = [document.get(field) for field in _FIELDS]
    return json.dumps([*fields, is_cold, names]).encode()
