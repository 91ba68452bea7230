"""Read on in a stream that another connection, or another entry, began."""

import json
from collections.abc import AsyncGenerator
from contextlib import aclosing

from ..decisions.routing import RouteRequest, Target
from ..decisions.streams import (
    Delivery,
    StreamAssembler,
    StreamName,
    sign_stream_id,
)
from ..exceptions import EndpointFailedError
from ..messages.gen import ttypes
from .answers import DONE_EVENT, event
from .attempt import Attempt, Finished
from .grants import ExistingStream, PendingRequest
from .port import EntryPort


async def follow_stream(
    entry: EntryPort, name: StreamName, sequence: int
) -> AsyncGenerator[str, None]:
    """Read on in a running stream.

    Parameters
    ----------
    entry : EntryPort
    name : StreamName
        Where it runs.
    sequence : int
        Number of the first token that the caller lacks.

    Yields
    ------
    str
        Server-sent events.

    Raises
    ------
    EndpointFailedError
        If the stream is lost.
    """
    address = entry.fleet.address_of(name.node_id)
    if address is None:
        raise _lost()
    assembler = StreamAssembler(name.request_id, [""] * sequence)
    attempt = Attempt(
        entry.attempt_context, _ask(entry, name), "", assembler, survives_caller=True
    )
    stream_id = sign_stream_id(name, entry.settings.stream_key)
    place = ExistingStream(Target("", name.node_id, "", 0), address)
    async with aclosing(attempt.events(place)) as events:
        async for item in events:
            match item:
                case Delivery(tokens=tokens):
                    event_id = f"{stream_id}.{assembler.next_sequence}"
                    yield event(_chunk(name, "".join(tokens)), event_id)
                case Finished():
                    yield DONE_EVENT
                case _:
                    raise _lost()


def _lost() -> EndpointFailedError:
    return EndpointFailedError(
        "The stream is no longer there.", "Send the request again."
    )


def _ask(entry: EntryPort, name: StreamName) -> PendingRequest:
    request = ttypes.GrantRequest(
        request_id=name.request_id,
        workspace=name.workspace,
        entry_id=entry.settings.node_id,
    )
    route = RouteRequest("", entry.settings.failure_domain, 0, 0, (), False)
    deadline_s = entry.clock() + entry.settings.default_deadline_s
    return PendingRequest(route, request, deadline_s)


def _chunk(name: StreamName, text: str) -> str:
    choice = {"index": 0, "delta": {"content": text}, "text": text}
    return json.dumps({"id": name.request_id, "choices": [choice]})
