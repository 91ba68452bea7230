"""Resume a stream that was started on another connection or by another entry."""

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
from .attempt import Attempt, Finished
from .grants import ExistingStream, PendingRequest
from .port import EntryPort
from .response_format import DONE_EVENT, event


async def resume_stream(
    entry: EntryPort, name: StreamName, sequence: int
) -> AsyncGenerator[str, None]:
    """Attach to a running stream and yield its remaining events.

    Parameters
    ----------
    entry : EntryPort
    name : StreamName
        Identity of the stream; names the agent that runs it.
    sequence : int
        Sequence number of the first token that the caller has not received.

    Yields
    ------
    str
        One server-sent event.

    Raises
    ------
    EndpointFailedError
        If the agent is not in the fleet or the stream breaks off.
    """
    address = entry.fleet.address_of(name.node_id)
    if address is None:
        raise _stream_lost()
    assembler = StreamAssembler(name.request_id, [""] * sequence)
    attempt = Attempt(
        entry.attempt_context,
        _attach_request(entry, name),
        "",
        assembler,
        survives_caller=True,
    )
    stream_id = sign_stream_id(name, entry.settings.stream_key)
    running = ExistingStream(Target("", name.node_id, "", 0), address)
    async with aclosing(attempt.events(running)) as events:
        async for item in events:
            match item:
                case Delivery(tokens=tokens):
                    event_id = f"{stream_id}.{assembler.next_sequence}"
                    yield event(_chunk(name, "".join(tokens)), event_id)
                case Finished():
                    yield DONE_EVENT
                case _:
                    raise _stream_lost()


def _stream_lost() -> EndpointFailedError:
    return EndpointFailedError(
        "The stream is no longer there.", "Send the request again."
    )


def _attach_request(entry: EntryPort, name: StreamName) -> PendingRequest:
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
