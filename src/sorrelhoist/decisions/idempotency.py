"""Idempotency keys: UUIDv7, so each key contains its creation time.

The log retains records for a limited time, so a key is honoured for a limited time too.
Three limits belong together: a key is accepted up to `window_s` after its creation, a
call takes at most `max_budget_s`, and the clocks of callers and agents differ by at
most `skew_s`. Under these limits no call can meet a claim with its key that is older
than `retention_s`. The log must retain records for at least that long.
"""

import hashlib

import attrs
import uuid6
from returns.result import Failure, Result, Success

KEY_VERSION = 7
MS_PER_S = 1000
HASH_BYTES = 16
MAX_KEY_CHARS = 64
DEFAULT_WINDOW_S = 1800.0
DEFAULT_SKEW_S = 30.0
DEFAULT_MAX_BUDGET_S = 300.0


@attrs.frozen
class KeyWindow:
    """How long an idempotency key is honoured.

    Parameters
    ----------
    window_s : float
        Maximum age of an accepted key.
    skew_s : float
        Maximum difference between the clocks of callers and agents.
    max_budget_s : float
        Maximum duration of a call.
    """

    window_s: float = DEFAULT_WINDOW_S
    skew_s: float = DEFAULT_SKEW_S
    max_budget_s: float = DEFAULT_MAX_BUDGET_S

    @property
    def retention_s(self) -> float:
        """How long each claim must be retained, by the age of its record.

        The time in a key may be ahead of the time of its claim by `skew_s`. Another
        claim may follow until the key is older than `window_s` on a clock that is
        behind by `skew_s`, and the call of that claim may last `max_budget_s`.
        """
        return self.window_s + 2 * self.skew_s + self.max_budget_s


@attrs.frozen
class IdempotencyKey:
    """An idempotency key in canonical form, with its creation time.

    Parameters
    ----------
    text : str
        The UUID in lower case with hyphens.
    created_unix_s : float
        When the caller created it, in seconds since 1970.
    """

    text: str
    created_unix_s: float


@attrs.frozen
class KeyMalformed:
    """The key is not a UUIDv7."""

    reason: str


@attrs.frozen
class KeyExpired:
    """The key is older than the window."""

    age_s: float


@attrs.frozen
class KeyFromFuture:
    """The key's time is ahead of the agent's clock by more than the skew."""

    ahead_s: float


KeyFault = KeyMalformed | KeyExpired | KeyFromFuture


def parse_key(text: str) -> Result[IdempotencyKey, KeyMalformed]:
    """Parse a caller's idempotency key.

    Parameters
    ----------
    text : str
        The key as the caller sent it.

    Returns
    -------
    Result of IdempotencyKey or KeyMalformed

    Examples
    --------
    >>> parse_key("01A23DDA-72CA-738B-954E-F93FA3E0C6F4").unwrap().created_unix_s
    1796334056.138
    >>> parse_key("booking-17").failure()
    KeyMalformed(reason='it is no UUID')
    """
    if len(text) > MAX_KEY_CHARS:
        return Failure(KeyMalformed(f"it is longer than {MAX_KEY_CHARS} characters"))
    try:
        key = uuid6.UUID(text)
    except ValueError:
        return Failure(KeyMalformed("it is no UUID"))
    if key.version != KEY_VERSION:
        return Failure(KeyMalformed(f"its UUID version is not {KEY_VERSION}"))
    return Success(IdempotencyKey(str(key), key.time / MS_PER_S))


def check_key(
    text: str, now_unix_s: float, window: KeyWindow
) -> Result[IdempotencyKey, KeyFault]:
    """Parse a key and check its creation time against the window.

    Parameters
    ----------
    text : str
        The key as the caller sent it.
    now_unix_s : float
        The present time, in seconds since 1970.
    window : KeyWindow
        How long keys are honoured.

    Returns
    -------
    Result of IdempotencyKey or KeyMalformed, KeyExpired, KeyFromFuture
    """
    match parse_key(text):
        case Success(key):
            return _check_age(key, now_unix_s - key.created_unix_s, window)
        case malformed:
            return malformed


def _check_age(
    key: IdempotencyKey, age_s: float, window: KeyWindow
) -> Result[IdempotencyKey, KeyFault]:
    if age_s > window.window_s:
        return Failure(KeyExpired(age_s))
    if age_s < -window.skew_s:
        return Failure(KeyFromFuture(-age_s))
    return Success(key)


def key_hash(key: IdempotencyKey) -> bytes:
    """Hash a key for the index.

    Returns
    -------
    bytes of length HASH_BYTES
    """
    return _digest(key.text.encode())


def fingerprint(workspace: str, method: str, path: str, body: bytes) -> bytes:
    """Hash the contents of a call, to distinguish a retry from a reused key.

    The hash includes the workspace: a call from another workspace with the same key is
    refused as a reused key and never receives the stored answer.

    Returns
    -------
    bytes of length HASH_BYTES
    """
    return _digest(workspace.encode(), method.upper().encode(), path.encode(), body)


def _digest(*parts: bytes) -> bytes:
    digest = hashlib.sha256()
    for part in parts:
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.digest()[:HASH_BYTES]
