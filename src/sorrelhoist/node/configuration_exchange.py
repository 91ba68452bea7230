"""Anti-entropy between replicas: exchange of the newest configuration with peers."""

import asyncio
import logging
import random
from collections.abc import Callable, Coroutine
from typing import Any

from ..decisions.configuration_followers import choose_followers
from ..exceptions import PeerError
from ..messages.gen import ttypes
from .configuration_body import from_body
from .configuration_options import PeerMember, Peers, ReplicaOptions
from .configuration_state import ConfigurationState

logger = logging.getLogger(__name__)


class ConfigurationExchange:
    """Exchange of the configuration between one replica and its peers.

    Parameters
    ----------
    state : ConfigurationState
        State of the replica.
    peers : Peers
        The other processes.
    options : ReplicaOptions
        Settings.
    randomness : random.Random
        Source of the choice of peers.
    clock : callable
        Returns monotonic time in seconds.
    """

    def __init__(
        self,
        state: ConfigurationState,
        peers: Peers,
        options: ReplicaOptions,
        randomness: random.Random,
        clock: Callable[[], float],
    ) -> None:
        self._state = state
        self._peers = peers
        self._options = options
        self._randomness = randomness
        self._clock = clock
        self._pulls: set[asyncio.Task[None]] = set()
        self._offsets: dict[str, int] = {}

    def on_digest(self, member: PeerMember, digest: ttypes.Digest) -> None:
        """Process the digest that a peer sent by gossip.

        If the peer has a newer configuration, fetch it in the background; otherwise
        record the contact as proof of freshness.

        Parameters
        ----------
        member : PeerMember
            The sender.
        digest : Digest
            Digest of the configuration that it has in force.
        """
        self._offsets[member.node_id] = digest.configuration_offset
        if digest.configuration_offset > self._state.effective_offset:
            self._start_pull(self._pull_from(member))
            return
        self._record_contact(member)

    def handle(self, body: object) -> object:
        """Return the reply to a peer's message.

        Raises
        ------
        PeerError
            If the message is damaged, or of a type that a replica does not handle.
        """
        match body:
            case ttypes.ConfigurationRequest():
                return self._answer(body)
            case ttypes.ConfigurationBody():
                self._state.adopt(from_body(body))
                return self._ack()
        raise PeerError(f"A replica does not answer {type(body).__name__}.")

    async def pull(self, member: PeerMember, have_offset: int) -> None:
        """Request a configuration newer than an offset from a process.

        A failure is logged and otherwise ignored.
        """
        request = ttypes.ConfigurationRequest(have_offset=have_offset)
        try:
            self._process_reply(member, await self._call(member, request))
        except PeerError as error:
            logger.info(
                "configuration not fetched",
                extra={"peer": member.node_id, "error": str(error)},
            )

    async def fetch_from_peers(self, have_offset: int) -> None:
        """Request a configuration newer than an offset from a few processes in turn."""
        for member in self._choose_sources():
            await self.pull(member, have_offset)

    async def catch_up(self, wanted_offset: int) -> None:
        """Pull from a few processes in turn until an offset is in force here."""
        for member in self._choose_sources():
            if self._state.effective_offset >= wanted_offset:
                return
            await self.pull(member, self._state.effective_offset)

    async def push(self, member: PeerMember) -> int:
        """Send the configuration to a process.

        Returns
        -------
        int
            The effective offset of the process after the push.

        Raises
        ------
        PeerError
            If it does not answer.
        """
        return await self._confirm(member, self._state.body())

    async def probe(self, member: PeerMember) -> int:
        """Request the effective offset of a process; if it is behind, it catches up.

        Returns
        -------
        int
            Its effective offset.

        Raises
        ------
        PeerError
            If it does not answer.
        """
        offset = self._state.effective_offset
        request = ttypes.ConfigurationRequest(have_offset=offset)
        return await self._confirm(member, request)

    def peer_offsets(self) -> dict[str, int]:
        """Return the last reported effective offsets of live processes, by node id."""
        live = {member.node_id for member in self._peers.members()}
        self._offsets = {
            node_id: offset
            for node_id, offset in self._offsets.items()
            if node_id in live
        }
        return dict(self._offsets)

    async def close(self) -> None:
        """Cancel the background pulls."""
        pulls = list(self._pulls)
        for task in pulls:
            task.cancel()
        await asyncio.gather(*pulls, return_exceptions=True)

    async def _confirm(self, member: PeerMember, body: object) -> int:
        offset = self._reply_offset(await self._call(member, body))
        self._offsets[member.node_id] = offset
        return offset

    async def _call(self, member: PeerMember, body: object) -> object:
        return await self._peers.call(member, body, self._options.peer_timeout_s)

    def _choose_sources(self) -> list[PeerMember]:
        """Choose the followers of this failure domain and one random member.

        The followers are the first to learn of changes.
        """
        members = {member.node_id: member for member in self._peers.members()}
        own_domain = self._options.failure_domain
        local_node_ids = [
            member.node_id
            for member in members.values()
            if member.failure_domain == own_domain
        ]
        followers = list(choose_followers([self._options.node_id, *local_node_ids]))
        self._randomness.shuffle(followers)
        others = self._randomness.sample(sorted(members), min(len(members), 1))
        chosen = dict.fromkeys([*followers, *others])
        return [members[node_id] for node_id in chosen if node_id in members]

    def _answer(self, request: ttypes.ConfigurationRequest) -> object:
        offset = self._state.effective_offset
        if offset > request.have_offset:
            return self._state.body()
        if request.have_offset > offset:
            self._start_pull(self.catch_up(request.have_offset))
        return self._ack()

    def _ack(self) -> ttypes.ConfigurationAck:
        """Acknowledge the offset in force; 0 if its configuration can't be parsed."""
        is_understood = not self._state.problem
        return ttypes.ConfigurationAck(
            node_id=self._options.node_id,
            effective_offset=self._state.effective_offset if is_understood else 0,
        )

    def _process_reply(self, member: PeerMember, reply: object) -> None:
        offset = self._reply_offset(reply)
        if isinstance(reply, ttypes.ConfigurationBody):
            self._state.adopt(from_body(reply))
        if offset <= self._state.effective_offset:
            self._record_contact(member)

    def _reply_offset(self, reply: object) -> int:
        match reply:
            case ttypes.ConfigurationBody() | ttypes.ConfigurationAck():
                return reply.effective_offset
        raise PeerError(f"A replica answered with {type(reply).__name__}.")

    def _record_contact(self, member: PeerMember) -> None:
        self._state.freshness.record_peer_contact(member.failure_domain, self._clock())

    async def _pull_from(self, member: PeerMember) -> None:
        await self.pull(member, self._state.effective_offset)

    def _start_pull(self, work: Coroutine[Any, Any, None]) -> None:
        if self._pulls:
            work.close()
            return
        task = asyncio.get_running_loop().create_task(work)
        self._pulls.add(task)
        task.add_done_callback(self._pulls.discard)
