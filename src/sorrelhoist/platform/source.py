"""Keeps a gateway's configuration, endpoints and peers up to date from the store."""

import asyncio
import json
import logging
from collections.abc import Callable

import attrs

from ..exceptions import PlatformError
from ..gateway.peer_exchange import PeerAddress, PeerExchange
from ..gateway.state import GatewayState, boot_time_s
from .settings import PlatformSettings
from .store import KeyedRecord, Records, RecordsExpiredError, StoreClient
from .wire import (
    CONFIGURATION_KEY,
    EVACUATION_PREFIX,
    MalformedRecordError,
    decode_endpoint,
    decode_table,
)

logger = logging.getLogger(__name__)

OPERATOR_TOPIC = "keyed.op"
ENDPOINT_TOPIC = "keyed.servers"
PEER_TOPIC = "keyed.gateways"

OPERATOR_LONG_POLL_S = 0.8
"""Long-poll time of a read of the configuration. Each answer confirms again that no
API key was revoked."""

ENDPOINT_INTERVAL_S = 0.9
"""Interval between two reads of the directory: less than half of the time after
which a draining endpoint must not receive requests."""

CONFIRMATION_CHECK_INTERVAL_S = 0.1
"""Interval between two checks of the freshness confirmations of other gateways."""

PEER_INTERVAL_S = 15.0
"""Interval between two reads of the list of gateways, which also learn of each other
from received reports."""

PEER_RENEWAL_INTERVAL_S = 60.0
"""Interval between two writes of this gateway's own entry in that list."""

RENEWAL_BACKOFF_S = 1.0
"""Delay before the own entry is written again after a failed write."""

BACKOFF_S = 0.1
"""Delay after a failed read: short compared with the time limits within which changes
must take effect, and long enough for only a few calls per second."""


@attrs.define(eq=False)
class TopicPoller:
    """Reads one topic of the store continuously, by polling or long polling.

    Parameters
    ----------
    store : StoreClient
    topic : str
    apply : callable
        Called with each record.
    reset : callable
        Called with the result of a read of the newest record of each key, before
        `apply` is called for its records.
    completed : callable
        Called after each complete read with the time it was sent, on the clock
        that counts from boot.
    is_confirmed : callable
        Returns whether another gateway has confirmed that there are no new records,
        so that a read isn't needed.
    interval_s, wait_s : float
        Pause between reads, and the long-poll time of a read.
    """

    store: StoreClient
    topic: str
    apply: Callable[[KeyedRecord], None]
    reset: Callable[[Records], None]
    completed: Callable[[float], None]
    is_confirmed: Callable[[], bool] = lambda: False
    interval_s: float = 0.0
    wait_s: float = 0.0
    offset: int | None = None
    _is_lost: bool = False
    _was_confirmed: bool = False

    async def run(self) -> None:
        """Read until cancelled."""
        while True:
            if self.offset is not None and self.is_confirmed():
                self._was_confirmed = True
                await asyncio.sleep(CONFIRMATION_CHECK_INTERVAL_S)
                continue
            sent_s = boot_time_s()
            try:
                await self._read()
            except RecordsExpiredError as error:
                self._log("history gone", str(error))
                self.offset = None
                continue
            except PlatformError as error:
                self._report_failure(error)
                await asyncio.sleep(BACKOFF_S)
                continue
            self._report_recovery()
            self.completed(sent_s)
            if self.interval_s:
                await asyncio.sleep(self.interval_s)

    async def _read(self) -> None:
        if self.offset is None:
            batch = await self.store.newest(self.topic)
            self.reset(batch)
        else:
            # After an outage, or when confirmations from other gateways stop, a read
            # without long polling confirms the state sooner.
            is_urgent = self._is_lost or self._was_confirmed
            wait_s = 0.0 if is_urgent else self.wait_s
            batch = await self.store.read(self.topic, self.offset, wait_s)
        for record in batch.records:
            self.apply(record)
        self.offset = batch.end_offset
        self._was_confirmed = False

    def _report_failure(self, error: PlatformError) -> None:
        if not self._is_lost:
            self._is_lost = True
            self._log("dependency lost", str(error))

    def _report_recovery(self) -> None:
        if self._is_lost:
            self._is_lost = False
            self._log("dependency regained", "")

    def _log(self, message: str, reason: str) -> None:
        logger.warning(
            message,
            extra={
                "event": message.replace(" ", "_"),
                "dependency": self.topic,
                "reason": reason,
                "offset": self.offset,
            },
        )


class PlatformSource:
    """Feeds a gateway's state from the platform's store.

    Parameters
    ----------
    settings : PlatformSettings
    state : GatewayState
    exchange : PeerExchange
        Is told which other gateways exist.
    """

    def __init__(
        self, settings: PlatformSettings, state: GatewayState, exchange: PeerExchange
    ) -> None:
        self._settings = settings
        self._state = state
        self._exchange = exchange
        self._freshness = exchange.freshness
        self._store = StoreClient(settings.store_address)
        self._evacuated: set[str] = set()
        self._operator = TopicPoller(
            self._store,
            OPERATOR_TOPIC,
            self._apply_operator,
            self._reset_operator,
            self._operator_read_completed,
            is_confirmed=self._operator_confirmed,
            wait_s=OPERATOR_LONG_POLL_S,
        )

    async def run(self) -> None:
        """Poll all topics until cancelled."""
        pollers = (
            self._operator,
            TopicPoller(
                self._store,
                ENDPOINT_TOPIC,
                self._apply_endpoint,
                self._reset_endpoints,
                self._endpoints_read_completed,
                is_confirmed=self._endpoints_confirmed,
                interval_s=ENDPOINT_INTERVAL_S,
            ),
        )
        try:
            async with asyncio.TaskGroup() as group:
                for poller in pollers:
                    group.create_task(poller.run())
                group.create_task(self._poll_peers())
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
            except MalformedRecordError as error:
                self._log_malformed(error)

    def _reset_operator(self, batch: Records) -> None:
        keys = {record.key for record in batch.records}
        self._evacuated = {
            domain for domain in self._evacuated if EVACUATION_PREFIX + domain in keys
        }
        self._set_evacuated()

    def _operator_read_completed(self, sent_s: float) -> None:
        self._state.contact.read_completed(sent_s)
        self._freshness.own.configuration_offset = self._operator.offset or 0

    def _operator_confirmed(self) -> bool:
        if self._freshness.is_reader(asyncio.get_running_loop().time()):
            return False
        confirmed_s = self._freshness.configuration_s()
        if confirmed_s is None:
            return False
        self._state.contact.read_completed(confirmed_s)
        return True

    def _set_evacuated(self) -> None:
        domains = frozenset(self._evacuated)
        if domains != self._state.directory.domains_out:
            logger.info(
                "set of failure domains out of service changed",
                extra={"event": "domains_out", "domains": sorted(domains)},
            )
            self._state.directory.set_domains_out(domains)

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
        except MalformedRecordError as error:
            self._log_malformed(error)
            return
        if directory.put(endpoint, now_s):
            outcome = "leaving" if endpoint.is_leaving else "ready"
            self._endpoint_changed(record.key, outcome)

    def _reset_endpoints(self, batch: Records) -> None:
        now_s = asyncio.get_running_loop().time()
        keys = {record.key for record in batch.records}
        self._state.directory.keep_only(keys, now_s)

    def _endpoints_read_completed(self, sent_s: float) -> None:
        self._freshness.own.directory_read_s = sent_s
        self._state.directory.read_succeeded(asyncio.get_running_loop().time())

    def _endpoints_confirmed(self) -> bool:
        now_s = asyncio.get_running_loop().time()
        confirmed_s = None
        if not self._freshness.is_reader(now_s):
            confirmed_s = self._freshness.directory_s()
        if confirmed_s is None:
            return False
        self._freshness.own.directory_read_s = confirmed_s
        self._state.directory.read_succeeded(now_s)
        return True

    def _endpoint_changed(self, endpoint_id: str, outcome: str) -> None:
        logger.info(
            "endpoint changed",
            extra={"event": "endpoint", "endpoint": endpoint_id, "outcome": outcome},
        )

    def _log_malformed(self, error: MalformedRecordError) -> None:
        logger.warning(
            "malformed record ignored",
            extra={"event": "unreadable_record", "reason": str(error)},
        )

    # Peers

    async def _poll_peers(self) -> None:
        """Register this gateway, then poll the list of gateways.

        The own entry is written first, so that gateways that start at the same time
        don't miss each other.
        """
        await self._write_own_entry()
        poller = TopicPoller(
            self._store,
            PEER_TOPIC,
            self._apply_peer,
            lambda batch: None,
            lambda sent_s: None,
            interval_s=PEER_INTERVAL_S,
        )
        async with asyncio.TaskGroup() as group:
            group.create_task(poller.run())
            while True:
                await asyncio.sleep(PEER_RENEWAL_INTERVAL_S)
                await self._write_own_entry()

    async def _write_own_entry(self) -> None:
        own = {"host": self._settings.address, "port": self._settings.peer_port}
        while True:
            try:
                await self._store.put(
                    PEER_TOPIC, self._settings.node_id, json.dumps(own).encode()
                )
                return
            except PlatformError as error:
                logger.warning(
                    "gateway entry not written to the store; retrying",
                    extra={"event": "renewal_failed", "reason": str(error)},
                )
                await asyncio.sleep(RENEWAL_BACKOFF_S)

    def _apply_peer(self, record: KeyedRecord) -> None:
        if record.value is None:
            self._exchange.drop_peer(record.key)
            return
        try:
            fields = json.loads(record.value)
            address = PeerAddress(fields["host"], int(fields["port"]))
        except (KeyError, TypeError, ValueError) as error:
            self._log_malformed(
                MalformedRecordError(f"gateway {record.key}: {error!r}")
            )
            return
        self._exchange.add_peer(record.key, address)
