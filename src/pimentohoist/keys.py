"""Callers' keys: made once, kept only as a salted digest.

A key reads ``ph_<name>_<secret>``. The name finds the digest; the secret has 256 bits of
entropy, so that one round of a salted hash suffices.
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
_BEARER = 'bearer'
_DIGEST_DIGITS = 64

UNKNOWN_KEY = Key('unknown', 'unknown', '0' * (2 * _SALT_BYTES), '0' * _DIGEST_DIGITS)
"""Compared with where no key has the name that was given."""


def create_key(name: str, workspace: str) -> tuple[Key, str]:
    """Return a new key's section and its full text, which is kept nowhere."""
    salt = secrets.token_hex(_SALT_BYTES)
    secret = secrets.token_hex(_SECRET_BYTES)
    section = Key(name, workspace, salt, _digest(salt, secret))
    return section, f'{_PREFIX}_{name}_{secret}'


def split_authorization(header: str) -> tuple[str, str]:
    """Return name and secret of an ``Authorization`` header.

    Raises
    ------
    AuthenticationError
        There is no bearer key or it is malformed.
    """
    scheme, _, text = header.strip().partition(' ')
    if scheme.lower() != _BEARER:
        raise AuthenticationError('a bearer key is required', step=_STEP)
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
