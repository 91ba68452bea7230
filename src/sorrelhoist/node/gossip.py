"""Gossip over UDP: the I/O layer of the membership table.

Besides membership changes, its datagrams carry the digest of the configuration and
suspicions. A datagram that can't be decoded is counted and dropped.
"""

import asyncio
import logging
import random
import time
from collections.abc import AsyncIterator, Awaitable, Callable, Sequence
from contextlib import asynccontextmanager
from typing import cast

import attrs

from ..decisions.membership import MembershipTable
from ..decisions.membership_options import (
    Action,
    Datagram,
    Event,
    MembershipOptions,
    RequestSync,
    SendDatagram,
)
from ..decisions.membership_records import Address, Member
from ..exceptions import PeerError
from ..messages.frames import MAX_DATAGRAM_BYTES, Message, decode, encode
from ..messages.gen import ttypes

logger = logging.getLogger(__name__)

TICK_INTERVAL_S = 0.2
SYNC_TIMEOUT_S = 5.0
MAX_CONCURRENT_SYNCS = 2
LEAVE_ROUNDS = 2

Call = Callable[[str, int, object, float], Awaitable[object]]
"""``await call(address, port, body, timeout_s)`` sends a message over TCP and returns
the reply."""


def _no_digest() -> ttypes.Digest | None:
    return None


def _no_suspicions() -> Sequence[ttypes.Suspicion]:
    return ()


def _ignore_digest(digest: ttypes.Digest, member: Member) -> None:
    del digest, member


def _ignore_suspicions(suspicions: Sequence[ttypes.Suspicion]) -> None:
    del suspicions


def _ignore_event(event: Event) -> None:
    del event


@attrs.frozen
class GossipHooks:
    """Callbacks for the data carried by gossip, and for membership events.

    Parameters
    ----------
    digest : callable
        Returns the digest of the local configuration, or None.
    on_digest : callable
        Called with the digest that a known member sent, and the member.
    suspicions : callable
        Returns the suspicions to send in the next datagram; only a few fit.
    on_suspicions : callable
        Called with the suspicions that were received.
    on_event : callable
        Called with each membership event.
    """

    digest: Callable[[], ttypes.Digest | None] = _no_digest
    on_digest: Callable[[ttypes.Digest, Member], None] = _ignore_digest
    suspicions: Callable[[], Sequence[ttypes.Suspicion]] = _no_suspicions
    on_suspicions: Callable[[Sequence[ttypes.Suspicion]], None] = _ignore_suspicions
    on_event: Callable[[Event], None] = _ignore_event


@attrs.define
class GossipCounters:
    """UDP traffic, payload only, and failed full syncs over TCP."""

    sent_datagrams: int = 0
    sent_bytes: int = 0
    received_datagrams: int = 0
    received_bytes: int = 0
    refused_datagrams: int = 0
    failed_syncs: int = 0


class Gossip(asyncio.DatagramProtocol):
    """Run a membership table on the running event loop.

    Parameters
    ----------
    table : MembershipTable
    call : callable
        Sends a message body over TCP and returns the body of the reply; see `Call`.
    hooks : GossipHooks, optional
    clock : callable, optional
        Monotonic seconds.
    """

    def __init__(
        self,
        table: MembershipTable,
        call: Call,
        hooks: GossipHooks | None = None,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.table = table
        self.counters = GossipCounters()
        self._call = call
        self._hooks = hooks or GossipHooks()
        self._clock = clock
        self._transport: asyncio.DatagramTransport | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._syncs: set[asyncio.Task[None]] = set()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start the periodic tick."""
        self._transport = cast(asyncio.DatagramTransport, transport)
        self._tick()

    def connection_lost(self, exc: Exception | None) -> None:
        """Stop the periodic tick."""
        self._transport = None
        if self._timer is not None:
            self._timer.cancel()

    def error_received(self, exc: Exception) -> None:
        """Ignore the error: a closed port shows up as an unanswered probe."""

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Process a datagram; any content is tolerated."""
        self.counters.received_datagrams += 1
        self.counters.received_bytes += len(data)
        try:
            body = decode(data).body
            self._receive(body, Address(addr[0], addr[1]))
        except PeerError as error:
            self.counters.refused_datagrams += 1
            logger.debug("invalid datagram dropped", extra={"error": str(error)})
        except Exception:
            # A single datagram must not stop the membership protocol of this process.
            self.counters.refused_datagrams += 1
            logger.exception(
                "datagram dropped: processing failed", extra={"sender": addr[0]}
            )

    def handle_sync(self, request: ttypes.SyncRequest) -> ttypes.SyncReply:
        """Answer a request for a full sync received over TCP."""
        reply = self.table.sync_reply(request, self._clock())
        self._emit_events()
        return reply

    def leave(self) -> None:
        """Announce to other members that this process leaves; runs on until closed.

        Each of `LEAVE_ROUNDS` rounds is sent to a random sample of the members.
        """
        for _ in range(LEAVE_ROUNDS):
            self._execute(self.table.leave(self._clock()))

    def close(self) -> None:
        """Stop gossiping; on a planned shutdown, call `leave` first."""
        if self._timer is not None:
            self._timer.cancel()
        for sync in self._syncs:
            sync.cancel()
        if self._transport is not None:
            self._transport.close()

    def _tick(self) -> None:
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(TICK_INTERVAL_S, self._tick)
        try:
            self._execute(self.table.tick(self._clock()))
            self._emit_events()
        except Exception:
            logger.exception("membership tick failed")

    def _receive(self, body: object, sender: Address) -> None:
        self._execute(self.table.on_message(body, sender, self._clock()))
        if isinstance(body, ttypes.Ping | ttypes.Pong):
            member = self.table.get(body.node_id or "")
            if body.digest is not None and member is not None:
                self._hooks.on_digest(body.digest, member)
            if body.suspicions:
                self._hooks.on_suspicions(body.suspicions)
        self._emit_events()

    def _emit_events(self) -> None:
        for event in self.table.take_events():
            self._hooks.on_event(event)

    def _execute(self, actions: Sequence[Action]) -> None:
        for action in actions:
            match action:
                case SendDatagram(to, body):
                    self._send(to, body)
                case RequestSync(to):
                    self._start_sync(to)

    def _send(self, to: Address, body: Datagram) -> None:
        if self._transport is None:
            return
        data = self._encode(body)
        self.counters.sent_datagrams += 1
        self.counters.sent_bytes += len(data)
        try:
            self._transport.sendto(data, (to.address, to.port))
        except (OSError, ValueError, OverflowError) as error:
            logger.debug("datagram not sent", extra={"error": str(error)})

    def _encode(self, body: Datagram) -> bytes:
        if isinstance(body, ttypes.Ping | ttypes.Pong):
            body.digest = self._hooks.digest()
            body.suspicions = list(self._hooks.suspicions())
        data = encode(Message(0, body))
        while len(data) > MAX_DATAGRAM_BYTES and _reduce_size(body):
            data = encode(Message(0, body))
        return data

    def _start_sync(self, to: Address) -> None:
        if len(self._syncs) >= MAX_CONCURRENT_SYNCS:
            return
        sync = asyncio.get_running_loop().create_task(self._sync(to))
        self._syncs.add(sync)
        sync.add_done_callback(self._syncs.discard)

    async def _sync(self, to: Address) -> None:
        request = self.table.sync_request()
        try:
            reply = await self._call(to.address, to.port, request, SYNC_TIMEOUT_S)
            self._receive(reply, to)
        except (PeerError, OSError, TimeoutError) as error:
            self.counters.failed_syncs += 1
            logger.debug("full membership sync failed", extra={"error": str(error)})
        except Exception:
            self.counters.failed_syncs += 1
            logger.exception("full membership sync failed", extra={"peer": to.address})


def _reduce_size(body: Datagram) -> bool:
    # Drops all suspicions first, then one update per call, the last added first.
    if isinstance(body, ttypes.IndirectPing):
        return False
    if body.suspicions:
        body.suspicions = []
        return True
    if body.updates:
        body.updates = body.updates[:-1]
        return True
    return False


@asynccontextmanager
async def running_gossip(
    local_member: Member,
    call: Call,
    *,
    seeds: Sequence[Address] = (),
    hooks: GossipHooks | None = None,
    options: MembershipOptions | None = None,
    rng: random.Random | None = None,
    clock: Callable[[], float] = time.monotonic,
) -> AsyncIterator[Gossip]:
    """Run gossip on the address and peer port of the local member.

    Parameters
    ----------
    local_member : Member
    call : callable
        See `Call`.
    seeds : sequence of Address
        Members to contact first.
    hooks : GossipHooks, optional
    options : MembershipOptions, optional
    rng : random.Random, optional
    clock : callable, optional
        Monotonic seconds.

    Yields
    ------
    Gossip
        Closed when the context exits; a normal exit announces the leave first.
    """
    rng = rng or random.Random()
    table = MembershipTable(local_member, options or MembershipOptions(), rng)
    table.set_seeds(seeds)
    gossip = Gossip(table, call, hooks, clock)
    await asyncio.get_running_loop().create_datagram_endpoint(
        lambda: gossip,
        local_addr=(local_member.address, local_member.peer_port),
    )
    try:
        yield gossip
        gossip.leave()
    finally:
        gossip.close()
