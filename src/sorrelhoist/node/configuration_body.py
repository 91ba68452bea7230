"""The configuration as one message between processes."""

import zlib

from ..decisions.configuration_records import (
    Checkpoint,
    decode_record,
    encode_record,
)
from ..exceptions import PeerError
from ..messages.gen import ttypes

MAX_TEXT_BYTES = 64 * 1024 * 1024
COMPRESSION_LEVEL = 6


def to_body(state: Checkpoint) -> ttypes.ConfigurationBody:
    """Pack a state; its documents travel as compressed JSON."""
    text = encode_record(state).encode()
    return ttypes.ConfigurationBody(
        effective_offset=state.effective_offset,
        revision=state.revision,
        digest=state.digest,
        documents=zlib.compress(text, COMPRESSION_LEVEL),
    )


def from_body(body: ttypes.ConfigurationBody) -> Checkpoint:
    """Unpack a state.

    Raises
    ------
    PeerError
        If the body is damaged or contradicts itself.
    """
    decompressor = zlib.decompressobj()
    try:
        text = decompressor.decompress(body.documents, MAX_TEXT_BYTES)
        record = decode_record(text.decode())
    except (zlib.error, ValueError, TypeError) as error:
        raise _damaged(str(error)) from error
    if not isinstance(record, Checkpoint):
        raise _damaged("it holds no state")
    is_same = record.effective_offset == body.effective_offset
    if not is_same or record.digest != body.digest:
        raise _damaged("it names another state than it holds")
    return record


def _damaged(cause: str) -> PeerError:
    return PeerError(
        f"A configuration from a peer is damaged: {cause}.",
        "Run the same release on both sides.",
    )
