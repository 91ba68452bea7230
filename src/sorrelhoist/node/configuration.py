"""The replica of the configuration in each process.

It folds the log, takes newer states from peers, and tells its listeners when
another configuration is in force.
"""

import asyncio
import logging
import random
import time
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager, suppress
from typing import Any

from returns.result import Failure, Success

from ..clients.exceptions import OffsetExpiredError
from ..clients.log import LogPage
from ..decisions.configuration import ConfigurationFold
from ..decisions.configuration_checkpoints import CheckpointSchedule
from ..decisions.configuration_followers import choose_followers
from ..decisions.configuration_freshness import Freshness
from ..decisions.configuration_parsing import parse_accepted
from ..decisions.configuration_records import Checkpoint, encode_record
from ..decisions.configuration_set import Configuration
from ..exceptions import LogUnavailableError, PeerError
from ..messages.gen import ttypes
from .configuration_body import from_body, to_body
from .configuration_options import (
    ConfigurationLog,
    PeerMember,
    Peers,
    ReplicaOptions,
)

logger = logging.getLogger(__name__)

PEERS_ASKED = 3

Listener = Callable[[Configuration], None]


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
    """

    def __init__(
        self,
        options: ReplicaOptions,
        log: ConfigurationLog,
        peers: Peers,
        randomness: random.Random,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.options = options
        self.log = log
        self.peers = peers
        self.fold = ConfigurationFold()
        self.freshness = Freshness(options.failure_domain, options.stale_after_s)
        self.schedule = CheckpointSchedule(options.log_retention_s, randomness)
        self.configuration = Configuration()
        self.is_ready = False
        self.problem = ""
        self._randomness = randomness
        self._clock = clock
        self._listeners: list[Listener] = []
        self._in_force_offset = 0
        self._next_offset = 1
        self._first_offset = 1
        self._failures = 0
        self._pulls: set[asyncio.Task[None]] = set()

    # What others read.

    @property
    def effective_offset(self) -> int:
        """Log offset of the configuration in force; 0 when there is none."""
        return self._in_force_offset

    @property
    def revision(self) -> int:
        """Number of the configuration in force."""
        return self.fold.revision if self.is_ready else 0

    def digest(self) -> ttypes.Digest:
        """Return what gossip carries of the configuration."""
        offset = self.effective_offset
        digest = self.fold.state.digest if offset else ""
        return ttypes.Digest(configuration_offset=offset, configuration_digest=digest)

    def is_stale(self, now_s: float) -> bool:
        """Whether new work must be refused for want of a trusted configuration."""
        if not self.is_ready or self.problem:
            return True
        domains = self.configuration.failure_domains.keys()
        return self.freshness.is_stale(domains, now_s)

    def add_listener(self, listener: Listener) -> None:
        """Call a function with each configuration that comes into force."""
        self._listeners.append(listener)
        if self.is_ready:
            listener(self.configuration)

    def is_follower(self) -> bool:
        """Whether this process follows the log closely."""
        own = self.options
        node_ids = [
            member.node_id
            for member in self.peers.members()
            if member.failure_domain == own.failure_domain
        ]
        return own.node_id in choose_followers([own.node_id, *node_ids])

    def dump(self) -> dict[str, Any]:
        """Return the state as plain data."""
        now_s = self._clock()
        return {
            "is_ready": self.is_ready,
            "is_stale": self.is_stale(now_s),
            "is_follower": self.is_follower(),
            "problem": self.problem,
            "effective_offset": self.effective_offset,
            "log": {
                "next_offset": self._next_offset,
                "first_offset": self._first_offset,
                "failures_in_a_row": self._failures,
            },
            "fold": self.fold.dump(),
            "freshness": self.freshness.dump(now_s),
            "checkpoints": self.schedule.dump(now_s),
        }

    # The log.

    @asynccontextmanager
    async def running(self) -> AsyncIterator["ConfigurationReplica"]:
        """Follow the log until the block ends."""
        task = asyncio.create_task(self.run())
        try:
            yield self
        finally:
            pulls = list(self._pulls)
            for each in (task, *pulls):
                each.cancel()
            await asyncio.gather(task, *pulls, return_exceptions=True)

    async def run(self) -> None:
        """Follow or poll the log, for ever."""
        while True:
            pause_s = await self.step()
            await asyncio.sleep(pause_s)

    async def step(self) -> float:
        """Read once, and do what follows from it.

        Returns
        -------
        float
            Seconds until the next step.
        """
        is_follower = self.is_follower()
        wait_s = self.options.follow_wait_s if is_follower and self.is_ready else 0.0
        try:
            page = await self._read(wait_s)
        except LogUnavailableError as error:
            return await self._survive(error)
        self._failures = 0
        if self._next_offset < page.next_offset:
            return 0.0
        if not self._is_contiguous():
            await self.ask_peers()
        await self._keep_checkpoint(is_follower)
        if not self._is_contiguous():
            return self._jitter(self.options.retry_min_s)
        if is_follower:
            return 0.0
        return self._jitter(self.options.effective_poll_interval_s)

    async def refresh(self) -> None:
        """Read to the end of the log.

        Raises
        ------
        LogUnavailableError
            If the log does not answer.
        """
        while True:
            page = await self._read(wait_s=0.0)
            if self._next_offset >= page.next_offset:
                return

    async def read_on(self, wait_s: float) -> None:
        """Read once, waiting for the next record.

        Raises
        ------
        LogUnavailableError
            If the log does not answer.
        """
        await self._read(wait_s)

    async def _read(self, wait_s: float) -> LogPage:
        started_at_s = self._clock()
        try:
            page = await self._read_page(wait_s)
        except OffsetExpiredError as error:
            self._next_offset = max(self._next_offset, error.first_offset)
            page = await self._read_page(wait_s=0.0)
        self._take_page(page, started_at_s)
        return page

    async def _read_page(self, wait_s: float) -> LogPage:
        limit = self.options.page_records
        return await self.log.read(self._next_offset, limit=limit, wait_s=wait_s)

    def _take_page(self, page: LogPage, started_at_s: float) -> None:
        now_s = self._clock()
        for record in page.records:
            self.schedule.observe(record.offset, record.age_s, record.value, now_s)
            self.fold.apply(record.offset, record.value)
            self._next_offset = max(self._next_offset, record.offset + 1)
        self._first_offset = page.first_offset
        is_at_end = self._next_offset >= page.next_offset
        if is_at_end and self.fold.reaches(page.next_offset):
            self.freshness.hear_log(started_at_s)
            self._settle()
        elif self.is_ready:
            self._settle()

    async def _survive(self, error: LogUnavailableError) -> float:
        self._failures += 1
        logger.warning("configuration log not read", extra={"error": str(error)})
        if not self.is_ready:
            await self.ask_peers()
        exponent = min(self._failures - 1, 10)
        wait_s = self.options.retry_min_s * 2**exponent
        return self._jitter(min(wait_s, self.options.retry_max_s))

    async def _keep_checkpoint(self, is_follower: bool) -> None:
        if not self.is_ready or not self.fold.reaches(self._next_offset):
            return
        if not self.schedule.is_due(self._first_offset, is_follower, self._clock()):
            return
        text = encode_record(self.fold.state)
        with suppress(LogUnavailableError):
            await self.log.append([text])

    def _jitter(self, duration_s: float) -> float:
        return duration_s * self._randomness.uniform(0.5, 1.0)

    # The peers.

    def on_digest(self, member: PeerMember, digest: ttypes.Digest) -> None:
        """React to the digest that a process sent by gossip."""
        if digest.configuration_offset > self.effective_offset:
            self._start_pull(member)
            return
        self.freshness.hear_peer(member.failure_domain, self._clock())

    def handle(self, body: object) -> object:
        """Answer a message of a peer.

        Raises
        ------
        PeerError
            If it is none that a replica answers.
        """
        match body:
            case ttypes.ConfigurationRequest():
                return self._answer(body)
            case ttypes.ConfigurationBody():
                self._adopt(from_body(body))
                return self._ack()
        raise PeerError(f"A replica does not answer {type(body).__name__}.")

    async def pull(self, member: PeerMember) -> bool:
        """Ask a process for a newer configuration.

        Returns
        -------
        bool
            Whether it answered.
        """
        have_offset = self.effective_offset if self._is_contiguous() else 0
        request = ttypes.ConfigurationRequest(have_offset=have_offset)
        try:
            reply = await self.peers.call(member, request, self.options.peer_timeout_s)
            return self._take_reply(member, reply)
        except PeerError as error:
            logger.info(
                "configuration not fetched",
                extra={"peer": member.node_id, "error": str(error)},
            )
            return False

    async def ask_peers(self) -> None:
        """Ask a few processes, chosen at random, until one answers with a body."""
        members = list(self.peers.members())
        count = min(PEERS_ASKED, len(members))
        for member in self._randomness.sample(members, count):
            await self.pull(member)

    def _answer(self, request: ttypes.ConfigurationRequest) -> object:
        if self.effective_offset > request.have_offset:
            return to_body(self.fold.state)
        if request.have_offset > self.effective_offset:
            self._start_pull(None)
        return self._ack()

    def _ack(self) -> ttypes.ConfigurationAck:
        return ttypes.ConfigurationAck(
            node_id=self.options.node_id, effective_offset=self.effective_offset
        )

    def _take_reply(self, member: PeerMember, reply: object) -> bool:
        match reply:
            case ttypes.ConfigurationBody():
                self._adopt(from_body(reply))
            case ttypes.ConfigurationAck():
                if reply.effective_offset > self.effective_offset:
                    return True
            case _:
                raise PeerError(f"A peer answered with {type(reply).__name__}.")
        self.freshness.hear_peer(member.failure_domain, self._clock())
        return True

    def _adopt(self, state: Checkpoint) -> None:
        self.fold.adopt(state)
        if self.fold.effective_offset > 0:
            self._settle()

    def _is_contiguous(self) -> bool:
        return self.is_ready and self.fold.reaches(self._next_offset)

    def _start_pull(self, member: PeerMember | None) -> None:
        if self._pulls:
            return
        work = self.ask_peers() if member is None else self._pull_from(member)
        task = asyncio.get_running_loop().create_task(work)
        self._pulls.add(task)
        task.add_done_callback(self._pulls.discard)

    async def _pull_from(self, member: PeerMember) -> None:
        await self.pull(member)

    # What is in force.

    def _settle(self) -> None:
        """Put the state of the fold in force."""
        is_first = not self.is_ready
        self.is_ready = True
        if not is_first and self.fold.effective_offset == self._in_force_offset:
            return
        self._in_force_offset = self.fold.effective_offset
        match parse_accepted(self.fold.documents.to_plain()):
            case Success(configuration):
                self._put_in_force(configuration)
            case Failure(problems):
                self.problem = str(problems)
                logger.error(
                    "configuration not understood", extra={"problems": self.problem}
                )

    def _put_in_force(self, configuration: Configuration) -> None:
        self.problem = ""
        self.configuration = configuration
        logger.info(
            "configuration in force",
            extra={
                "effective_offset": self._in_force_offset,
                "revision": self.fold.revision,
                "digest": self.fold.state.digest,
            },
        )
        for listener in self._listeners:
            listener(configuration)
