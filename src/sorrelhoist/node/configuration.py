"""The replica of the configuration in each process: it follows the log."""

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
    """One process's copy of the configuration.

    Parameters
    ----------
    options : ReplicaOptions
        Settings.
    log : ConfigurationLog
        The topic.
    peers : Peers
        The other processes.
    randomness : random.Random
        For jitter and the choice of peers.
    clock : callable
        Monotonic seconds.

    Attributes
    ----------
    state : ConfigurationState
        What is known and in force.
    exchange : ConfigurationExchange
        The side that faces the peers.
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
        """The configuration in force; empty while there is none."""
        return self.state.configuration

    @property
    def is_ready(self) -> bool:
        """Whether a configuration is known to be in force."""
        return self.state.is_ready

    @property
    def effective_offset(self) -> int:
        """Log offset of the configuration in force; 0 when there is none."""
        return self.state.effective_offset

    @property
    def is_caught_up(self) -> bool:
        """Whether the log was read without a gap, as far as it was read."""
        return self.is_ready and self.state.fold.is_complete_before(
            self._view.next_offset
        )

    @property
    def end_offset(self) -> int:
        """What the next append to the log gets, as of the last read."""
        return self._view.end_offset

    def is_stale(self, now_s: float) -> bool:
        """Whether new work must be refused for want of a trusted configuration."""
        return self.state.is_stale(now_s)

    def add_listener(self, listener: Listener) -> None:
        """Call a function with each configuration that comes into force."""
        self.state.add_listener(listener)

    def digest(self) -> ttypes.Digest:
        """Return what gossip carries of the configuration."""
        return self.state.digest()

    def on_digest(self, member: PeerMember, digest: ttypes.Digest) -> None:
        """React to the digest that a process sent by gossip."""
        self.exchange.on_digest(member, digest)

    def handle(self, body: object) -> object:
        """Answer a message of a peer; see `ConfigurationExchange.handle`."""
        return self.exchange.handle(body)

    def peer_offsets(self) -> dict[str, int]:
        """Return the effective offsets of live processes, as last heard."""
        return self.exchange.peer_offsets()

    def is_follower(self) -> bool:
        """Whether this process follows the log closely."""
        own = self.options
        node_ids = [
            member.node_id
            for member in self.peers.members()
            if member.failure_domain == own.failure_domain
        ]
        return own.node_id in choose_followers([own.node_id, *node_ids])

    def alarms(self) -> list[Alarm]:
        """Return what an operator has to know, each with its remedy."""
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
        """Follow the log until the block ends."""
        task = asyncio.create_task(self.run())
        try:
            yield self
        finally:
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
            await self.exchange.close()

    async def run(self) -> None:
        """Follow or poll the log, for ever."""
        while True:
            try:
                pause_s = await self.step()
            except Exception:
                logger.exception("configuration step failed")
                pause_s = self._jitter(self.options.retry_max_s)
            await asyncio.sleep(pause_s)

    async def step(self) -> float:
        """Read once, and do what follows from it.

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
            return await self._survive(error)
        if self._view.went_back:
            return self._jitter(self.options.retry_max_s)
        if self._view.next_offset < page.next_offset:
            return 0.0
        if not self.is_caught_up:
            await self._fill_gap()
            return self._jitter(self.options.retry_min_s)
        await self._keep_checkpoint(is_follower)
        if is_follower:
            return FOLLOWER_PAUSE_S
        return self._jitter(self.options.effective_poll_interval_s)

    async def refresh(self) -> None:
        """Read to the end of the log.

        Raises
        ------
        LogUnavailableError
            If the log does not answer.
        """
        while True:
            page = await self.read(wait_s=0.0)
            if self._view.next_offset >= page.next_offset:
                return

    async def read(self, wait_s: float) -> LogPage:
        """Read once from where the last read ended.

        Parameters
        ----------
        wait_s : float
            How long to wait for a record when there is none.

        Raises
        ------
        LogUnavailableError
            If the log does not answer.
        """
        started_at_s = self.clock()
        read_from = self._view.next_offset
        try:
            page = await self._read_page(read_from, wait_s)
        except OffsetExpiredError as error:
            read_from = error.first_offset
            page = await self._read_page(read_from, wait_s=0.0)
            self._view.skip_to(read_from)
        self._take_page(page, read_from, started_at_s)
        return page

    async def _read_page(self, read_from: int, wait_s: float) -> LogPage:
        limit = self.options.page_records
        return await self.log.read(read_from, limit=limit, wait_s=wait_s)

    def _take_page(self, page: LogPage, read_from: int, started_at_s: float) -> None:
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
            self.state.settle()
        elif self.is_ready:
            self.state.settle()

    async def _survive(self, error: LogUnavailableError) -> float:
        self._view.failures += 1
        logger.warning("configuration log not read", extra={"error": str(error)})
        if not self.is_ready:
            await self._fill_gap()
        doublings = min(self._view.failures - 1, MAX_BACKOFF_DOUBLINGS)
        wait_s = self.options.retry_min_s * 2**doublings
        return self._jitter(min(wait_s, self.options.retry_max_s))

    async def _fill_gap(self) -> None:
        """Ask for the whole state: some records are not to be had from the log."""
        await self.exchange.ask_peers(have_offset=0)

    async def _keep_checkpoint(self, is_follower: bool) -> None:
        first_offset = self._view.first_offset
        if not self.schedule.is_due(first_offset, is_follower, self.clock()):
            return
        text = encode_record(self.state.fold.state)
        with suppress(LogUnavailableError):
            await self.log.append([text])

    def _jitter(self, duration_s: float) -> float:
        return duration_s * self._randomness.uniform(0.5, 1.0)
