"""Read on in a stream that another connection, or another entry, began."""

import asyncio
import json
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import TYPE_CHECKING

from ..decisions.streams import (
    Delivery,
    StreamAssembler,
    StreamName,
    sign_stream_id,
)
from ..exceptions import DeadlineExceededError, EndpointFailedError, PeerError
from ..messages.gen import ttypes
from .answers import DONE_EVENT, event
from .calls import SILENCE_TIMEOUT_S

if TYPE_CHECKING:
    from .app import Entry

MAX_ATTACHES = 3


def _lost() -> EndpointFailedError:
    return EndpointFailedError(
        "The stream is no longer there.", "Send the request again."
    )


async def follow_stream(
    entry: "Entry", name: StreamName, sequence: int, deadline_s: float
) -> AsyncIterator[str]:
    """Read on in a running stream.

    Parameters
    ----------
    entry : Entry
    name : StreamName
        Where it runs.
    sequence : int
        Number of the first token that the caller lacks.
    deadline_s : float

    Yields
    ------
    str
        Server-sent events.

    Raises
    ------
    EndpointFailedError
        If the stream is lost.
    """
    assembler = StreamAssembler(name.request_id, [""] * sequence)
    stream_id = sign_stream_id(name, entry.settings.stream_key)
    address = entry.fleet.address_of(name.node_id)
    if address is None:
        raise _lost()
    for _ in range(MAX_ATTACHES):
        attach = ttypes.Attach(
            request_id=name.request_id,
            from_sequence=assembler.next_sequence,
            entry_id=entry.settings.node_id,
        )
        try:
            async with entry.process.pool.open(address, attach) as receive:
                while True:
                    item = await _next(receive, entry, deadline_s)
                    match item:
                        case ttypes.Piece():
                            delivery = assembler.accept(item)
                            if not isinstance(delivery, Delivery):
                                break
                            if delivery.tokens:
                                text = "".join(delivery.tokens)
                                event_id = f"{stream_id}.{assembler.next_sequence}"
                                yield event(_chunk(name, text), event_id)
                        case ttypes.StreamEnd() if assembler.is_whole(item):
                            yield DONE_EVENT
                            return
                        case ttypes.StreamEnd():
                            break
                        case _:
                            raise _lost()
        except PeerError:
            continue
    raise _lost()


async def _next(
    receive: Callable[[], Awaitable], entry: "Entry", deadline_s: float
) -> object:
    left_s = deadline_s - entry.clock()
    if left_s <= 0:
        raise DeadlineExceededError("The deadline passed.")
    try:
        async with asyncio.timeout(min(left_s, SILENCE_TIMEOUT_S)):
            return await receive()
    except TimeoutError as error:
        raise PeerError("The agent went silent.") from error


def _chunk(name: StreamName, text: str) -> str:
    choice = {"index": 0, "delta": {"content": text}, "text": text}
    return json.dumps({"id": name.request_id, "choices": [choice]})
