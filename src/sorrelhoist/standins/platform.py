"""The stand-in platform: logs, a host list that lags, and a weight store."""

import asyncio
import math
import time
from collections import defaultdict

import attrs

from .platform_log import LaggingHosts, Log, TokenBucket
from .server import RestartableServer
from .web import change


@attrs.frozen
class PlatformOptions:
    """Rates, delays and retention of the stand-in platform.

    Parameters
    ----------
    appends_per_s : float
        Rate limit of appends of any size to all logs together; 0 for no limit.
    retention_s : float
        Retention of a record; 0 for no expiry.
    hosts_lag_s : float
        Lag of the host list.
    weights_per_s : float
        Rate limit of loads from the weight store; 0 for no limit.
    weights_load_s : float
        Duration of a load.
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
    """Active faults; the count is decremented when its fault is applied.

    Parameters
    ----------
    outage_until_s : float
        End of the outage; until then requests are answered 503.
    slow_s : float
        Delay of every answer.
    lose_append_answer_count : int
        Number of appends that take effect without an answer.
    """

    outage_until_s: float = 0.0
    slow_s: float = 0.0
    lose_append_answer_count: int = 0


@attrs.frozen
class PlatformFaultChange:
    """Body of `POST /faults`; None leaves a fault or option unchanged.

    Parameters
    ----------
    outage_s : float, optional
        Start an outage of this length now; 0 ends an outage.
    """

    outage_s: float | None = None
    slow_s: float | None = None
    lose_append_answer_count: int | None = None
    appends_per_s: float | None = None
    retention_s: float | None = None
    hosts_lag_s: float | None = None
    weights_per_s: float | None = None
    weights_load_s: float | None = None


class Platform:
    """One platform, with its logs, hosts and faults.

    Parameters
    ----------
    options : PlatformOptions
        Options at the start.
    """

    def __init__(self, options: PlatformOptions) -> None:
        self.faults = PlatformFaults()
        self.logs: defaultdict[str, Log] = defaultdict(Log)
        self.hosts = LaggingHosts()
        self.appends = 0
        self._changed = asyncio.Event()
        self._server: RestartableServer | None = None
        self.configure(options)

    def configure(self, options: PlatformOptions) -> None:
        """Apply new options and reset the rate limits."""
        self.options = options
        self.append_rate = TokenBucket(
            options.appends_per_s, max(options.appends_per_s, 1.0)
        )
        self.weight_rate = TokenBucket(options.weights_per_s, 1.0)

    def inject_faults(self, changes: PlatformFaultChange) -> None:
        """Apply a change of faults and options."""
        change(self.faults, changes)
        if changes.outage_s is not None:
            self.faults.outage_until_s = self.now_s() + changes.outage_s
        names = attrs.fields_dict(PlatformOptions)
        options = attrs.asdict(changes, filter=lambda field, value: value is not None)
        options = {name: options[name] for name in options if name in names}
        if options:
            self.configure(attrs.evolve(self.options, **options))
        self.notify()

    def start(self, server: RestartableServer) -> None:
        """Set the server."""
        self._server = server

    async def stop(self) -> None:
        """Stop permanently, after waking the readers that wait."""
        self.faults.outage_until_s = math.inf
        self.notify()
        if self._server is not None:
            await self._server.stop()

    @staticmethod
    def now_s() -> float:
        """Return the monotonic time in seconds."""
        return time.monotonic()

    @property
    def in_outage(self) -> bool:
        """Whether an outage is on."""
        return self.now_s() < self.faults.outage_until_s

    def log(self, topic: str) -> Log:
        """Return a log after dropping its expired records."""
        log = self.logs[topic]
        if self.options.retention_s:
            log.expire(self.now_s() - self.options.retention_s)
        return log

    async def wait_for_record(self, topic: str, offset: int, wait_s: float) -> None:
        """Wait up to `wait_s` until a log has a record at an offset."""
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
