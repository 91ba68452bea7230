"""Encode and decode envelopes, and frame them for TCP."""

import struct

import attrs
from thrift.protocol.TCompactProtocol import TCompactProtocolAcceleratedFactory
from thrift.Thrift import TException
from thrift.TSerialization import deserialize, serialize

from ..exceptions import PeerError
from .gen import ttypes

MAX_FRAME_BYTES = 32 * 1024 * 1024
MAX_CONTAINER_ITEMS = 4 * 1024 * 1024
MAX_DATAGRAM_BYTES = 1400
LENGTH_PREFIX_BYTES = 4

_FACTORY = TCompactProtocolAcceleratedFactory(
    string_length_limit=MAX_FRAME_BYTES,
    container_length_limit=MAX_CONTAINER_ITEMS,
    fallback=True,
)
_DECODE_ERRORS = (
    TException,
    ArithmeticError,
    EOFError,
    MemoryError,
    TypeError,
    ValueError,
)
_LENGTH = struct.Struct(">I")
_BODY_FIELDS = {
    field[3][0]: field[2]
    for field in ttypes.Envelope.thrift_spec
    if field is not None and isinstance(field[3], list)
}


@attrs.frozen
class Message:
    """One message and the call that it belongs to.

    Parameters
    ----------
    call_id : int
        Chosen by the caller; replies carry the same number. 0 for datagrams.
    body : object
        One of the structures of ``sorrelhoist.thrift``.
    """

    call_id: int
    body: object


def encode(message: Message) -> bytes:
    """Encode a message as one envelope.

    Parameters
    ----------
    message : Message
        Its body must be one of the fields of the envelope.

    Returns
    -------
    bytes
        The compact-protocol encoding, without a length prefix.
    """
    envelope = ttypes.Envelope(call_id=message.call_id)
    setattr(envelope, _BODY_FIELDS[type(message.body)], message.body)
    return serialize(envelope, _FACTORY)


def decode(data: bytes) -> Message:
    """Decode one envelope.

    Parameters
    ----------
    data : bytes
        What `encode` made; anything else is refused.

    Returns
    -------
    Message

    Raises
    ------
    PeerError
        If the bytes are no envelope, or one without exactly one body.
    """
    envelope = ttypes.Envelope()
    try:
        deserialize(envelope, data, _FACTORY)
    except _DECODE_ERRORS as error:
        raise PeerError(
            f"A frame of {len(data)} bytes is no envelope: {error}.",
            "Run the same release on both sides.",
        ) from error
    bodies = [
        body
        for name in _BODY_FIELDS.values()
        if (body := getattr(envelope, name)) is not None
    ]
    if len(bodies) != 1 or not isinstance(envelope.call_id, int):
        raise PeerError(
            f"An envelope holds {len(bodies)} bodies, not one.",
            "Run the same release on both sides.",
        )
    return Message(envelope.call_id, bodies[0])


def frame(message: Message) -> bytes:
    """Encode a message with its length prefix, for TCP."""
    data = encode(message)
    return _LENGTH.pack(len(data)) + data


def frame_length(prefix: bytes) -> int:
    """Read a length prefix.

    Raises
    ------
    PeerError
        If the frame would be larger than `MAX_FRAME_BYTES`.
    """
    (length,) = _LENGTH.unpack(prefix)
    if length > MAX_FRAME_BYTES:
        raise PeerError(
            f"A frame of {length} bytes is over the limit of {MAX_FRAME_BYTES}.",
            "Run the same release on both sides.",
        )
    return length
