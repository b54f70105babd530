"""Callers' API keys: created once, stored only as a salted digest.

A key has the form ``ph_<name>_<secret>``. The name selects the stored digest; the secret
has 256 bits of entropy, so that one round of a salted hash suffices.
"""

from __future__ import annotations

import hashlib
import hmac
import secrets

from pimentohoist.configuration import Key
from pimentohoist.exceptions import AuthenticationError

_PREFIX = 'ph'
_SECRET_BYTES = 32
_SALT_BYTES = 16
_STEP = 'authenticate'
_BEARER_SCHEME = 'bearer'
_DIGEST_HEX_DIGITS = 64

UNKNOWN_KEY = Key(
    'unknown', 'unknown', '0' * (2 * _SALT_BYTES), '0' * _DIGEST_HEX_DIGITS
)
"""The secret is compared with this key if no key has the given name."""


def create_key(name: str, workspace: str) -> tuple[Key, str]:
    """Return a new key's section and its full text, which is not stored."""
    salt = secrets.token_hex(_SALT_BYTES)
    secret = secrets.token_hex(_SECRET_BYTES)
    section = Key(name, workspace, salt, _digest(salt, secret))
    return section, f'{_PREFIX}_{name}_{secret}'


def split_authorization(header: str) -> tuple[str, str]:
    """Return the key's name and secret from an ``Authorization`` header.

    Raises
    ------
    AuthenticationError
        The header has no bearer key, or the key is malformed.
    """
    scheme, _, text = header.strip().partition(' ')
    if scheme.lower() != _BEARER_SCHEME:
        raise AuthenticationError(
            'header Authorization: expected a bearer key', step=_STEP
        )
    prefix, _, rest = text.strip().partition('_')
    name, _, secret = rest.rpartition('_')
    if prefix != _PREFIX or not name or not secret:
        raise AuthenticationError('the key is not valid', step=_STEP)
    return name, secret


def is_secret_of(key: Key, secret: str) -> bool:
    """Return whether `secret` belongs to `key`, in constant time."""
    return hmac.compare_digest(_digest(key.salt, secret), key.digest)


def _digest(salt: str, secret: str) -> str:
    return hashlib.sha256(bytes.fromhex(salt) + secret.encode()).hexdigest()
