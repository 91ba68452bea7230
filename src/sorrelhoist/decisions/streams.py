"""Reassembly of token streams, and signed stream ids for resuming them.

Pieces of a stream may arrive late, duplicated, out of order, with gaps, or belong to
another request. The assembler delivers each token once and in order, or reports that a
gap must be fetched again.
"""

import base64
import hmac
from hashlib import sha256

import attrs
from returns.result import Failure, Result, Success

from ..messages.gen import ttypes

_SIGNATURE_BYTES = 12
_SEPARATOR = "\n"


@attrs.frozen
class Delivery:
    """New tokens to send to the caller.

    Parameters
    ----------
    sequence : int
        Sequence number of the first token.
    tokens : list of str
        Empty if the piece contained no new token.
    """

    sequence: int
    tokens: list[str]


@attrs.frozen
class Gap:
    """Tokens starting at `sequence` are missing and must be fetched again."""

    sequence: int


@attrs.frozen
class RequestMismatch:
    """The piece belongs to another request and was dropped."""

    request_id: str


@attrs.define
class StreamAssembler:
    """Reassembles the token stream of one request.

    Parameters
    ----------
    request_id : str
        Pieces with a different request id are dropped.
    tokens : list of str
        All tokens received so far, in order.
    """

    request_id: str
    tokens: list[str] = attrs.field(factory=list)

    @property
    def next_sequence(self) -> int:
        """Sequence number of the next token that the caller needs."""
        return len(self.tokens)

    def accept(self, piece: ttypes.Piece) -> Delivery | Gap | RequestMismatch:
        """Process one piece of the stream.

        Parameters
        ----------
        piece : Piece

        Returns
        -------
        Delivery, Gap or RequestMismatch
            The delivery is empty if the piece has no new tokens.
        """
        if piece.request_id != self.request_id:
            return RequestMismatch(piece.request_id)
        start = self.next_sequence
        if piece.sequence > start:
            return Gap(start)
        new_tokens = piece.tokens[start - piece.sequence :]
        self.tokens.extend(new_tokens)
        return Delivery(start, new_tokens)

    def is_complete(self, end: ttypes.StreamEnd) -> bool:
        """Return whether all tokens up to the end of the stream have arrived."""
        return (
            end.request_id == self.request_id and end.total_tokens == self.next_sequence
        )


@attrs.frozen
class StreamName:
    """The agent that runs a stream, its request and its workspace.

    Parameters
    ----------
    node_id : str
        Node id of the agent.
    request_id : str
    workspace : str
    """

    node_id: str
    request_id: str
    workspace: str


@attrs.frozen
class InvalidStreamId:
    """The stream id is malformed or its signature doesn't match."""

    message: str = "The stream id is not valid. Send back an id as it was received."


def _signature(text: bytes, key: str) -> bytes:
    return hmac.new(key.encode(), text, sha256).digest()[:_SIGNATURE_BYTES]


def sign_stream_id(name: StreamName, key: str) -> str:
    """Return a signed id with which a caller can resume a stream.

    Parameters
    ----------
    name : StreamName
    key : str
        Signing key shared by all processes.

    Returns
    -------
    str
        URL-safe text.
    """
    parts = (name.node_id, name.request_id, name.workspace)
    text = _SEPARATOR.join(parts).encode()
    return base64.urlsafe_b64encode(_signature(text, key) + text).decode().rstrip("=")


def verify_stream_id(stream_id: str, key: str) -> Result[StreamName, InvalidStreamId]:
    """Verify the signature of a stream id and decode it.

    Examples
    --------
    >>> name = StreamName("agent-1", "r-1", "desk")
    >>> verify_stream_id(sign_stream_id(name, "k" * 16), "k" * 16).unwrap() == name
    True
    """
    try:
        padded = stream_id + "=" * (-len(stream_id) % 4)
        data = base64.urlsafe_b64decode(padded.encode("ascii"))
        signature, text = data[:_SIGNATURE_BYTES], data[_SIGNATURE_BYTES:]
        if not hmac.compare_digest(signature, _signature(text, key)):
            return Failure(InvalidStreamId())
        node_id, request_id, workspace = text.decode().split(_SEPARATOR)
    except ValueError:
        return Failure(InvalidStreamId())
    return Success(StreamName(node_id, request_id, workspace))
