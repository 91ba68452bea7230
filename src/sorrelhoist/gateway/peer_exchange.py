"""Datagrams between gateways: what each has placed, and how fresh its knowledge is."""

import asyncio
import contextlib
import logging
import math
from collections.abc import Coroutine, Iterator
from contextlib import contextmanager
from typing import Any

import attrs

from ..decisions.load_tracker import EndpointUse
from ..exceptions import PeerError
from ..messages.frames import Message, decode, encode
from ..messages.gen import ttypes
from .freshness import Freshness
from .state import GatewayState

logger = logging.getLogger(__name__)

SENDS_PER_S = 400.0
"""Datagrams that one process sends a second at most, whatever the fleet's size."""

SHORTEST_INTERVAL_S = 0.025
"""Between two reports to all peers: about one decode pass."""

LONGEST_QUIET_S = 0.5
"""An unchanged report is sent again after it, so that peers don't drop it."""


PEER_SILENCE_S = 30.0
"""A peer that wasn't heard of for so long gets no more reports until it is."""


@attrs.frozen(order=True)
class PeerAddress:
    """Where a peer hears reports."""

    host: str
    port: int


@attrs.frozen
class _Peer:
    address: PeerAddress
    known_s: float


class PeerExchange(asyncio.DatagramProtocol):
    """Sends and receives load reports and questions of freshness.

    Parameters
    ----------
    state : GatewayState
    boot_ms : int
        Start of this process; tells its reports from those before a restart.
    """

    def __init__(self, state: GatewayState, boot_ms: int) -> None:
        self._state = state
        self._boot_ms = boot_ms
        self._sequence = 0
        self._sent_version = -1
        self._sent_s = float("-inf")
        self._peers: dict[str, _Peer] = {}
        self.freshness = Freshness(state, self._send_to)
        self._transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: Any) -> None:
        """Keep the socket."""
        self._transport = transport

    def add_peer(self, node_id: str, address: PeerAddress) -> None:
        """Send reports to a gateway, at a new address if it moved."""
        if node_id != self._state.node_id:
            now_s = asyncio.get_running_loop().time()
            self._peers[node_id] = _Peer(address, now_s)

    def drop_peer(self, node_id: str) -> None:
        """Send no more reports to a gateway that has gone."""
        self._peers.pop(node_id, None)

    def datagram_received(self, data: bytes, addr: tuple) -> None:
        """Take in a report."""
        try:
            body = decode(data).body
        except PeerError as error:
            logger.warning(
                "datagram not understood",
                extra={"event": "bad_datagram", "peer": addr[0], "reason": str(error)},
            )
            return
        if isinstance(body, ttypes.LoadReport):
            self.add_peer(body.node_id, PeerAddress(addr[0], addr[1]))
            self._report_received(body)
        else:
            self.freshness.received(body)

    def _report_received(self, body: ttypes.LoadReport) -> None:
        now_s = asyncio.get_running_loop().time()
        self._state.loads.peer_reported(
            body.node_id,
            body.boot_ms,
            body.sequence,
            (_from_wire(load, now_s) for load in body.loads or ()),
            now_s,
        )
        self._state.suspicions.merge(body.suspicions or (), now_s)

    async def run(self) -> None:
        """Send reports until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            interval_s = max(SHORTEST_INTERVAL_S, len(self._peers) / SENDS_PER_S)
            await asyncio.sleep(interval_s)
            self._state.divide_retries(loop.time())
            self._report(loop.time())

    def _report(self, now_s: float) -> None:
        loads = self._state.loads
        is_new = loads.version != self._sent_version
        if not is_new and now_s - self._sent_s < LONGEST_QUIET_S:
            return
        self._sent_version = loads.version
        self._sent_s = now_s
        self._sequence += 1
        report = ttypes.LoadReport(
            node_id=self._state.node_id,
            boot_ms=self._boot_ms,
            sequence=self._sequence,
            loads=[_to_wire(use, now_s) for use in loads.own_uses()],
            suspicions=self._state.suspicions.for_gossip(now_s),
        )
        data = encode(Message(0, report))
        for node_id, peer in list(self._peers.items()):
            if now_s - peer.known_s > PEER_SILENCE_S:
                self.drop_peer(node_id)
            else:
                self._send(data, peer.address)

    def _send_to(self, node_id: str, body: object) -> None:
        peer = self._peers.get(node_id)
        if peer is not None:
            self._send(encode(Message(0, body)), peer.address)

    def _send(self, data: bytes, peer: PeerAddress) -> None:
        if self._transport is not None:
            with contextlib.suppress(OSError):  # the next message replaces it
                self._transport.sendto(data, (peer.host, peer.port))


def _to_wire(use: EndpointUse, now_s: float) -> ttypes.EndpointLoad:
    reading_ms = 0 if not use.read_ms else int((now_s - use.reading_s) * 1000)
    return ttypes.EndpointLoad(
        address=use.address,
        streams=use.streams,
        tight_streams=use.tight_streams,
        kv_tokens=use.kv_tokens,
        read_ms=int(use.read_ms),
        reading_age_ms=reading_ms,
        helps=use.helps,
        due_in_ms=None if math.isinf(use.due_s) else int((use.due_s - now_s) * 1000),
        placed_ms=int(use.placed_ms),
    )


def _from_wire(load: ttypes.EndpointLoad, now_s: float) -> EndpointUse:
    read_ms = load.read_ms or 0
    return EndpointUse(
        address=load.address or "",
        streams=load.streams or 0,
        tight_streams=load.tight_streams or 0,
        kv_tokens=load.kv_tokens or 0,
        read_ms=read_ms,
        reading_s=now_s - (load.reading_age_ms or 0) / 1000
        if read_ms
        else float("inf"),
        helps=load.helps or 0,
        due_s=float("inf") if load.due_in_ms is None else now_s + load.due_in_ms / 1000,
    )


@contextmanager
def running(coroutine: Coroutine[Any, Any, None]) -> Iterator[asyncio.Task]:
    """Run a coroutine beside others and cancel it at the end."""
    task = asyncio.ensure_future(coroutine)
    try:
        yield task
    finally:
        task.cancel()
