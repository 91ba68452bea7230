"""The stand-in platform: logs, a lagging host list, a weight store."""

import asyncio
import math
import time
from collections import defaultdict

import attrs

from .platform_log import LaggingHosts, Log, RateLimit
from .server import MortalServer
from .web import change


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


@attrs.frozen
class PlatformFaultChange:
    """What `POST /faults` changes; None leaves it as it is.

    Parameters
    ----------
    outage_s : float, optional
        An outage begins now and lasts so long; 0 ends it.
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

    def strike(self, changes: PlatformFaultChange) -> None:
        """Switch faults on or off, or change options."""
        change(self.faults, changes)
        if changes.outage_s is not None:
            self.faults.outage_until_s = self.now_s() + changes.outage_s
        names = attrs.fields_dict(PlatformOptions)
        options = attrs.asdict(changes, filter=lambda field, value: value is not None)
        options = {name: options[name] for name in options if name in names}
        if options:
            self.configure(attrs.evolve(self.options, **options))
        self.notify()

    def start(self, server: MortalServer) -> None:
        """Take the server."""
        self._server = server

    async def stop(self) -> None:
        """Stop for good; reads that wait are let go."""
        self.faults.outage_until_s = math.inf
        self.notify()
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
