"""Records of the topic ``claims.SERVICE``: claims, voids and outcomes.

Each record is one compact JSON object. A reader skips records that it can't decode.
Whether it can depends on the text alone, so every reader skips the same records.
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
    """The process that made a claim, identified by node and boot id."""

    node_id: str
    boot_id: str


@attrs.frozen
class Claim:
    """The intent to call the service once for a key.

    Parameters
    ----------
    key_hash, fingerprint : bytes
        Hash of the idempotency key; hash of workspace, method, path and body.
    claim_id : bytes of length ID_BYTES
        Random and never reused.
    claimant : Claimant
        The only process that may call the service or void the claim.
    """

    key_hash: bytes
    fingerprint: bytes
    claim_id: bytes
    claimant: Claimant


@attrs.frozen
class Void:
    """The claimant's guarantee that it has not called and never will."""

    key_hash: bytes
    claim_id: bytes
    claimant: Claimant


@attrs.frozen
class Outcome:
    """Answer of the service to the call of a claim.

    Parameters
    ----------
    key_hash, claim_id : bytes
        Identify the claim.
    status : int
        HTTP status of the service's answer.
    content_type : str
        Content type of the body.
    body : bytes or None
        None if it was larger than `MAX_OUTCOME_BODY_BYTES`.
    """

    key_hash: bytes
    claim_id: bytes
    status: int
    content_type: str
    body: bytes | None


ClaimRecord = Claim | Void | Outcome


def outcome_of(claim: Claim, status: int, content_type: str, body: bytes) -> Outcome:
    """Return the outcome of a claim; a body that is too large is left out."""
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
    """Decode a record, or return None if this release can't decode it."""
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
                "key": _encode_base64(key_hash),
                "fp": _encode_base64(fingerprint),
                "id": _encode_base64(claim_id),
                "by": [by.node_id, by.boot_id],
            }
        case Void(key_hash, claim_id, by):
            return {
                "t": "void",
                "key": _encode_base64(key_hash),
                "id": _encode_base64(claim_id),
                "by": [by.node_id, by.boot_id],
            }
        case Outcome(key_hash, claim_id, status, content_type, body):
            return {
                "t": "outcome",
                "key": _encode_base64(key_hash),
                "id": _encode_base64(claim_id),
                "status": status,
                "type": content_type,
                "body": None if body is None else _encode_base64(body),
            }


def _record(fields: dict[str, Any]) -> ClaimRecord | None:
    match fields["t"]:
        case "claim":
            return Claim(
                _decode_id(fields["key"]),
                _decode_id(fields["fp"]),
                _decode_id(fields["id"]),
                _claimant(fields["by"]),
            )
        case "void":
            return Void(
                _decode_id(fields["key"]),
                _decode_id(fields["id"]),
                _claimant(fields["by"]),
            )
        case "outcome":
            return Outcome(
                _decode_id(fields["key"]),
                _decode_id(fields["id"]),
                _status(fields["status"]),
                _name(fields["type"]),
                None if fields["body"] is None else _decode_base64(fields["body"]),
            )
    return None


def _claimant(value: Any) -> Claimant:
    node_id, boot_id = value
    return Claimant(_name(node_id), _name(boot_id))


def _name(value: Any) -> str:
    if not isinstance(value, str) or len(value) > MAX_NAME_CHARS:
        raise ValueError("not a string, or too long")
    value.encode()
    return value


def _status(value: Any) -> int:
    if type(value) is not int or not 100 <= value <= 999:
        raise ValueError("not an HTTP status code")
    return value


def _decode_id(value: Any) -> bytes:
    decoded = _decode_base64(value)
    if len(decoded) != ID_BYTES:
        raise ValueError("not an id of 16 bytes")
    return decoded


def _decode_base64(value: Any) -> bytes:
    if not isinstance(value, str):
        raise ValueError("not base64 text")
    try:
        return base64.b64decode(value, validate=True)
    except binascii.Error as error:
        raise ValueError("not base64 text") from error


def _encode_base64(value: bytes) -> str:
    return base64.b64encode(value).decode()
