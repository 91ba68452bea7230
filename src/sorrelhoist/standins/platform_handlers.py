"""HTTP interface of the stand-in platform."""

import asyncio

import attrs
from tornado.web import Application

from .platform import Platform, PlatformFaultChange
from .platform_log import Host
from .web import JsonHandler

DEFAULT_LIMIT = 500
MAX_LIMIT = 10_000


@attrs.frozen
class Append:
    """Body of an append: the records."""

    records: list[str]


@attrs.frozen
class HostEntry:
    """A host that a test sets; its name is in the path."""

    address: str
    peer_port: int
    failure_domain: str
    role: str
    state: str = "live"


class _Handler(JsonHandler):
    def initialize(self, platform: Platform) -> None:
        """Set the platform."""
        self.platform = platform

    async def prepare(self) -> None:
        """Delay or refuse the request if a fault says so."""
        if self.platform.faults.slow_s:
            await asyncio.sleep(self.platform.faults.slow_s)
        if self.platform.in_outage:
            self.refuse(503, "outage")


class _RecordsHandler(_Handler):
    """``/v1/logs/TOPIC/records``."""

    def post(self, topic: str) -> None:
        """Append records to a log."""
        platform = self.platform
        records = self.body(Append).records
        if platform.append_rate.take(platform.now_s()) > 0:
            self.refuse(429, "rate")
            return
        log = platform.log(topic)
        first_offset = log.append(records, platform.now_s())
        platform.appends += 1
        platform.notify()
        if platform.faults.lose_append_answer_count > 0:
            platform.faults.lose_append_answer_count -= 1
            self.cut()
            return
        self.reply(200, first_offset=first_offset, next_offset=log.next_offset)

    async def get(self, topic: str) -> None:
        """Read records, waiting up to ``wait_s`` while there are none."""
        platform = self.platform
        from_offset = int(self.get_query_argument("from", "1"))
        limit = min(
            int(self.get_query_argument("limit", str(DEFAULT_LIMIT))), MAX_LIMIT
        )
        wait_s = float(self.get_query_argument("wait_s", "0"))
        await platform.wait_for_record(topic, from_offset, wait_s)
        if platform.in_outage:
            self.refuse(503, "outage")
            return
        log, now_s = platform.log(topic), platform.now_s()
        if from_offset < log.first_offset:
            self.reply(
                416,
                kind="expired",
                first_offset=log.first_offset,
                next_offset=log.next_offset,
            )
            return
        records = [
            {
                "offset": record.offset,
                "age_s": now_s - record.appended_at_s,
                "value": record.value,
            }
            for record in log.read(from_offset, limit)
        ]
        self.reply(
            200,
            records=records,
            first_offset=log.first_offset,
            next_offset=log.next_offset,
        )


class _HostsHandler(_Handler):
    """``/v1/hosts``."""

    def get(self) -> None:
        """Return the host list as it was `hosts_lag_s` ago."""
        platform = self.platform
        until_s = platform.now_s() - platform.options.hosts_lag_s
        hosts = platform.hosts.hosts_at(until_s)
        self.reply(200, hosts=[attrs.asdict(host) for host in hosts])


class _HostHandler(_Handler):
    """``/v1/hosts/HOST``, for tests; also answers during an outage."""

    async def prepare(self) -> None:
        """Skip the delay and outage faults."""

    def put(self, host: str) -> None:
        """Add or replace a host."""
        entry = self.body(HostEntry)
        new_host = Host(host, **attrs.asdict(entry))
        self.platform.hosts.change(host, new_host, self.platform.now_s())
        self.reply(200)

    def delete(self, host: str) -> None:
        """Remove a host."""
        self.platform.hosts.change(host, None, self.platform.now_s())
        self.reply(200)


class _WeightsHandler(_Handler):
    """``/v1/weights/MODEL/VERSION``."""

    async def get(self, model: str, version: str) -> None:
        """Answer after `weights_load_s`, or refuse above the rate limit."""
        platform = self.platform
        wait_s = platform.weight_rate.take(platform.now_s())
        if wait_s > 0:
            self.set_header("Retry-After", f"{wait_s:.3f}")
            self.refuse(429, "rate")
            return
        await asyncio.sleep(platform.options.weights_load_s)
        self.reply(200, bytes=platform.options.weights_bytes)


class _FaultsHandler(_Handler):
    """``/faults``; also answers during an outage."""

    async def prepare(self) -> None:
        """Skip the delay and outage faults."""

    def post(self) -> None:
        """Apply a change of faults and options."""
        changes = self.body(PlatformFaultChange)
        self.platform.inject_faults(changes)
        self.reply(200)


def platform_application(platform: Platform) -> Application:
    """Return the web application of a platform."""
    take = {"platform": platform}
    return Application(
        [
            (r"/v1/logs/([^/]+)/records", _RecordsHandler, take),
            (r"/v1/hosts", _HostsHandler, take),
            (r"/v1/hosts/([^/]+)", _HostHandler, take),
            (r"/v1/weights/([^/]+)/([^/]+)", _WeightsHandler, take),
            (r"/faults", _FaultsHandler, take),
        ],
        log_function=lambda handler: None,
    )
