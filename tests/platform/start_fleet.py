"""A start of all gateways at once in virtual time, before a store with limits.

Real sources, poll loops and peer exchange; the store, its link and the processor time
of decoding are modelled.
"""

import asyncio
import functools
import json
import random
from contextlib import ExitStack, contextmanager

import attrs
import pytest

from sorrelhoist.exceptions import PlatformError
from sorrelhoist.gateway import freshness, peer_exchange, state
from sorrelhoist.gateway.peer_exchange import running
from sorrelhoist.platform import source, topic_poller, wire
from sorrelhoist.platform.settings import PlatformSettings
from sorrelhoist.platform.store import KeyedRecord, Records, StorePosition
from tests.gateway.virtual_fleet import VirtualGateway, VirtualNetwork

PAGE_RECORDS = 500
ANSWER_RECORDS = 2_500
"""Records in one answer of 1 MB."""

BEAT_S = 1.2
"""Interval at which each endpoint writes its record."""

ANSWER_S = 0.004
HOP_S = 0.002
LINK_BYTES_PER_S = 4_000e6 / 8
HOST_BYTES_PER_S = 20e6 / 8
RECORD_BYTES = 400
DECODE_S = 28e-6
"""Processor time to decode and store one record, on a host with 0.4 of a core."""

SERVICES = ("engines",) * 99 + ("bookings",)


@attrs.define(eq=False)
class VirtualStore:
    """Topics of keyed records, with limits on calls over all gateways.

    Parameters
    ----------
    reads_per_s, writes_per_s : float
    topics : dict
        Values by key, by topic.
    """

    reads_per_s: float
    writes_per_s: float
    topics: dict = attrs.field(factory=dict)
    beats_per_s: float = 0.0
    calls: int = 0
    records_read: int = 0
    rejected: int = 0
    _seconds: dict = attrs.field(factory=dict)
    _link_free_s: float = 0.0

    def admit(self, kind, per_s):
        """Count a call against its limit."""
        self.calls += 1
        second = (kind, int(asyncio.get_running_loop().time()))
        self._seconds[second] = self._seconds.get(second, 0) + 1
        if self._seconds[second] > per_s:
            self.rejected += 1
            raise PlatformError("status 429")

    def log(self, topic):
        """Return the keys of a topic in the order of writing, and its end."""
        keys = list(self.topics.setdefault(topic, {}))
        beats = 0
        if topic == source.ENDPOINT_TOPIC:
            beats = int(asyncio.get_running_loop().time() * self.beats_per_s)
        return keys, len(keys) + beats

    async def transfer(self, size_bytes):
        """Wait for an answer to pass the store's link, which all gateways share."""
        loop = asyncio.get_running_loop()
        begins_s = max(loop.time(), self._link_free_s)
        self._link_free_s = begins_s + size_bytes / LINK_BYTES_PER_S
        await asyncio.sleep(self._link_free_s - loop.time())


@attrs.define(eq=False)
class VirtualStoreClient:
    """Calls of one gateway, in place of `StoreClient`."""

    store: VirtualStore

    async def _answer(self, records):
        self.store.records_read += len(records)
        size_bytes = 200 + RECORD_BYTES * len(records)
        await self.store.transfer(size_bytes)
        await asyncio.sleep(size_bytes / HOST_BYTES_PER_S + DECODE_S * len(records))

    async def page(self, topic, after=""):
        await asyncio.sleep(HOP_S + ANSWER_S)
        self.store.admit("read", self.store.reads_per_s)
        keyed = self.store.topics.setdefault(topic, {})
        keys = [key for key in sorted(keyed) if key > after]
        records = tuple(KeyedRecord(key, keyed[key]) for key in keys[:PAGE_RECORDS])
        await self._answer(records)
        _, end = self.store.log(topic)
        return Records(records, StorePosition(end)), len(keys) > PAGE_RECORDS

    async def newest(self, topic, partial):
        has_more = True
        while has_more:
            after = partial.records[-1].key if partial.records else ""
            page, has_more = await self.page(topic, after)
            partial.records += page.records
            partial.end = partial.end or page.end
        found = Records(tuple(partial.records), partial.end)
        partial.clear()
        return found

    async def read(self, topic, position, wait_s=0.0):
        await asyncio.sleep(HOP_S + ANSWER_S)
        self.store.admit("read", self.store.reads_per_s)
        await asyncio.sleep(wait_s)
        keys, topic_end = self.store.log(topic)
        end = min(topic_end, position.offset + ANSWER_RECORDS)
        keyed = self.store.topics[topic]
        records = tuple(
            KeyedRecord(keys[offset % len(keys)], keyed[keys[offset % len(keys)]])
            for offset in range(position.offset, end)
        )
        await self._answer(records)
        return Records(records, StorePosition(end), end == topic_end)

    async def put(self, topic, key, value):
        await asyncio.sleep(HOP_S + ANSWER_S)
        self.store.admit("write", self.store.writes_per_s)
        self.store.topics.setdefault(topic, {})[key] = value

    def close(self):
        """Nothing to close."""


def _configuration():
    return json.dumps(
        {
            "version": 1,
            "routes": [],
            "backends": [{"name": name} for name in set(SERVICES)],
            "tenants": [{"name": "w", "api_keys": ["k"]}],
        }
    ).encode()


def _endpoint(number):
    return json.dumps(
        {
            "addr": f"10.{number % 3}.{number // 250}.{number % 250}:8000",
            "state": "ready",
            "backend": SERVICES[number % len(SERVICES)],
            "zone": "abc"[number % 3],
            "capacity": 8,
            "born": 1,
        }
    ).encode()


def _settings(gateway):
    return PlatformSettings(
        node_id=gateway.node_id,
        role="gateway",
        failure_domain=gateway.domain,
        address=gateway.node_id,
        front_address="",
        ready_address="",
        peer_port=gateway.port,
        metrics_port=0,
        store_address="store",
        revoke_s=5.0,
        grace_s=8.0,
        retry_ratio=0.2,
        retry_slack=100.0,
        retry_window_s=10.0,
    )


@attrs.define(eq=False)
class StartFleet:
    """Gateways that start within a while.

    Parameters
    ----------
    gateways : list of VirtualGateway
    store : VirtualStore
    stack : ExitStack
        Ends what the gateways run.
    rng : random.Random
    started_s, serving_s : dict
        Times by node id.
    """

    gateways: list
    store: VirtualStore
    stack: ExitStack
    rng: random.Random
    started_s: dict = attrs.field(factory=dict)
    serving_s: dict = attrs.field(factory=dict)

    async def start_all(self, spread_s, timeout_s):
        """Start all gateways within a while, and wait until they serve."""
        tasks = [
            asyncio.ensure_future(self.start(one, self.rng.uniform(0, spread_s)))
            for one in self.gateways
        ]
        await asyncio.wait(tasks, timeout=timeout_s)
        for task in tasks:
            task.cancel()

    async def start(self, gateway, delay_s):
        """Start a gateway, and wait until it can serve callers of all services."""
        loop = asyncio.get_running_loop()
        await asyncio.sleep(delay_s)
        self.started_s[gateway.node_id] = loop.time()
        gateway.network.gateways[gateway.port] = gateway
        gateway.state.startup.begin(loop.time())
        exchange = gateway.exchange
        platform_source = source.PlatformSource(
            _settings(gateway), gateway.state, exchange
        )
        for coroutine in (
            exchange.run(),
            exchange.permits.run(),
            exchange.freshness.run(),
            platform_source.run(),
        ):
            self.stack.enter_context(running(coroutine))
        while not self._can_serve(gateway):
            await asyncio.sleep(0.02)
        self.serving_s[gateway.node_id] = loop.time()

    def _can_serve(self, gateway):
        now_s = asyncio.get_running_loop().time()
        return gateway.state.can_admit(now_s) and all(
            gateway.state.directory.usable(name, now_s) for name in set(SERVICES)
        )

    def waits_s(self):
        """Times from start to service in order; infinite if it wasn't reached."""
        return sorted(
            self.serving_s.get(key, float("inf")) - started_s
            for key, started_s in self.started_s.items()
        )


@contextmanager
def start_fleet(
    count, endpoints, reads_per_s=2_000.0, writes_per_s=400.0, seed=1, **network
):
    """Yield gateways before a store, none of them started."""
    rng = random.Random(seed)
    net = VirtualNetwork(rng, **network)
    store = VirtualStore(reads_per_s, writes_per_s)
    store.topics[source.OPERATOR_TOPIC] = {wire.CONFIGURATION_KEY: _configuration()}
    store.topics[source.ENDPOINT_TOPIC] = {
        f"i-{rng.randrange(16**10):010x}": _endpoint(number)
        for number in range(endpoints)
    }
    store.beats_per_s = endpoints / BEAT_S
    decode_once = functools.lru_cache(maxsize=2 * endpoints)(wire.decode_endpoint)

    def now_s():
        return asyncio.get_running_loop().time()

    with ExitStack() as stack, pytest.MonkeyPatch.context() as patched:
        for module in (state, freshness, peer_exchange, source, topic_poller):
            patched.setattr(module, "boot_time_s", now_s)
        patched.setattr(source, "StoreClient", lambda *_: VirtualStoreClient(store))
        # All gateways decode the same records.
        patched.setattr(
            source,
            "decode_endpoint",
            lambda key, value, _: decode_once(key, value, 0.0),
        )
        gateways = [
            VirtualGateway(f"g-{number}", "abc"[number % 3], 7000 + number, net)
            for number in range(count)
        ]
        yield StartFleet(gateways, store, stack, rng)
