"""Records of the topic ``claims.SERVICE``: claims, voids and outcomes.

Each record is one compact JSON object. A reader skips what it can't read; the
rule depends on the text alone, so that every reader skips the same records.
"""

import base64
import binascii
import json
from typing import Any

import attrs

ID_BYTES = 16
MAX_OUTCOME_BODY_BYTES = 32 * 1024
MAX_RECORD_CHARS = 64 * 1024
MAX_NAME_CHARS = 256


@attrs.frozen
class Claimant:
    """The process that made a claim: a node and the boot of its process."""

    node_id: str
    boot_id: str


@attrs.frozen
class Claim:
    """The intent to call the service once for a key.

    Parameters
    ----------
    key_hash, fingerprint : bytes
        Of the key within its workspace, and of what the call asks for.
    claim_id : bytes of length ID_BYTES
        Random; never used twice.
    claimant : Claimant
        Who may call, and who alone may void the claim.
    """

    key_hash: bytes
    fingerprint: bytes
    claim_id: bytes
    claimant: Claimant


@attrs.frozen
class Void:
    """The claimant's word that it hasn't called and never will."""

    key_hash: bytes
    claim_id: bytes
    claimant: Claimant


@attrs.frozen
class Outcome:
    """What the service answered to a claim's call.

    Parameters
    ----------
    key_hash, claim_id : bytes
        Of the claim.
    status : int
        HTTP status of the service's answer.
    content_type : str
        Of the body.
    body : bytes or None
        None if it was over `MAX_OUTCOME_BODY_BYTES`.
    """

    key_hash: bytes
    claim_id: bytes
    status: int
    content_type: str
    body: bytes | None


ClaimRecord = Claim | Void | Outcome


def outcome_of(claim: Claim, status: int, content_type: str, body: bytes) -> Outcome:
    """Make the outcome of a claim, leaving out a body that is too large."""
    kept = body if len(body) <= MAX_OUTCOME_BODY_BYTES else None
    return Outcome(
        claim.key_hash, claim.claim_id, status, content_type[:MAX_NAME_CHARS], kept
    )


def encode_record(record: ClaimRecord) -> str:
    """Encode a record as compact JSON text.

    Examples
    --------
    >>> void = Void(bytes(16), bytes(16), Claimant("a", "b"))
    >>> decode_record(encode_record(void)) == void
    True
    """
    return json.dumps(_fields(record), separators=(",", ":"))


def decode_record(text: str) -> ClaimRecord | None:
    """Decode a record, or return None if this release can't read it."""
    if len(text) > MAX_RECORD_CHARS:
        return None
    try:
        return _record(json.loads(text))
    except (ValueError, TypeError, KeyError, RecursionError):
        return None


def _fields(record: ClaimRecord) -> dict[str, Any]:
    match record:
        case Claim(key_hash, fingerprint, claim_id, by):
            return {
                "t": "claim",
                "key": _text(key_hash),
                "fp": _text(fingerprint),
                "id": _text(claim_id),
                "by": [by.node_id, by.boot_id],
            }
        case Void(key_hash, claim_id, by):
            return {
                "t": "void",
                "key": _text(key_hash),
                "id": _text(claim_id),
                "by": [by.node_id, by.boot_id],
            }
        case Outcome(key_hash, claim_id, status, content_type, body):
            return {
                "t": "outcome",
                "key": _text(key_hash),
                "id": _text(claim_id),
                "status": status,
                "type": content_type,
                "body": None if body is None else _text(body),
            }


def _record(fields: dict[str, Any]) -> ClaimRecord | None:
    match fields["t"]:
        case "claim":
            return Claim(
                _hash(fields["key"]),
                _hash(fields["fp"]),
                _hash(fields["id"]),
                _claimant(fields["by"]),
            )
        case "void":
            return Void(
                _hash(fields["key"]), _hash(fields["id"]), _claimant(fields["by"])
            )
        case "outcome":
            return Outcome(
                _hash(fields["key"]),
                _hash(fields["id"]),
                _status(fields["status"]),
                _name(fields["type"]),
                None if fields["body"] is None else _bytes(fields["body"]),
            )
    return None


def _claimant(value: Any) -> Claimant:
    node_id, boot_id = value
    return Claimant(_name(node_id), _name(boot_id))


def _name(value: Any) -> str:
    if not isinstance(value, str) or len(value) > MAX_NAME_CHARS:
        raise ValueError("not a name")
    value.encode()
    return value


def _status(value: Any) -> int:
    if type(value) is not int or not 100 <= value <= 999:
        raise ValueError("not a status")
    return value


def _hash(value: Any) -> bytes:
    decoded = _bytes(value)
    if len(decoded) != ID_BYTES:
        raise ValueError("not an id")
    return decoded


def _bytes(value: Any) -> bytes:
    if not isinstance(value, str):
        raise ValueError("not base64 text")
    try:
        return base64.b64decode(value, validate=True)
    except binascii.Error as error:
        raise ValueError("not base64 text") from error


def _text(value: bytes) -> str:
    return base64.b64encode(value).decode()
