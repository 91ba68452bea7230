"""The stand-in platform: logs, a lagging host list, a weight store."""

import asyncio
import time
from collections import defaultdict

import attrs
from tornado.web import Application

from .platform_log import LaggingHosts, Log, RateLimit
from .server import MortalServer
from .web import JsonHandler

DEFAULT_LIMIT = 500
MAX_LIMIT = 10_000


@attrs.frozen
class PlatformOptions:
    """How the stand-in platform is built.

    Parameters
    ----------
    appends_per_s : float
        Appends, whatever their size, that all logs take together; 0 for no limit.
    retention_s : float
        How long a record is kept; 0 for ever.
    hosts_lag_s : float
        How old the list of hosts is.
    weights_per_s : float
        Loads that the weight store starts; 0 for no limit.
    weights_load_s : float
        How long a load takes.
    weights_bytes : int
        Size of each set of weights.
    """

    appends_per_s: float = 300.0
    retention_s: float = 3600.0
    hosts_lag_s: float = 5.0
    weights_per_s: float = 1.0
    weights_load_s: float = 5.0
    weights_bytes: int = 60_000_000_000


@attrs.define
class PlatformFaults:
    """Faults that are on.

    Parameters
    ----------
    outage_until_s : float
        Everything is answered 503 before.
    slow_s : float
        Every answer waits so long.
    lose_append_answer_count : int
        So many appends take effect and are not answered.
    """

    outage_until_s: float = 0.0
    slow_s: float = 0.0
    lose_append_answer_count: int = 0


class Platform:
    """One platform.

    Parameters
    ----------
    options : PlatformOptions
        How it is built.
    """

    def __init__(self, options: PlatformOptions) -> None:
        self.faults = PlatformFaults()
        self.logs: defaultdict[str, Log] = defaultdict(Log)
        self.hosts = LaggingHosts()
        self.appends = 0
        self._changed = asyncio.Event()
        self._server: MortalServer | None = None
        self.configure(options)

    def configure(self, options: PlatformOptions) -> None:
        """Take new options."""
        self.options = options
        self.append_rate = RateLimit(
            options.appends_per_s, max(options.appends_per_s, 1.0)
        )
        self.weight_rate = RateLimit(options.weights_per_s, 1.0)

    def start(self, server: MortalServer) -> None:
        """Take the server."""
        self._server = server

    async def stop(self) -> None:
        """Stop for good."""
        if self._server is not None:
            await self._server.stop()

    @staticmethod
    def now_s() -> float:
        """Return the monotonic time."""
        return time.monotonic()

    @property
    def in_outage(self) -> bool:
        """Whether an outage is on."""
        return self.now_s() < self.faults.outage_until_s

    def log(self, topic: str) -> Log:
        """Return a log without its expired records."""
        log = self.logs[topic]
        if self.options.retention_s:
            log.expire(self.now_s() - self.options.retention_s)
        return log

    async def records_from(self, topic: str, offset: int, wait_s: float) -> None:
        """Wait until a log has a record at an offset, at most so long."""
        deadline_s = self.now_s() + wait_s
        while self.log(topic).next_offset <= offset and not self.in_outage:
            left_s = deadline_s - self.now_s()
            if left_s <= 0:
                return
            try:
                await asyncio.wait_for(self._changed.wait(), left_s)
            except TimeoutError:
                return

    def notify(self) -> None:
        """Wake the readers that wait."""
        self._changed.set()
        self._changed = asyncio.Event()


class _Handler(JsonHandler):
    def initialize(self, platform: Platform) -> None:
        """Take the platform."""
        self.platform = platform

    async def prepare(self) -> None:
        """Be slow, or out, as the faults say."""
        if self.platform.faults.slow_s:
            await asyncio.sleep(self.platform.faults.slow_s)
        if self.platform.in_outage:
            self.refuse(503, "outage")


class _RecordsHandler(_Handler):
    """``/v1/logs/TOPIC/records``."""

    def post(self, topic: str) -> None:
        """Append."""
        platform = self.platform
        if platform.append_rate.take(platform.now_s()) > 0:
            self.refuse(429, "rate")
            return
        log = platform.log(topic)
        first_offset = log.append(self.body()["records"], platform.now_s())
        platform.appends += 1
        platform.notify()
        if platform.faults.lose_append_answer_count > 0:
            platform.faults.lose_append_answer_count -= 1
            self.cut()
            return
        self.reply(200, first_offset=first_offset, next_offset=log.next_offset)

    async def get(self, topic: str) -> None:
        """Read, waiting for a record when there is none."""
        platform = self.platform
        from_offset = int(self.get_query_argument("from", "1"))
        limit = min(
            int(self.get_query_argument("limit", str(DEFAULT_LIMIT))), MAX_LIMIT
        )
        wait_s = float(self.get_query_argument("wait_s", "0"))
        await platform.records_from(topic, from_offset, wait_s)
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
        """Return the lagging list."""
        platform = self.platform
        until_s = platform.now_s() - platform.options.hosts_lag_s
        self.reply(200, hosts=platform.hosts.listed(until_s))


class _HostHandler(_Handler):
    """``/v1/hosts/HOST``, for tests."""

    def put(self, host: str) -> None:
        """Set a host's entry."""
        entry = {**self.body(), "host": host}
        self.platform.hosts.change(host, entry, self.platform.now_s())
        self.reply(200)

    def delete(self, host: str) -> None:
        """Remove a host."""
        self.platform.hosts.change(host, None, self.platform.now_s())
        self.reply(200)


class _WeightsHandler(_Handler):
    """``/v1/weights/MODEL/VERSION``."""

    async def get(self, model: str, version: str) -> None:
        """Answer after the load time."""
        platform = self.platform
        wait_s = platform.weight_rate.take(platform.now_s())
        if wait_s > 0:
            self.set_header("Retry-After", f"{wait_s:.3f}")
            self.refuse(429, "rate")
            return
        await asyncio.sleep(platform.options.weights_load_s)
        self.reply(200, bytes=platform.options.weights_bytes)


class _FaultsHandler(_Handler):
    """``/faults``, also in an outage."""

    async def prepare(self) -> None:
        """Answer at once."""

    def post(self) -> None:
        """Switch faults on or off, or change options."""
        platform = self.platform
        changes = self.body()
        if "outage_s" in changes:
            outage_s = float(changes.pop("outage_s"))
            platform.faults.outage_until_s = platform.now_s() + outage_s
        fault_names = attrs.fields_dict(PlatformFaults)
        for name in [name for name in changes if name in fault_names]:
            setattr(platform.faults, name, changes.pop(name))
        if changes:
            platform.configure(attrs.evolve(platform.options, **changes))
        platform.notify()
        self.reply(200)


def platform_application(platform: Platform) -> Application:
    """Return the routes of a platform."""
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
