"""UDP exchange between gateways: load reports, freshness queries and permits."""

import asyncio
import contextlib
import logging
import math
import socket
from collections.abc import Callable, Coroutine, Iterable, Iterator
from contextlib import contextmanager
from typing import Any

import attrs

from ..decisions.endpoint_notices import valid_rate
from ..decisions.overload.fleet_demand import (
    MAX_REPORTED_MS,
    ServiceLoad,
    WorkspaceLoad,
    services_to_report,
)
from ..decisions.overload.gateway_health import PERCENT
from ..decisions.peer_failures import MAX_REPORTED
from ..decisions.placement.load_tracker import EndpointUse
from ..decisions.report_rate import report_interval_s
from ..exceptions import PeerError
from ..messages.frames import Message, decode, encode
from ..messages.gen import ttypes
from .freshness import MS_PER_S, Freshness, age_ms
from .memory_grants import MemoryGrants
from .peer_messages import check_message
from .permit_exchange import PermitExchange
from .state import GatewayState, boot_time_s

logger = logging.getLogger(__name__)

MAX_REPORT_INTERVAL_S = 0.5
"""Interval after which an unchanged report is sent again, so that peers do not expire
it."""

PEER_TIMEOUT_S = 30.0
"""Time after the last report of a peer, or read of its entry in the store, at which
this process stops sending it reports. The next report or entry resumes them."""

MAX_PART_SUSPICIONS = 16
"""Largest number of suspicions of parts in one report: a death has one for each part of
each request that broke off."""


@attrs.frozen(order=True)
class PeerAddress:
    """Address at which a peer receives reports."""

    host: str
    port: int


@attrs.frozen
class _Peer:
    address: PeerAddress
    last_heard_s: float


class PeerExchange(asyncio.DatagramProtocol):
    """Sends and receives load reports and freshness queries.

    Parameters
    ----------
    state : GatewayState
    boot_ms : int
        Start time of this process, which distinguishes its reports from those sent
        before a restart.
    """

    def __init__(self, state: GatewayState, boot_ms: int) -> None:
        self._state = state
        self._boot_ms = boot_ms
        self._sequence = 0
        self._sent_version = (-1, -1, -1, -1, -1)
        self._sent_s = float("-inf")
        self._peers: dict[str, _Peer] = {}
        self.freshness = Freshness(state, self._send_to)
        self.permits = PermitExchange(
            state, self._send_to, has_peers=lambda: bool(self._peers)
        )
        self.memory_grants = MemoryGrants(state, self._send_to, self.permits.issuers)
        state.listed_peers = lambda: len(self._peers)
        state.acquire_memory = self.memory_grants.acquire
        self.port: int | None = None
        """Port on which reports are received, once it is open."""
        self.on_port_opened: Callable[[], None] = lambda: None
        self._lost = asyncio.Event()
        self._transport: asyncio.DatagramTransport | None = None
        state.on_long_placed = self._on_long_placed

    def connection_made(self, transport: Any) -> None:
        """Keep the transport for sending."""
        self._transport = transport

    def connection_lost(self, exc: Exception | None) -> None:
        """Stop sending until there is a transport again."""
        self._transport = None
        self._lost.set()

    async def exchange_on(self, opened: socket.socket) -> None:
        """Exchange messages on a datagram socket until cancelled.

        Raises
        ------
        PeerError
            If the socket was lost.
        """
        self._lost.clear()
        self.port = opened.getsockname()[1]
        self.on_port_opened()
        transport, _ = await asyncio.get_running_loop().create_datagram_endpoint(
            lambda: self, sock=opened
        )
        try:
            await self._lost.wait()
        finally:
            transport.close()
        raise PeerError("The socket for messages of other gateways was lost.")

    def add_peer(self, node_id: str, address: PeerAddress) -> None:
        """Add a gateway that gets reports, or update its address."""
        if node_id != self._state.node_id:
            now_s = asyncio.get_running_loop().time()
            self._peers[node_id] = _Peer(address, now_s)
            self._state.fleet_size.seen(node_id, now_s)

    def drop_peer(self, node_id: str) -> None:
        """Stop sending reports to a gateway that has left."""
        self._peers.pop(node_id, None)

    @property
    def peer_ids(self) -> list[str]:
        """Ids of the gateways that get reports."""
        return list(self._peers)

    def datagram_received(self, data: bytes, addr: tuple) -> None:
        """Decode a datagram and process the message."""
        try:
            body = decode(data).body
            check_message(body)
        except PeerError as error:
            logger.warning(
                "datagram from peer could not be decoded; ignored",
                extra={"event": "bad_datagram", "peer": addr[0], "reason": str(error)},
            )
            return
        # A gateway that has just started asks before it first reports its load.
        if isinstance(body, (ttypes.LoadReport, ttypes.FreshnessAsk)):
            self.add_peer(body.node_id, PeerAddress(addr[0], addr[1]))
        match body:
            case ttypes.LoadReport():
                self._report_received(body)
            case ttypes.LoadUpdate():
                self._update_received(body)
            case ttypes.PermitAsk() | ttypes.PermitGrant():
                self.permits.message_received(body)
            case ttypes.MemoryAsk() | ttypes.MemoryAnswer():
                self.memory_grants.message_received(body)
            case _:
                self.freshness.message_received(body)

    def _report_received(self, body: ttypes.LoadReport) -> None:
        now_s = asyncio.get_running_loop().time()
        if not self._state.loads.is_known(body.node_id, body.boot_ms):
            self._state.directory.peer_started(now_s)
        is_newest = self._state.loads.peer_reported(
            body.node_id,
            body.boot_ms,
            body.sequence,
            (self._peer_use(load, now_s) for load in body.loads or ()),
            now_s,
        )
        if is_newest:
            self._state.fleet_demand.peer_reported(
                body.node_id, _demands_from_wire(body.demands), now_s
            )
            self._state.fleet_headroom.peer_reported(
                body.node_id, body.headroom_percent, now_s
            )
        self._state.localities.heard(body.node_id, body.failure_domain or "")
        self._state.suspicions.merge(body.suspicions or (), now_s)
        self._state.part_suspicions.merge(body.part_suspicions or (), now_s)
        self._state.peer_failures.heard(
            body.node_id,
            body.failure_domain or "",
            {
                failed.endpoint_id: failed.score_percent / PERCENT
                for failed in body.failures or ()
            },
            now_s,
        )
        self.permits.peer_reported(body.node_id, bool(body.issues_permits))
        self.memory_grants.peer_reported(body.node_id, bool(body.grants_memory))
        self._limits_received(body.named_limits or (), now_s)
        for leaving in body.leaving or ():
            if self._state.directory.said_leaving(
                leaving.endpoint_id, leaving.born_ms or 0, now_s, is_own=False
            ):
                logger.info(
                    "endpoint is leaving",
                    extra={
                        "event": "endpoint_leaving",
                        "endpoint": leaving.endpoint_id,
                        "heard_from": body.node_id,
                    },
                )
        if body.configuration_version is not None:
            now_boot_s = boot_time_s()
            self._state.peer_configurations.heard(
                body.node_id,
                body.configuration_version,
                now_boot_s - (body.configuration_age_ms or 0) / MS_PER_S,
                now_boot_s,
            )

    def _peer_use(self, load: ttypes.EndpointLoad, now_s: float) -> EndpointUse:
        """Decode the load of an endpoint in a report.

        The cumulative prefill time counts only where reports are slow. Where they go
        out each 25 ms, they show the unfinished prefill in time.
        """
        use = _from_wire(load, now_s)
        if not self._state.update_rate.is_useful(len(self._peers)):
            use.placed_ms = 0.0
        return use

    def _update_received(self, body: ttypes.LoadUpdate) -> None:
        now_s = asyncio.get_running_loop().time()
        self._state.loads.peer_updated(
            body.node_id or "",
            body.boot_ms or 0,
            body.sequence or 0,
            (_from_wire(load, now_s) for load in body.loads or ()),
            now_s,
        )

    def _limits_received(
        self, limits: Iterable[ttypes.NamedLimit], now_s: float
    ) -> None:
        for limit in limits:
            rate = limit.requests_per_s
            if rate is not None and not valid_rate(rate):
                continue
            named_s = now_s - (limit.age_ms or 0) / MS_PER_S
            self._state.named_limits.observe(
                limit.endpoint_id, rate, named_s, is_own=False
            )

    async def run(self) -> None:
        """Send reports until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(report_interval_s(len(self._peers)))
            self._state.update_retry_share(loop.time())
            self._report(loop.time())
            if self._state.update_rate.is_announcement_due(
                len(self._peers), loop.time()
            ):
                self._on_long_placed((), loop.time())

    def _on_long_placed(self, addresses: Iterable[str], now_s: float) -> None:
        """Send the new loads of some endpoints to all peers, as far as the rate allows.

        The next report carries them again, for peers that this update doesn't reach.
        """
        if not self._state.update_rate.try_send(len(self._peers), now_s):
            return
        self._sequence += 1
        wanted = set(addresses)
        update = ttypes.LoadUpdate(
            node_id=self._state.node_id,
            boot_ms=self._boot_ms,
            sequence=self._sequence,
            loads=[
                _to_wire(use, now_s)
                for use in self._state.loads.own_uses()
                if use.address in wanted
            ],
        )
        data = encode(Message(0, update))
        for peer in self._peers.values():
            self._send(data, peer.address)

    def _report(self, now_s: float) -> None:
        loads = self._state.loads
        version = (
            loads.version,
            self._state.part_suspicions.version,
            self._state.directory.leaving_version,
            self._state.contact.renewals,
            self._state.own_work.version,
        )
        is_changed = version != self._sent_version
        if not is_changed and now_s - self._sent_s < MAX_REPORT_INTERVAL_S:
            return
        self._sent_version = version
        self._sent_s = now_s
        self._sequence += 1
        report = ttypes.LoadReport(
            node_id=self._state.node_id,
            boot_ms=self._boot_ms,
            sequence=self._sequence,
            loads=[_to_wire(use, now_s) for use in loads.own_uses()],
            suspicions=self._state.suspicions.for_gossip(now_s),
            part_suspicions=self._state.part_suspicions.for_gossip(
                now_s, MAX_PART_SUSPICIONS
            ),
            configuration_version=self._state.version,
            configuration_age_ms=age_ms(self._state.contact.age_s(boot_time_s())),
            failure_domain=self._state.failure_domain,
            failures=[
                ttypes.EndpointFailures(endpoint_id, round(score * PERCENT))
                for endpoint_id, score in self._state.faults.worst(
                    MAX_REPORTED, now_s
                ).items()
            ],
            named_limits=[
                ttypes.NamedLimit(
                    endpoint_id, limit.requests_per_s, age_ms(now_s - limit.named_s)
                )
                for endpoint_id, limit in self._state.named_limits.to_report(
                    now_s
                ).items()
            ],
            issues_permits=self.permits.issues_permits(now_s),
            grants_memory=self.memory_grants.grants_memory,
            leaving=[
                ttypes.LeavingEndpoint(endpoint_id, said.born_ms)
                for endpoint_id, said in self._state.directory.leaving_to_report(
                    now_s
                ).items()
            ],
            headroom_percent=round(self._state.health.headroom * PERCENT),
            demands=_demands_to_wire(self._state.own_work.loads(loads.is_prefilling)),
        )
        data = encode(Message(0, report))
        for node_id, peer in list(self._peers.items()):
            if now_s - peer.last_heard_s > PEER_TIMEOUT_S:
                self.drop_peer(node_id)
            else:
                self._send(data, peer.address)

    def _send_to(self, node_id: str, body: object) -> None:
        peer = self._peers.get(node_id)
        if peer is not None:
            self._send(encode(Message(0, body)), peer.address)

    def _send(self, data: bytes, peer: PeerAddress) -> None:
        if self._transport is not None:
            with contextlib.suppress(OSError):  # superseded by the next message
                self._transport.sendto(data, (peer.host, peer.port))


def _to_wire(use: EndpointUse, now_s: float) -> ttypes.EndpointLoad:
    prefill_age_ms = 0 if not use.read_ms else int((now_s - use.reading_s) * 1000)
    return ttypes.EndpointLoad(
        address=use.address,
        streams=use.streams,
        tight_streams=use.tight_streams,
        kv_tokens=use.kv_tokens,
        read_ms=int(use.read_ms),
        reading_age_ms=prefill_age_ms,
        helps=use.helps,
        due_in_ms=None if math.isinf(use.due_s) else int((use.due_s - now_s) * 1000),
        placed_ms=int(use.placed_ms),
        pause_ms=None if math.isinf(use.pause_ms) else int(use.pause_ms),
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
        placed_ms=load.placed_ms or 0,
        pause_ms=float("inf") if load.pause_ms is None else load.pause_ms,
    )


def _demands_to_wire(loads: dict[str, ServiceLoad]) -> list[ttypes.ServiceDemand]:
    return [
        ttypes.ServiceDemand(
            service_name=service,
            waiting=round(load.waiting),
            waiting_read_ms=min(round(load.waiting_read_ms), MAX_REPORTED_MS),
            workspaces=[
                ttypes.WorkspaceDemand(
                    key, min(round(one.read_ms), MAX_REPORTED_MS), one.waiting
                )
                for key, one in load.largest_workspaces().items()
            ],
        )
        for service, load in services_to_report(loads).items()
    ]


def _demands_from_wire(
    demands: list[ttypes.ServiceDemand] | None,
) -> dict[str, ServiceLoad] | None:
    if demands is None:
        return None
    return {
        demand.service_name or "": ServiceLoad(
            waiting=max(0, demand.waiting or 0),
            waiting_read_ms=max(0, demand.waiting_read_ms or 0),
            workspaces={
                one.workspace or 0: WorkspaceLoad(
                    read_ms=max(0, one.read_ms or 0), waiting=max(0, one.waiting or 0)
                )
                for one in demand.workspaces or ()
            },
        )
        for demand in demands
    }


@contextmanager
def running(coroutine: Coroutine[Any, Any, None]) -> Iterator[asyncio.Task]:
    """Run a coroutine as a background task and cancel it when the context exits."""
    task = asyncio.ensure_future(coroutine)
    try:
        yield task
    finally:
        task.cancel()
