"""Encoding and decoding of message envelopes, and their framing for TCP."""

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

_PROTOCOL_FACTORY = TCompactProtocolAcceleratedFactory(
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
_LENGTH_PREFIX = struct.Struct(">I")
_BODY_FIELDS = {
    field[3][0]: field[2]
    for field in ttypes.Envelope.thrift_spec
    if field is not None and isinstance(field[3], list)
}


@attrs.frozen
class Message:
    """A message, with the id of the call that it belongs to.

    Parameters
    ----------
    call_id : int
        Chosen by the caller and repeated in each reply; 0 in datagrams.
    body : object
        One of the structs in ``sorrelhoist.thrift`` that `Envelope` has a field for.
    """

    call_id: int
    body: object


def encode(message: Message) -> bytes:
    """Encode a message as an envelope.

    Parameters
    ----------
    message : Message
        Its body must be of a class that the envelope has a field for.

    Returns
    -------
    bytes
        The compact-protocol encoding, without a length prefix.
    """
    envelope = ttypes.Envelope(call_id=message.call_id)
    setattr(envelope, _BODY_FIELDS[type(message.body)], message.body)
    return serialize(envelope, _PROTOCOL_FACTORY)


def decode(data: bytes) -> Message:
    """Decode an envelope.

    Parameters
    ----------
    data : bytes
        Output of `encode`; anything else is rejected.

    Returns
    -------
    Message

    Raises
    ------
    PeerError
        If the bytes are not a valid envelope, or it does not have exactly one body.
    """
    envelope = ttypes.Envelope()
    try:
        deserialize(envelope, data, _PROTOCOL_FACTORY)
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
    """Encode a message as a TCP frame: length prefix and envelope."""
    data = encode(message)
    return _LENGTH_PREFIX.pack(len(data)) + data


def frame_length(prefix: bytes) -> int:
    """Decode the length prefix of a TCP frame, in bytes.

    Raises
    ------
    PeerError
        If the frame would be larger than `MAX_FRAME_BYTES`.
    """
    (length,) = _LENGTH_PREFIX.unpack(prefix)
    if length > MAX_FRAME_BYTES:
        raise PeerError(
            f"A frame of {length} bytes is over the limit of {MAX_FRAME_BYTES}.",
            "Run the same release on both sides.",
        )
    return length
