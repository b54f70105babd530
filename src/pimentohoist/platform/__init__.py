"""Translation between the messages of the users' platform and the package's types.

The names of the platform's messages appear only in this package; it returns the types
of `pimentohoist.entry_models`.
"""

from pimentohoist.platform._directory import (
    DIRECTORY_PATH,
    DirectoryQuery,
    decode_directory_query,
    encode_directory,
)
from pimentohoist.platform._declaration_documents import (
    decode_adapter_version,
    decode_declaration,
)
from pimentohoist.platform._documents import decode_endpoint, decode_report
from pimentohoist.platform._era import EraChangedError, EraTracker, StaleAnswerError
from pimentohoist.platform._record_identity import endpoint_identity
from pimentohoist.platform._notices import decode_notice
from pimentohoist.platform._orders import EngineOrders, OrderReply
from pimentohoist.platform._requests import (
    Attribution,
    RawRequest,
    attribute_response,
    forwarded_copy_headers,
    forwarding_error_headers,
    response_headers,
    is_not_executed,
    forwarded_headers,
    read_request,
)
from pimentohoist.platform._settings import (
    SETTINGS_VARIABLE,
    EntrySettings,
    InstanceLimits,
    read_entry_settings,
)
from pimentohoist.platform._store import (
    ADAPTER_VERSION_KEYS,
    DECLARATION_KEY,
    ENDPOINT_RECORDS,
    EVACUATION_KEYS,
    MEMBER_RECORDS,
    OPERATOR_RECORDS,
    STREAM_RECORDS,
    KeyedRecord,
    Membership,
    ReadPosition,
    RecordsExpiredError,
    SentRead,
    Store,
)

__all__ = (
    'ADAPTER_VERSION_KEYS',
    'DECLARATION_KEY',
    'DIRECTORY_PATH',
    'ENDPOINT_RECORDS',
    'EVACUATION_KEYS',
    'MEMBER_RECORDS',
    'OPERATOR_RECORDS',
    'SETTINGS_VARIABLE',
    'STREAM_RECORDS',
    'Attribution',
    'DirectoryQuery',
    'EngineOrders',
    'EntrySettings',
    'EraChangedError',
    'EraTracker',
    'InstanceLimits',
    'KeyedRecord',
    'Membership',
    'OrderReply',
    'RawRequest',
    'ReadPosition',
    'RecordsExpiredError',
    'SentRead',
    'StaleAnswerError',
    'Store',
    'attribute_response',
    'forwarded_copy_headers',
    'forwarding_error_headers',
    'response_headers',
    'decode_adapter_version',
    'decode_declaration',
    'decode_directory_query',
    'decode_endpoint',
    'decode_notice',
    'decode_report',
    'encode_directory',
    'endpoint_identity',
    'is_not_executed',
    'forwarded_headers',
    'read_entry_settings',
    'read_request',
)
