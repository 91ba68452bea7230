"""Keeps a gateway's beliefs up to date from the platform's store."""

import asyncio
import json
import logging
from collections.abc import Callable

import attrs

from ..exceptions import PlatformError
from ..gateway.load_exchange import LoadExchange, PeerAddress
from ..gateway.state import GatewayState, boot_time_s
from .settings import PlatformSettings
from .store import KeyedRecord, Records, RecordsExpiredError, StoreClient
from .wire import (
    CONFIGURATION_KEY,
    EVACUATION_PREFIX,
    UnreadableRecord,
    decode_endpoint,
    decode_table,
)

logger = logging.getLogger(__name__)

OPERATOR_TOPIC = "keyed.op"
ENDPOINT_TOPIC = "keyed.servers"
PEER_TOPIC = "keyed.gateways"

OPERATOR_WAIT_S = 1.2
"""How long the store holds a read of the configuration open: each answer renews
the proof that no key was taken away."""

ENDPOINT_INTERVAL_S = 0.9
"""Between two reads of the directory: under half of the time in which a leaving
endpoint must get nothing more."""

PEER_INTERVAL_S = 5.0
"""Between two reads of the list of gateways."""

PEER_RENEWAL_S = 20.0
"""Between two writes of the own entry there."""

PEER_LIFETIME_S = 90.0
"""A gateway whose entry is older has gone: several renewals."""

BACKOFF_S = 0.1
"""After a failed call: short against the bounds, and few calls a second."""


@attrs.define(eq=False)
class Follower:
    """Reads one topic on and on.

    Parameters
    ----------
    store : StoreClient
    topic : str
    apply : callable
        Takes a record.
    reset : callable
        Takes the records of a read of all newest ones.
    completed : callable
        Takes the boot time at which a complete read was sent.
    interval_s, wait_s : float
        Pause between reads, and how long the store may wait.
    """

    store: StoreClient
    topic: str
    apply: Callable[[KeyedRecord], None]
    reset: Callable[[Records], None]
    completed: Callable[[float], None]
    interval_s: float = 0.0
    wait_s: float = 0.0
    _offset: int | None = None
    _is_lost: bool = False

    async def run(self) -> None:
        """Read until cancelled."""
        while True:
            sent_s = boot_time_s()
            try:
                await self._read()
            except RecordsExpiredError as error:
                self._note("history gone", str(error))
                self._offset = None
                continue
            except PlatformError as error:
                self._failed(error)
                await asyncio.sleep(BACKOFF_S)
                continue
            self._regained()
            self.completed(sent_s)
            if self.interval_s:
                await asyncio.sleep(self.interval_s)

    async def _read(self) -> None:
        if self._offset is None:
            found = await self.store.newest(self.topic)
            self.reset(found)
        else:
            # A store that is just back is asked for a plain answer first.
            wait_s = 0.0 if self._is_lost else self.wait_s
            found = await self.store.read(self.topic, self._offset, wait_s)
        for record in found.records:
            self.apply(record)
        self._offset = found.end_offset

    def _failed(self, error: PlatformError) -> None:
        if not self._is_lost:
            self._is_lost = True
            self._note("dependency lost", str(error))

    def _regained(self) -> None:
        if self._is_lost:
            self._is_lost = False
            self._note("dependency regained", "")

    def _note(self, message: str, reason: str) -> None:
        logger.warning(
            message,
            extra={
                "event": message.replace(" ", "_"),
                "dependency": self.topic,
                "reason": reason,
                "offset": self._offset,
            },
        )


class PlatformSource:
    """Feeds a gateway's state from the store.

    Parameters
    ----------
    settings : PlatformSettings
    state : GatewayState
    exchange : LoadExchange
        Learns of the other gateways.
    """

    def __init__(
        self, settings: PlatformSettings, state: GatewayState, exchange: LoadExchange
    ) -> None:
        self._settings = settings
        self._state = state
        self._exchange = exchange
        self._store = StoreClient(settings.store_address)
        self._evacuated: set[str] = set()
        self._peers: dict[str, _Peer] = {}
        self._renewed_s = float("-inf")

    async def run(self) -> None:
        """Follow all topics until cancelled."""
        followers = (
            Follower(
                self._store,
                OPERATOR_TOPIC,
                self._apply_operator,
                self._reset_operator,
                self._state.contact.read_completed,
                wait_s=OPERATOR_WAIT_S,
            ),
            Follower(
                self._store,
                ENDPOINT_TOPIC,
                self._apply_endpoint,
                self._reset_endpoints,
                self._endpoints_read,
                interval_s=ENDPOINT_INTERVAL_S,
            ),
            Follower(
                self._store,
                PEER_TOPIC,
                self._apply_peer,
                lambda found: None,
                self._peers_read,
                interval_s=PEER_INTERVAL_S,
            ),
        )
        try:
            async with asyncio.TaskGroup() as group:
                for follower in followers:
                    group.create_task(follower.run())
                group.create_task(self._renew())
        finally:
            self._store.close()

    # Configuration

    def _apply_operator(self, record: KeyedRecord) -> None:
        if record.key.startswith(EVACUATION_PREFIX):
            domain = record.key.removeprefix(EVACUATION_PREFIX)
            if record.value is None:
                self._evacuated.discard(domain)
            else:
                self._evacuated.add(domain)
            self._set_evacuated()
        elif record.key == CONFIGURATION_KEY and record.value is not None:
            try:
                self._state.adopt(decode_table(record.value))
            except UnreadableRecord as error:
                self._unreadable(error)

    def _reset_operator(self, found: Records) -> None:
        keys = {record.key for record in found.records}
        self._evacuated = {
            domain for domain in self._evacuated if EVACUATION_PREFIX + domain in keys
        }
        self._set_evacuated()

    def _set_evacuated(self) -> None:
        domains = frozenset(self._evacuated)
        if domains != self._state.directory.domains_out:
            logger.info(
                "failure domains out",
                extra={"event": "domains_out", "domains": sorted(domains)},
            )
            self._state.directory.take_domains_out(domains)

    # Endpoints

    def _apply_endpoint(self, record: KeyedRecord) -> None:
        now_s = asyncio.get_running_loop().time()
        directory = self._state.directory
        if record.value is None:
            if directory.remove(record.key, now_s):
                self._endpoint_changed(record.key, "removed")
            return
        try:
            endpoint = decode_endpoint(record.key, record.value, now_s)
        except UnreadableRecord as error:
            self._unreadable(error)
            return
        if directory.put(endpoint, now_s):
            outcome = "leaving" if endpoint.is_leaving else "ready"
            self._endpoint_changed(record.key, outcome)

    def _reset_endpoints(self, found: Records) -> None:
        now_s = asyncio.get_running_loop().time()
        keys = {record.key for record in found.records}
        self._state.directory.keep_only(keys, now_s)

    def _endpoints_read(self, sent_s: float) -> None:
        self._state.directory.read_succeeded(asyncio.get_running_loop().time())

    def _endpoint_changed(self, endpoint_id: str, outcome: str) -> None:
        logger.info(
            "endpoint changed",
            extra={"event": "endpoint", "endpoint": endpoint_id, "outcome": outcome},
        )

    def _unreadable(self, error: UnreadableRecord) -> None:
        logger.warning(
            "record not understood",
            extra={"event": "unreadable_record", "reason": str(error)},
        )

    # Peers

    async def _renew(self) -> None:
        own = {"host": self._settings.address, "port": self._settings.peer_port}
        while True:
            try:
                await self._store.put(
                    PEER_TOPIC, self._settings.node_id, json.dumps(own).encode()
                )
                await asyncio.sleep(PEER_RENEWAL_S)
            except PlatformError as error:
                logger.warning(
                    "own entry not written",
                    extra={"event": "renewal_failed", "reason": str(error)},
                )
                await asyncio.sleep(PEER_INTERVAL_S)

    def _apply_peer(self, record: KeyedRecord) -> None:
        if record.key == self._settings.node_id or record.value is None:
            return
        try:
            fields = json.loads(record.value)
            address = PeerAddress(fields["host"], int(fields["port"]))
        except (KeyError, TypeError, ValueError) as error:
            self._unreadable(UnreadableRecord(f"gateway {record.key}: {error!r}"))
            return
        self._peers[record.key] = _Peer(address, boot_time_s())

    def _peers_read(self, sent_s: float) -> None:
        oldest_s = boot_time_s() - PEER_LIFETIME_S
        self._peers = {
            key: peer for key, peer in self._peers.items() if peer.heard_s > oldest_s
        }
        self._exchange.set_peers(peer.address for peer in self._peers.values())


@attrs.frozen
class _Peer:
    address: PeerAddress
    heard_s: float
