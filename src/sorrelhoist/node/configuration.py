"""Configuration replica of each process, updated from the log and from peers."""

import asyncio
import logging
import random
import time
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager, suppress
from typing import Any

from ..clients.exceptions import OffsetExpiredError
from ..clients.log import LogPage
from ..decisions.configuration_alarms import Alarm, LogView, active_alarms
from ..decisions.configuration_checkpoints import CheckpointSchedule
from ..decisions.configuration_followers import choose_followers
from ..decisions.configuration_freshness import Freshness
from ..decisions.configuration_records import encode_record
from ..decisions.configuration_set import Configuration
from ..exceptions import LogUnavailableError
from ..messages.gen import ttypes
from .configuration_exchange import ConfigurationExchange
from .configuration_options import (
    ConfigurationLog,
    PeerMember,
    Peers,
    ReplicaOptions,
)
from .configuration_state import ConfigurationState, Listener

logger = logging.getLogger(__name__)

MAX_BACKOFF_DOUBLINGS = 10
FOLLOWER_PAUSE_S = 0.05


class ConfigurationReplica:
    """Replica of the configuration in one process.

    Parameters
    ----------
    options : ReplicaOptions
        Settings.
    log : ConfigurationLog
        Client of the configuration topic.
    peers : Peers
        The other processes.
    randomness : random.Random
        Source of the jitter and of the choice of peers.
    clock : callable
        Returns monotonic time in seconds.

    Attributes
    ----------
    state : ConfigurationState
        State folded from the log, and the configuration in force.
    exchange : ConfigurationExchange
        Exchange of the configuration with peers.
    """

    def __init__(
        self,
        options: ReplicaOptions,
        log: ConfigurationLog,
        peers: Peers,
        randomness: random.Random,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        freshness = Freshness(options.failure_domain, options.stale_after_s)
        self.options = options
        self.log = log
        self.peers = peers
        self.clock = clock
        self.state = ConfigurationState(freshness)
        self.exchange = ConfigurationExchange(
            self.state, peers, options, randomness, clock
        )
        self.schedule = CheckpointSchedule(options.log_retention_s, randomness)
        self._randomness = randomness
        self._view = LogView()

    @property
    def configuration(self) -> Configuration:
        """The configuration in force; empty if there is none."""
        return self.state.configuration

    @property
    def is_ready(self) -> bool:
        """Whether this process knows which configuration is in force."""
        return self.state.is_ready

    @property
    def effective_offset(self) -> int:
        """Log offset of the configuration in force; 0 if there is none."""
        return self.state.effective_offset

    @property
    def is_caught_up(self) -> bool:
        """Whether the state covers every record before the next read, without a gap."""
        return self.is_ready and self.state.fold.is_complete_before(
            self._view.next_offset
        )

    @property
    def end_offset(self) -> int:
        """Offset that the next append to the log would get, as of the last read."""
        return self._view.end_offset

    def is_stale(self, now_s: float) -> bool:
        """Whether new work must be refused; see `ConfigurationState.is_stale`."""
        return self.state.is_stale(now_s)

    def add_listener(self, listener: Listener) -> None:
        """Register a function to call with each configuration that comes into force."""
        self.state.add_listener(listener)

    def digest(self) -> ttypes.Digest:
        """Return the digest of the configuration for gossip."""
        return self.state.digest()

    def on_digest(self, member: PeerMember, digest: ttypes.Digest) -> None:
        """Process the digest that a peer sent by gossip."""
        self.exchange.on_digest(member, digest)

    def handle(self, body: object) -> object:
        """Return the reply to a peer's message; see `ConfigurationExchange.handle`."""
        return self.exchange.handle(body)

    def peer_offsets(self) -> dict[str, int]:
        """Return the last reported effective offsets of live processes, by node id."""
        return self.exchange.peer_offsets()

    def is_follower(self) -> bool:
        """Whether this process follows the log by long polling."""
        own = self.options
        node_ids = [
            member.node_id
            for member in self.peers.members()
            if member.failure_domain == own.failure_domain
        ]
        return own.node_id in choose_followers([own.node_id, *node_ids])

    def alarms(self) -> list[Alarm]:
        """Return the active alarms, each with its remedy."""
        now_s = self.clock()
        return active_alarms(
            self.state.fold,
            self._view,
            is_ready=self.is_ready,
            is_stale=self.is_stale(now_s),
            problem=self.state.problem,
        )

    def dump(self) -> dict[str, Any]:
        """Return the state as plain data."""
        now_s = self.clock()
        return {
            **self.state.dump(now_s),
            "is_follower": self.is_follower(),
            "log": self._view.dump(),
            "peer_offsets": self.peer_offsets(),
            "checkpoints": self.schedule.dump(now_s),
        }

    @asynccontextmanager
    async def running(self) -> AsyncIterator["ConfigurationReplica"]:
        """Context manager that follows the log in the background."""
        task = asyncio.create_task(self.run())
        try:
            yield self
        finally:
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
            await self.exchange.close()

    async def run(self) -> None:
        """Read the log until cancelled, and continue after any exception."""
        while True:
            try:
                pause_s = await self.step()
            except Exception:
                logger.exception("configuration step failed")
                pause_s = self._jitter(self.options.retry_max_s)
            await asyncio.sleep(pause_s)

    async def step(self) -> float:
        """Read the log once, and fill gaps or append a checkpoint if needed.

        Returns
        -------
        float
            Seconds until the next step.
        """
        is_follower = self.is_follower()
        wait_s = self.options.follow_wait_s if is_follower else 0.0
        try:
            page = await self.read(wait_s if self.is_caught_up else 0.0)
        except LogUnavailableError as error:
            return await self._handle_read_failure(error)
        if self._view.went_back:
            return self._jitter(self.options.retry_max_s)
        if self._view.next_offset < page.next_offset:
            return 0.0
        if not self.is_caught_up:
            await self._fill_gap()
            return self._jitter(self.options.retry_min_s)
        await self._append_due_checkpoint(is_follower)
        if is_follower:
            return FOLLOWER_PAUSE_S
        return self._jitter(self.options.effective_poll_interval_s)

    async def refresh(self) -> None:
        """Read to the end of the log.

        Raises
        ------
        LogUnavailableError
            If the log is unavailable.
        """
        while True:
            page = await self.read(wait_s=0.0)
            if self._view.next_offset >= page.next_offset:
                return

    async def read(self, wait_s: float) -> LogPage:
        """Read one page, starting where the last read ended, and apply its records.

        If these records have expired, the read starts at the oldest retained record.

        Parameters
        ----------
        wait_s : float
            Maximum time to wait for a new record (long polling).

        Raises
        ------
        LogUnavailableError
            If the log is unavailable.
        """
        started_at_s = self.clock()
        read_from = self._view.next_offset
        try:
            page = await self._read_page(read_from, wait_s)
        except OffsetExpiredError as error:
            read_from = error.first_offset
            page = await self._read_page(read_from, wait_s=0.0)
            self._view.skip_to(read_from)
        self._process_page(page, read_from, started_at_s)
        return page

    async def _read_page(self, read_from: int, wait_s: float) -> LogPage:
        limit = self.options.page_records
        return await self.log.read(read_from, limit=limit, wait_s=wait_s)

    def _process_page(self, page: LogPage, read_from: int, started_at_s: float) -> None:
        now_s = self.clock()
        for record in page.records:
            self.schedule.observe(record.offset, record.age_s, record.value, now_s)
            self.state.fold.apply(record.offset, record.value)
            self._view.skip_to(record.offset + 1)
        self._view.record_read(read_from, page.first_offset, page.next_offset)
        if self._view.went_back:
            return
        is_at_end = self._view.next_offset >= page.next_offset
        if is_at_end and self.state.fold.is_complete_before(page.next_offset):
            self.state.freshness.record_log_read(started_at_s)
            self.state.activate()
        elif self.is_ready:
            self.state.activate()

    async def _handle_read_failure(self, error: LogUnavailableError) -> float:
        self._view.failures += 1
        logger.warning("configuration log not read", extra={"error": str(error)})
        if not self.is_ready:
            await self._fill_gap()
        doublings = min(self._view.failures - 1, MAX_BACKOFF_DOUBLINGS)
        wait_s = self.options.retry_min_s * 2**doublings
        return self._jitter(min(wait_s, self.options.retry_max_s))

    async def _fill_gap(self) -> None:
        """Fetch the complete state from peers; the log can't supply all records."""
        await self.exchange.fetch_from_peers(have_offset=0)

    async def _append_due_checkpoint(self, is_follower: bool) -> None:
        first_offset = self._view.first_offset
        if not self.schedule.is_due(first_offset, is_follower, self.clock()):
            return
        text = encode_record(self.state.fold.state)
        with suppress(LogUnavailableError):
            await self.log.append([text])

    def _jitter(self, duration_s: float) -> float:
        return duration_s * self._randomness.uniform(0.5, 1.0)
