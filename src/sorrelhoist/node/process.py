"""Services of every entry and agent process: membership, configuration, metrics."""

import asyncio
import contextlib
import logging
import random
import time
import uuid
from collections.abc import AsyncIterator, Awaitable, Callable, Sequence
from contextlib import AsyncExitStack, asynccontextmanager
from typing import Any

import attrs

from ..clients.hosts import HostListClient
from ..clients.log import LogClient
from ..decisions.membership_records import Address, Member
from ..exceptions import PeerError, PlatformError, SorrelhoistError
from ..messages.gen import ttypes
from ..settings import Settings
from .configuration import ConfigurationReplica
from .configuration_options import ReplicaOptions
from .gossip import Gossip, GossipHooks, running_gossip
from .metrics import ProcessMetrics
from .peers import PeerAddress, PeerPool, PeerServer, Responder

logger = logging.getLogger(__name__)

HOST_POLL_INTERVAL_S = 2.0
HOST_POLL_INTERVAL_PER_MEMBER_S = 0.02
HOST_STATE_LEAVING = "leaving"
CONFIGURATION_TOPIC = "configuration"

RoleHandler = Callable[[object, Responder], Awaitable[None]]


@attrs.define
class ReplicaPeers:
    """Gives the configuration replica access to the other processes."""

    process: "NodeProcess"

    def members(self) -> Sequence[Member]:
        """Return all processes that are up, without this one."""
        return self.process.others()

    async def call(self, member: Any, body: object, timeout_s: float) -> object:
        """Send a message to a process and return its reply."""
        address = PeerAddress(member.address, member.peer_port)
        return await self.process.pool.call(address, body, timeout_s)


def parse_address(text: str) -> Address:
    """Parse ``ADDRESS:PORT``.

    Examples
    --------
    >>> parse_address("127.0.0.1:80")
    Address(address='127.0.0.1', port=80)
    """
    address, _, port = text.rpartition(":")
    return Address(address, int(port))


class NodeProcess:
    """Membership, configuration, peer connections and metrics of one process.

    Parameters
    ----------
    settings : Settings
    hooks : GossipHooks
        Gossip hooks of the role; the digest hooks are replaced by those of the
        configuration replica.
    clock : callable, optional
        Monotonic seconds.
    """

    def __init__(
        self,
        settings: Settings,
        hooks: GossipHooks | None = None,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.settings = settings
        self.clock = clock
        self.boot_id = uuid.uuid4().hex
        self.rng = random.Random()
        self.pool = PeerPool()
        self.metrics = ProcessMetrics(settings.node_id, settings.role)
        self.replica = ConfigurationReplica(
            ReplicaOptions(
                settings.node_id,
                settings.failure_domain,
                log_retention_s=settings.log_retention_s,
                stale_after_s=settings.configuration_stale_after_s,
            ),
            LogClient(settings.platform_url, CONFIGURATION_TOPIC),
            ReplicaPeers(self),
            self.rng,
            clock,
        )
        self._hooks = hooks or GossipHooks()
        self._hosts = HostListClient(settings.platform_url)
        self._gossip: Gossip | None = None
        self.leaving_hosts: frozenset[str] = frozenset()

    @property
    def gossip(self) -> Gossip:
        """The running gossip protocol."""
        assert self._gossip is not None
        return self._gossip

    def members(self) -> tuple[Member, ...]:
        """Return all processes that are up, including this one."""
        return () if self._gossip is None else self._gossip.table.alive()

    def all_members(self) -> tuple[Member, ...]:
        """Return all known processes, including those that have left or died."""
        return () if self._gossip is None else self._gossip.table.members()

    def is_gone(self, node_id: str, boot_id: str) -> bool:
        """Tell whether a process is known to have died or left.

        Parameters
        ----------
        node_id, boot_id : str
            Identify one boot of the process; for any other boot the result is False.
        """
        member = self.gossip.table.get(node_id)
        if member is None or member.boot_id != boot_id:
            return False
        return not member.is_up

    def others(self) -> list[Member]:
        """Return all processes that are up, except this one."""
        own = self.settings.node_id
        return [member for member in self.members() if member.node_id != own]

    @asynccontextmanager
    async def running(self, handler: RoleHandler) -> AsyncIterator["NodeProcess"]:
        """Run all services of the process until the context exits.

        Parameters
        ----------
        handler : callable
            Handles the peer calls that are specific to the role.
        """

        async def handle(body: object, responder: Responder) -> None:
            if not await self._handle(body, responder):
                await handler(body, responder)

        server = PeerServer(handle)
        server.listen(self.settings.peer_port, address=self.settings.address)
        async with AsyncExitStack() as stack:
            stack.callback(self.metrics.close)
            stack.callback(self.pool.close)
            stack.callback(server.close)
            self._gossip = await stack.enter_async_context(self._running_gossip())
            hosts = asyncio.create_task(self._poll_hosts())
            stack.callback(hosts.cancel)
            await stack.enter_async_context(self.replica.running())
            yield self

    def _running_gossip(self) -> Any:
        seeds = [parse_address(seed) for seed in self.settings.seeds]
        hooks = attrs.evolve(
            self._hooks,
            digest=self.replica.digest,
            on_digest=lambda digest, member: self.replica.on_digest(member, digest),
        )
        return running_gossip(
            self._local_member(),
            self._call,
            seeds=seeds,
            hooks=hooks,
            rng=self.rng,
            clock=self.clock,
        )

    def _local_member(self) -> Member:
        settings = self.settings
        endpoint = settings.endpoint
        return Member(
            node_id=settings.node_id,
            boot_id=self.boot_id,
            role=settings.role,
            address=settings.address,
            peer_port=settings.peer_port,
            http_port=settings.http_port,
            host=settings.host,
            failure_domain=settings.failure_domain,
            region=settings.region,
            endpoint=endpoint.name if endpoint else "",
        )

    async def _call(
        self, address: str, port: int, body: object, timeout_s: float
    ) -> object:
        return await self.pool.call(PeerAddress(address, port), body, timeout_s)

    async def _handle(self, body: object, responder: Responder) -> bool:
        match body:
            case ttypes.SyncRequest():
                await responder.send(self.gossip.handle_sync(body))
            case ttypes.HostLeaving(host=host):
                self.leaving_hosts |= {host}
                await responder.send(ttypes.HostLeavingHeard())
            case ttypes.ConfigurationRequest() | ttypes.ConfigurationBody():
                await responder.send(self.replica.handle(body))
            case _:
                return False
        return True

    async def _poll_hosts(self) -> None:
        while True:
            try:
                await self._update_hosts()
            except (PlatformError, SorrelhoistError) as error:
                logger.debug(
                    "host list not read; retrying at the next poll",
                    extra={"error": error.message},
                )
            await asyncio.sleep(self._host_poll_interval_s())

    def _host_poll_interval_s(self) -> float:
        """Return the polling interval of the host list, in seconds.

        A few processes in each failure domain (the followers) poll often and notify the
        others. The interval of the others grows with the number of members, so that the
        total read rate stays low however large the fleet is.
        """
        if self.replica.is_follower():
            return HOST_POLL_INTERVAL_S
        slow_s = len(self.members()) * HOST_POLL_INTERVAL_PER_MEMBER_S
        return max(HOST_POLL_INTERVAL_S, slow_s)

    async def _update_hosts(self) -> None:
        hosts = await self._hosts.fetch()
        leaving = {host.host for host in hosts if host.state == HOST_STATE_LEAVING}
        newly_leaving = leaving - self.leaving_hosts
        self.leaving_hosts = frozenset(leaving)
        if newly_leaving and self.replica.is_follower():
            await self._notify_leaving_hosts(newly_leaving)
        self.gossip.table.mark_platform_leaving(leaving)
        seeds = [parse_address(seed) for seed in self.settings.seeds]
        seeds += [Address(host.address, host.peer_port) for host in hosts]
        self.gossip.table.set_seeds(seeds)

    async def _notify_leaving_hosts(self, hosts: set[str]) -> None:
        """Notify the processes on leaving hosts, whose own poll may come much later."""
        calls = [
            self._notify_leaving(member)
            for member in self.others()
            if member.host in hosts
        ]
        await asyncio.gather(*calls)

    async def _notify_leaving(self, member: Member) -> None:
        body = ttypes.HostLeaving(host=member.host)
        with contextlib.suppress(PeerError):
            await self._call(
                member.address, member.peer_port, body, HOST_POLL_INTERVAL_S
            )

    def dump(self) -> dict:
        """Return the state of the process as plain data."""
        return {
            "node_id": self.settings.node_id,
            "role": self.settings.role,
            "boot_id": self.boot_id,
            "failure_domain": self.settings.failure_domain,
            "configuration": self.replica.dump(),
            "membership": self.gossip.table.dump(),
            "gossip": attrs.asdict(self.gossip.counters),
            "leaving_hosts": sorted(self.leaving_hosts),
        }
