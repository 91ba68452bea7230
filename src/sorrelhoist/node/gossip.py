"""Gossip over UDP: the shell around the membership table.

It carries the digest of the configuration and the suspicions beside the changes
of the membership. A datagram that can't be read is counted and dropped.
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
MAX_SYNCS = 2
LEAVE_ROUNDS = 2

Call = Callable[[str, int, object, float], Awaitable[object]]
"""``await call(address, port, body, timeout_s)`` sends a frame over TCP."""


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
    """What rides on the gossip.

    Parameters
    ----------
    digest : callable
        Returns the digest of the own configuration, or None.
    on_digest : callable
        Gets the digest that a known member sent, and the member.
    suspicions : callable
        Returns the few suspicions for the next datagram.
    on_suspicions : callable
        Gets the suspicions that were heard.
    on_event : callable
        Gets each event of the membership.
    """

    digest: Callable[[], ttypes.Digest | None] = _no_digest
    on_digest: Callable[[ttypes.Digest, Member], None] = _ignore_digest
    suspicions: Callable[[], Sequence[ttypes.Suspicion]] = _no_suspicions
    on_suspicions: Callable[[Sequence[ttypes.Suspicion]], None] = _ignore_suspicions
    on_event: Callable[[Event], None] = _ignore_event


@attrs.define
class GossipCounters:
    """What was sent and received over UDP, payload only."""

    sent_datagrams: int = 0
    sent_bytes: int = 0
    received_datagrams: int = 0
    received_bytes: int = 0
    refused_datagrams: int = 0
    failed_syncs: int = 0


class Gossip(asyncio.DatagramProtocol):
    """Runs a membership table on the present loop.

    Parameters
    ----------
    table : MembershipTable
    call : callable
        Sends a body over TCP and returns the body of the reply.
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
        """Start to tick."""
        self._transport = cast(asyncio.DatagramTransport, transport)
        self._tick()

    def connection_lost(self, exc: Exception | None) -> None:
        """Stop to tick."""
        self._transport = None
        if self._timer is not None:
            self._timer.cancel()

    def error_received(self, exc: Exception) -> None:
        """Ignore it: a closed port shows as a probe without answer."""

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Take in a datagram, whatever it holds."""
        self.counters.received_datagrams += 1
        self.counters.received_bytes += len(data)
        try:
            body = decode(data).body
            self._receive(body, Address(addr[0], addr[1]))
        except PeerError as error:
            self.counters.refused_datagrams += 1
            logger.debug("datagram refused", extra={"error": str(error)})
        except Exception:
            # One datagram must not end the membership of this process.
            self.counters.refused_datagrams += 1
            logger.exception("datagram failed", extra={"sender": addr[0]})

    def handle_sync(self, request: ttypes.SyncRequest) -> ttypes.SyncReply:
        """Answer a full sync that came over TCP."""
        reply = self.table.sync_reply(request, self._clock())
        self._announce()
        return reply

    def leave(self) -> None:
        """Tell the others that this process leaves; go on until closed."""
        for _ in range(LEAVE_ROUNDS):
            self._do(self.table.leave(self._clock()))

    def close(self) -> None:
        """Stop; `leave` comes first in a planned stop."""
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
            self._do(self.table.tick(self._clock()))
            self._announce()
        except Exception:
            logger.exception("membership tick failed")

    def _receive(self, body: object, sender: Address) -> None:
        self._do(self.table.on_message(body, sender, self._clock()))
        if isinstance(body, ttypes.Ping | ttypes.Pong):
            member = self.table.get(body.node_id or "")
            if body.digest is not None and member is not None:
                self._hooks.on_digest(body.digest, member)
            if body.suspicions:
                self._hooks.on_suspicions(body.suspicions)
        self._announce()

    def _announce(self) -> None:
        for event in self.table.take_events():
            self._hooks.on_event(event)

    def _do(self, actions: Sequence[Action]) -> None:
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
        while len(data) > MAX_DATAGRAM_BYTES and _shorten(body):
            data = encode(Message(0, body))
        return data

    def _start_sync(self, to: Address) -> None:
        if len(self._syncs) >= MAX_SYNCS:
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
            logger.debug("sync failed", extra={"error": str(error)})
        except Exception:
            self.counters.failed_syncs += 1
            logger.exception("sync failed", extra={"peer": to.address})


def _shorten(body: Datagram) -> bool:
    # Suspicions go first, then the updates that were added last.
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
    """Run gossip on the member's address and peer port.

    Parameters
    ----------
    local_member : Member
    call : callable
        See `Call`.
    seeds : sequence of Address
    hooks : GossipHooks, optional
    options : MembershipOptions, optional
    rng : random.Random, optional
    clock : callable, optional

    Yields
    ------
    Gossip
        Leaves and stops at the end.
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
