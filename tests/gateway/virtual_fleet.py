"""Gateways of any number in virtual time: real placement and exchange, no sockets."""

import asyncio
import functools
import math
import random
from contextlib import ExitStack, contextmanager

import attrs
import pytest
from tornado.httputil import HTTPHeaders

from sorrelhoist.decisions.directory import Endpoint
from sorrelhoist.decisions.placement.demand import Assignment
from sorrelhoist.decisions.routes import (
    EngineCosts,
    Repeat,
    Route,
    RouteTable,
    ServiceConfig,
    Target,
)
from sorrelhoist.decisions.store_contact import StoreContact
from sorrelhoist.gateway import peer_exchange
from sorrelhoist.gateway.dispatch import Dispatcher, PlacementRequest
from sorrelhoist.gateway.peer_exchange import PeerAddress, PeerExchange, running
from sorrelhoist.gateway.ports import CallerRequest
from sorrelhoist.gateway.state import GatewayState
from sorrelhoist.messages.frames import decode

SERVICE = "app"
ANSWER_S = 0.02
TICK_S = 0.001
OBJECTIVE_S = 0.3
DOMAINS = ("a", "b", "c")
ROUTE = Route(
    name="call",
    host="h",
    path_prefix="/",
    targets=(Target(SERVICE, 1.0),),
    repeat=Repeat.ONCE,
    is_stream=False,
    objective_s=OBJECTIVE_S,
    pause_s=OBJECTIVE_S,
)
_decode_once = functools.lru_cache(maxsize=4096)(decode)


@attrs.define(eq=False)
class VirtualEndpoint:
    """An endpoint that answers each request, with or without a limit."""

    endpoint: Endpoint
    limit_per_s: float | None = None
    is_leaving: bool = False
    arrivals: list = attrs.field(factory=list)


@attrs.define(eq=False)
class VirtualNetwork:
    """Delivers datagrams late, loses some, and cuts failure domains off."""

    rng: random.Random
    min_delay_s: float = 0.0005
    max_delay_s: float = 0.002
    loss: float = 0.0
    cut_domains: set = attrs.field(factory=set)
    gateways: dict = attrs.field(factory=dict)
    under_way: dict = attrs.field(factory=dict)

    def send(self, sender, data, port):
        receiver = self.gateways.get(port)
        if receiver is None or self.rng.random() < self.loss:
            return
        is_cut = {
            sender.domain in self.cut_domains,
            receiver.domain in self.cut_domains,
        }
        if len(is_cut) == 2 and sender.domain != receiver.domain:
            return
        loop = asyncio.get_running_loop()
        delay_s = self.rng.uniform(self.min_delay_s, self.max_delay_s)
        tick = math.ceil((loop.time() + delay_s) / TICK_S)
        if tick not in self.under_way:
            self.under_way[tick] = []
            loop.call_at(tick * TICK_S, self._deliver, tick)
        address = (sender.node_id, sender.port)
        self.under_way[tick].append((receiver, data, address))

    def _deliver(self, tick):
        for receiver, data, address in self.under_way.pop(tick):
            receiver.received(data, address)


@attrs.define(eq=False)
class VirtualGateway:
    """One gateway: real state, dispatcher and peer exchange.

    An old build drops what it doesn't know: named limits, permits and load updates.
    """

    node_id: str
    domain: str
    port: int
    network: VirtualNetwork
    is_old: bool = False
    told_s: dict = attrs.field(factory=dict)
    served: int = 0
    refused: int = 0
    state: GatewayState = attrs.field(init=False)
    dispatcher: Dispatcher = attrs.field(init=False)
    exchange: PeerExchange = attrs.field(init=False)

    def __attrs_post_init__(self):
        self.state = GatewayState(
            node_id=self.node_id,
            failure_domain=self.domain,
            contact=StoreContact(revoke_s=5.0),
            rng=random.Random(self.node_id),
        )
        self.dispatcher = Dispatcher(self.state)
        self.exchange = PeerExchange(self.state, boot_ms=1)
        self.exchange.permits.on_granted = self.dispatcher.retry_queued
        self.exchange.connection_made(self)
        if self.is_old:
            self.exchange._update_received = lambda body: None
            self.exchange._on_long_placed = lambda addresses, now_s: None
            self.state.on_long_placed = self.exchange._on_long_placed
            self.exchange.permits.issues_permits = lambda now_s: None
            self.exchange.permits.message_received = lambda body: None
            self.exchange._limits_received = lambda limits, now_s: None
            self.exchange.memory_grants.grants_memory = False
            self.exchange.memory_grants.message_received = lambda body: None

    def sendto(self, data, address):
        self.network.send(self, data, address[1])

    def received(self, data, address):
        if self.port in self.network.gateways:
            self.exchange.datagram_received(data, address)

    @contextmanager
    def running(self, others):
        now_s = asyncio.get_running_loop().time()
        for other in others:
            if other is not self:
                self.exchange.add_peer(
                    other.node_id, PeerAddress(other.node_id, other.port)
                )
        self.state.fleet_size.list_read(now_s)
        self.network.gateways[self.port] = self
        with running(self.exchange.run()), running(self.exchange.permits.run()):
            yield now_s
        self.network.gateways.pop(self.port, None)

    async def call(self, fleet, number):
        """Place one call and record its arrival at the endpoint."""
        loop = asyncio.get_running_loop()
        request_id = f"{self.node_id}-{number}"
        request = CallerRequest(
            request_id=request_id,
            method="GET",
            path="/",
            host="h",
            headers=HTTPHeaders(),
        )
        placement = await self.dispatcher.place(
            PlacementRequest(
                request=request,
                route=ROUTE,
                service=SERVICE,
                objective_due_s=loop.time() + OBJECTIVE_S,
                deadline_s=loop.time() + 2.0,
            ),
            loop.time(),
        )
        if not isinstance(placement, Assignment):
            self.refused += 1
            return
        self.state.request_sent(request_id)
        endpoint_id = placement.first.endpoint_id
        endpoint = fleet.endpoints[endpoint_id]
        endpoint.arrivals.append((loop.time(), self))
        await asyncio.sleep(ANSWER_S)
        self.served += 1
        limit_per_s = endpoint.limit_per_s
        if limit_per_s is not None:
            self.told_s.setdefault(endpoint_id, loop.time())
        if endpoint.is_leaving and not self.is_old:
            self.state.directory.said_leaving(endpoint_id, 0, loop.time())
        if not self.is_old:
            self.state.named_limits.observe(endpoint_id, limit_per_s, loop.time())
        self.state.release(request_id)


@attrs.define(eq=False)
class VirtualFleet:
    """Gateways before the endpoints of one service."""

    gateways: list
    endpoints: dict
    network: VirtualNetwork
    rng: random.Random
    cold_per_s: float = 0.0
    engine: EngineCosts | None = None
    calls: set = attrs.field(factory=set)

    def equip(self, gateway):
        """Give a gateway the configuration and the directory."""
        now_s = asyncio.get_running_loop().time()
        service = ServiceConfig(
            name=SERVICE, cold_requests_per_s=self.cold_per_s, engine=self.engine
        )
        gateway.state.adopt(
            RouteTable(
                version=1, routes={("h", "/"): ROUTE}, services={SERVICE: service}
            )
        )
        for one in self.endpoints.values():
            gateway.state.directory.put(one.endpoint, now_s)

    async def send_calls(self, per_s, seconds):
        """Send calls to gateways drawn at random, at a steady rate."""
        loop = asyncio.get_running_loop()
        end_s = loop.time() + seconds
        while loop.time() < end_s:
            gateway = self.rng.choice(self.gateways)
            task = asyncio.ensure_future(gateway.call(self, len(self.calls)))
            self.calls.add(task)
            await asyncio.sleep(self.rng.expovariate(per_s))

    def add(self, endpoint):
        """Add an endpoint that all gateways know at once."""
        found = VirtualEndpoint(endpoint)
        self.endpoints[endpoint.endpoint_id] = found
        now_s = asyncio.get_running_loop().time()
        for gateway in self.gateways:
            gateway.state.directory.put(endpoint, now_s)
        return found

    def restart(self, number, stack):
        """Replace a gateway by one that has just started, at the same address."""
        old = self.gateways[number]
        self.network.gateways.pop(old.port, None)
        new = VirtualGateway(
            f"{old.node_id}-again", old.domain, old.port, self.network, old.is_old
        )
        self.gateways[number] = new
        self.equip(new)
        stack.enter_context(new.running(self.gateways))
        return new


def most_in_window(times_s, window_s):
    """Return the largest number of times in any window."""
    ordered, most, start = sorted(times_s), 0, 0
    for end, time_s in enumerate(ordered):
        while ordered[start] <= time_s - window_s:
            start += 1
        most = max(most, end + 1 - start)
    return most


@contextmanager
def virtual_fleet(
    count, limits, seed=1, old_every=0, cold_per_s=0.0, engine=None, **network
):
    """Run gateways before one endpoint for each of ``limits``; None is unlimited."""
    rng = random.Random(seed)
    net = VirtualNetwork(rng, **network)
    gateways = [
        VirtualGateway(
            f"g-{number}",
            DOMAINS[number % len(DOMAINS)],
            7000 + number,
            net,
            is_old=bool(old_every) and number % old_every == 0,
        )
        for number in range(count)
    ]
    endpoints = {
        f"i-{number}": VirtualEndpoint(
            Endpoint(
                endpoint_id=f"i-{number}",
                service=SERVICE,
                address=f"10.0.0.{number}:80",
                failure_domain="a",
                capacity=10_000,
            ),
            limit_per_s,
        )
        for number, limit_per_s in enumerate(limits)
    }
    fleet = VirtualFleet(gateways, endpoints, net, rng, cold_per_s, engine)
    with ExitStack() as stack, pytest.MonkeyPatch.context() as patched:
        # All receivers of a report get the same bytes.
        patched.setattr(peer_exchange, "decode", _decode_once)
        for gateway in gateways:
            fleet.equip(gateway)
            stack.enter_context(gateway.running(gateways))
        yield fleet
        for task in fleet.calls:
            task.cancel()
