"""Put the pieces of one answer in order, and name streams so that they can be found.

Pieces may come late, twice, out of order, with gaps, or belong to another
request. The assembler passes on each token once and in order, or says that a
gap has to be fetched again.
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
    """Tokens to pass on to the caller now.

    Parameters
    ----------
    sequence : int
        Number of the first of them.
    tokens : list of str
    """

    sequence: int
    tokens: list[str]


@attrs.frozen
class Gap:
    """Tokens from `sequence` on are missing and must be fetched again."""

    sequence: int


@attrs.frozen
class Foreign:
    """The piece belongs to another request and was dropped."""

    request_id: str


@attrs.define
class StreamAssembler:
    """The answer of one request, as far as it has come.

    Parameters
    ----------
    request_id : str
        Pieces with another id are dropped.
    tokens : list of str
        All tokens so far, in order.
    """

    request_id: str
    tokens: list[str] = attrs.field(factory=list)

    @property
    def next_sequence(self) -> int:
        """Number of the next token that the caller needs."""
        return len(self.tokens)

    def accept(self, piece: ttypes.Piece) -> Delivery | Gap | Foreign:
        """Take one piece in.

        Parameters
        ----------
        piece : Piece

        Returns
        -------
        Delivery, Gap or Foreign
            A delivery may be empty, for pieces that came before.
        """
        if piece.request_id != self.request_id:
            return Foreign(piece.request_id)
        start = self.next_sequence
        if piece.sequence > start:
            return Gap(start)
        fresh = piece.tokens[start - piece.sequence :]
        self.tokens.extend(fresh)
        return Delivery(start, fresh)

    def is_whole(self, end: ttypes.StreamEnd) -> bool:
        """Tell whether the answer is complete according to its end."""
        return (
            end.request_id == self.request_id and end.total_tokens == self.next_sequence
        )


@attrs.frozen
class StreamName:
    """Where a stream runs and whose it is.

    Parameters
    ----------
    node_id : str
        The agent.
    request_id : str
    workspace : str
    """

    node_id: str
    request_id: str
    workspace: str


@attrs.frozen
class BadStreamId:
    """The stream id was not made by this system."""

    message: str = "The stream id is not valid. Send back an id as it was received."


def _signature(text: bytes, key: str) -> bytes:
    return hmac.new(key.encode(), text, sha256).digest()[:_SIGNATURE_BYTES]


def sign_stream_id(name: StreamName, key: str) -> str:
    """Make the id that a caller can use to come back to a stream.

    Parameters
    ----------
    name : StreamName
    key : str
        Secret that all processes share.

    Returns
    -------
    str
        URL-safe text.
    """
    parts = (name.node_id, name.request_id, name.workspace)
    text = _SEPARATOR.join(parts).encode()
    return base64.urlsafe_b64encode(_signature(text, key) + text).decode().rstrip("=")


def read_stream_id(stream_id: str, key: str) -> Result[StreamName, BadStreamId]:
    """Check an id and take it apart.

    Examples
    --------
    >>> name = StreamName("agent-1", "r-1", "desk")
    >>> read_stream_id(sign_stream_id(name, "k" * 16), "k" * 16).unwrap() == name
    True
    """
    try:
        padded = stream_id + "=" * (-len(stream_id) % 4)
        data = base64.urlsafe_b64decode(padded.encode("ascii"))
        signature, text = data[:_SIGNATURE_BYTES], data[_SIGNATURE_BYTES:]
        if not hmac.compare_digest(signature, _signature(text, key)):
            return Failure(BadStreamId())
        node_id, request_id, workspace = text.decode().split(_SEPARATOR)
    except ValueError:
        return Failure(BadStreamId())
    return Success(StreamName(node_id, request_id, workspace))
