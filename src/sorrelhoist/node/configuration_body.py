"""Encoding of the configuration as a message between processes."""

import zlib

from ..decisions.configuration_records import (
    Checkpoint,
    decode_record,
    encode_record,
)
from ..exceptions import PeerError
from ..messages.gen import ttypes

MAX_DECOMPRESSED_BYTES = 64 * 1024 * 1024
COMPRESSION_LEVEL = 6


def to_body(state: Checkpoint) -> ttypes.ConfigurationBody:
    """Encode a state as a message, its documents as zlib-compressed JSON."""
    text = encode_record(state).encode()
    return ttypes.ConfigurationBody(
        effective_offset=state.effective_offset,
        revision=state.revision,
        digest=state.digest,
        documents=zlib.compress(text, COMPRESSION_LEVEL),
    )


def from_body(body: ttypes.ConfigurationBody) -> Checkpoint:
    """Decode a state from a message.

    Raises
    ------
    PeerError
        If the body can't be decoded, or its offset or digest differs from that of
        the state in it.
    """
    decompressor = zlib.decompressobj()
    try:
        text = decompressor.decompress(body.documents, MAX_DECOMPRESSED_BYTES)
        record = decode_record(text.decode())
    except (zlib.error, ValueError, TypeError) as error:
        raise _damaged_error(str(error)) from error
    if not isinstance(record, Checkpoint):
        raise _damaged_error("it holds no state")
    is_same = record.effective_offset == body.effective_offset
    if not is_same or record.digest != body.digest:
        raise _damaged_error("it names another state than it holds")
    return record


def _damaged_error(cause: str) -> PeerError:
    return PeerError(
        f"A configuration from a peer is damaged: {cause}.",
        "Run the same release on both sides.",
    )
