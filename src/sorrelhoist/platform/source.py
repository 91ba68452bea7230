"""Keeps a gateway's configuration, endpoints and peers up to date from the store."""

import asyncio
import contextlib
import json
import logging
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any

from ..decisions.directory import Endpoint
from ..decisions.directory_updates import DirectoryChange, chained_updates
from ..decisions.peer_configurations import PeerContact
from ..decisions.store_backoff import ALONE_BACKOFF_S, store_backoff_s
from ..exceptions import PlatformError
from ..gateway.peer_exchange import PeerExchange
from ..gateway.state import GatewayState, boot_time_s
from ..gateway.supervision import supervise
from .settings import PlatformSettings
from .store import KeyedRecord, Records, StoreClient
from .topic_poller import TopicPoller
from .wire import (
    CONFIGURATION_KEY,
    EVACUATION_PREFIX,
    MalformedRecordError,
    decode_endpoint,
    decode_gateway,
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

START_BACKOFF_S = 0.3
"""Longest backoff of the first read of the directory while the store answers others: it
is over its rate, as at a start of all, and callers wait."""

ENDPOINT_MAX_GAP_S = 2.5
"""Time since the last read of the directory from which it is read as a whole: each
endpoint writes its record about once a second, so that the records since then are
several times as many as the endpoints."""

PEER_INTERVAL_S = 15.0
"""Interval between two reads of the list of gateways, which also learn of each other
from received reports."""

PEER_RENEWAL_INTERVAL_S = 60.0
"""Interval between two writes of this gateway's own entry in that list."""

RENEWAL_BACKOFF_S = 1.0
"""Delay before the own entry is written again after a failed write."""

OUTAGE_AGE_S = 2.5
"""Age of the configuration from which a gateway counts as having lost the store: longer
than two long polls and the interval between two reports."""

OUTAGE_CHECK_INTERVAL_S = 0.1
"""Interval between two checks of the store contact of other gateways."""

BOTH_LOST_BACKOFF_S = 8.0
"""Shortest backoff of reads of other topics while the configuration can't be read
either: the next read of the configuration that succeeds ends it."""

PAUSE_GAP_S = 1.0
"""Gap between two checks of the store contact from which the process counts as having
been suspended: many check intervals."""

START_CHECK_TIMEOUT_S = 1.0
"""Longest time for which a starting gateway waits for the list of its peers and for
their versions of the configuration."""


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
        self._store = StoreClient(settings.store_address, self._store_restored)
        self._evacuated: set[str] = set()
        self._are_peers_asked = False
        self._is_outdated = False
        self._newest_of_peers = 0
        self._operator_read_s: float | None = None
        self._changes: list[DirectoryChange] = []
        self._freshness.on_directory_update = self._directory_updated
        self._peers_read = asyncio.Event()
        self._own_entry_due = asyncio.Event()
        self._own_entry_written = asyncio.Event()
        exchange.on_port_opened = self._own_entry_due.set
        self._operator = TopicPoller(
            self._store,
            OPERATOR_TOPIC,
            self._apply_operator,
            self._replace_operator,
            self._operator_read_completed,
            is_confirmed=self._operator_confirmed,
            backoff_s=self._operator_backoff_s,
            is_urgent=self._has_unchecked_version,
            wait_s=OPERATOR_LONG_POLL_S,
        )
        self._endpoints = TopicPoller(
            self._store,
            ENDPOINT_TOPIC,
            self._apply_endpoint,
            self._replace_endpoints,
            self._endpoints_read_completed,
            is_confirmed=self._endpoints_confirmed,
            backoff_s=self._follower_backoff_s,
            interval_s=ENDPOINT_INTERVAL_S,
            max_gap_s=ENDPOINT_MAX_GAP_S,
        )
        self._peers = TopicPoller(
            self._store,
            PEER_TOPIC,
            self._apply_peer,
            self._replace_peers,
            self._peers_read_completed,
            backoff_s=self._peers_backoff_s,
            interval_s=PEER_INTERVAL_S,
        )

    async def run(self) -> None:
        """Poll all topics until cancelled; a part that fails is started again."""
        parts = {
            "configuration": self._operator.run,
            "directory": self._endpoints.run,
            "own entry": self._renew_own_entry,
            "peers": self._poll_peers,
            "versions of peers": self._ask_peers,
            "outages": self._follow_outages,
        }
        failures = self._state.task_failures
        try:
            async with asyncio.TaskGroup() as group:
                for name, run in parts.items():
                    group.create_task(supervise(name, run, failures))
        finally:
            self._store.close()

    @contextmanager
    def _skipping(self, record: KeyedRecord) -> Iterator[None]:
        """Log and skip a record that can't be applied; the others hold."""
        try:
            yield
        except Exception:
            self._state.task_failures["record"] += 1
            logger.exception(
                "record could not be applied; skipped",
                extra={"event": "record_failed", "key": record.key},
            )

    def _store_restored(self, former_era: int, era: int) -> None:
        """Read all topics again at once: their positions are void."""
        logger.warning(
            "store restored from an older copy",
            extra={"event": "store_era", "former_era": former_era, "era": era},
        )
        self._state.store_restorations += 1
        self._endpoints.read_soon()
        self._peers.read_soon()

    # Outages

    def _contact_of_peers(self) -> PeerContact:
        return self._state.peer_configurations.contact(OUTAGE_AGE_S, boot_time_s())

    def _backoff_s(self, failures: int) -> float:
        now_s = asyncio.get_running_loop().time()
        return store_backoff_s(
            failures,
            self._freshness.is_reader(now_s),
            self._contact_of_peers(),
            self._state.gateway_count(now_s),
            self._state.rng,
        )

    def _operator_backoff_s(self, failures: int) -> float:
        self._state.startup.failed_reads = failures
        return self._backoff_s(failures)

    def _follower_backoff_s(self, failures: int) -> float:
        """Leave probing to the reads of the configuration if both topics are lost."""
        backoff_s = self._backoff_s(failures)
        if not self._state.directory.is_read and not self._operator.is_lost:
            return min(backoff_s, START_BACKOFF_S)
        return (
            max(backoff_s, BOTH_LOST_BACKOFF_S) if self._operator.is_lost else backoff_s
        )

    def _peers_backoff_s(self, failures: int) -> float:
        """Return the backoff for the list of gateways, short until the first read."""
        if self._peers.position is None:
            return ALONE_BACKOFF_S
        return self._follower_backoff_s(failures)

    async def _follow_outages(self) -> None:
        """Read again at once when the store is back, here or at another gateway.

        A gateway that takes over polling from one that has gone also reads at once:
        its backoff was that of the others.
        """
        was_lost = was_reader = False
        checked_s = boot_time_s()
        while True:
            await asyncio.sleep(OUTAGE_CHECK_INTERVAL_S)
            now_s = asyncio.get_running_loop().time()
            if boot_time_s() - checked_s > PAUSE_GAP_S:
                self._state.startup.renewal_expected(now_s)
            checked_s = boot_time_s()
            is_reader = self._freshness.is_reader(now_s)
            if is_reader and not was_reader and self._operator.is_lost:
                self._operator.read_soon()
            was_reader = is_reader
            self._freshness.is_store_lost = self._operator.is_lost
            if is_reader and self._operator.is_lost:
                self._confirm_by_peers(now_s)
            match self._contact_of_peers():
                case PeerContact.LOST:
                    was_lost = True
                case PeerContact.FRESH if was_lost:
                    was_lost = False
                    self._state.startup.renewal_expected(now_s)
                    self._operator.read_soon()
                    self._endpoints.read_soon()

    def _confirm_by_peers(self, now_s: float) -> None:
        """Use what another gateway confirms while this one can't read the store.

        A gateway that polls the store goes on trying to read it meanwhile.
        """
        confirmed_s = self._freshness.configuration_s()
        if confirmed_s is not None and not self._is_outdated:
            self._record_contact(confirmed_s, is_read=False)
        self._confirm_directory(now_s)

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

    def _replace_operator(self, batch: Records, is_restored: bool) -> None:
        """Apply the newest records.

        After a restoration a failure domain stays out of service until its own record
        says otherwise: the copy may be older than its evacuation.
        """
        keys = {record.key for record in batch.records}
        present = {
            domain for domain in self._evacuated if EVACUATION_PREFIX + domain in keys
        }
        if not is_restored:
            self._evacuated = present
        version = self._state.version
        for record in batch.records:
            self._apply_operator(record)
        self._set_evacuated()
        if is_restored:
            logger.warning(
                "operator's records kept over an older copy",
                extra={
                    "event": "restored_operator",
                    "version": self._state.version,
                    "version_before": version,
                    "domains_out": sorted(self._evacuated),
                    "domains_missing": sorted(self._evacuated - present),
                },
            )

    def _operator_read_completed(self, sent_s: float) -> None:
        for topic in (self._endpoints, self._peers):
            if topic.is_lost:
                topic.read_soon()
        self._freshness.own.configuration = self._operator.position
        self._operator_read_s = sent_s
        self._record_contact(sent_s, is_read=True)

    def _operator_confirmed(self) -> bool:
        if self._freshness.is_reader(asyncio.get_running_loop().time()):
            return False
        confirmed_s = self._freshness.configuration_s()
        if confirmed_s is None or self._is_outdated:
            return False
        self._record_contact(confirmed_s, is_read=False)
        return True

    def _record_contact(self, known_s: float, is_read: bool) -> None:
        """Record that the configuration was the newest in the store at a time.

        It isn't if another gateway has a newer version. If a read that was sent since
        then doesn't show that version either, the store came back from an older copy:
        keys that it has may have been revoked.
        """
        own = self._state.version
        self._state.startup.failed_reads = 0
        if not self._are_peers_asked or own is None:
            return
        now_s = boot_time_s()
        versions = self._state.peer_configurations
        # A peer's version counts also after the peer has gone: keys that the store's
        # older copy has may have been revoked.
        self._newest_of_peers = max(self._newest_of_peers, versions.newest(now_s) or 0)
        is_newer_known = versions.is_newer_known(own, now_s)
        if not is_newer_known and own >= self._newest_of_peers:
            self._set_outdated(False)
            self._state.contact.read_completed(known_s)
            self._check_startup()
        elif is_read and (
            not is_newer_known or versions.is_outdated(own, known_s, now_s)
        ):
            self._set_outdated(True)
            self._state.contact.discard()

    def _check_startup(self) -> None:
        if self._state.can_admit(boot_time_s()):
            self._state.startup.is_complete = True

    def _set_outdated(self, is_outdated: bool) -> None:
        if is_outdated == self._is_outdated:
            return
        self._is_outdated = is_outdated
        logger.warning(
            "configuration of the store is older than that of other gateways"
            if is_outdated
            else "configuration is as new as that of other gateways",
            extra={
                "event": "configuration_outdated",
                "version": self._state.version,
                "version_of_peers": self._state.peer_configurations.newest(
                    boot_time_s()
                ),
                "outcome": "keys refused" if is_outdated else "keys used",
            },
        )

    async def _ask_peers(self) -> None:
        """Ask peers for their version before the first configuration is used."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(START_CHECK_TIMEOUT_S):
                await self._peers_read.wait()
                await self._freshness.ask_versions(self._exchange.peer_ids)
        self._are_peers_asked = True
        if self._operator_read_s is not None:
            self._record_contact(self._operator_read_s, is_read=True)

    def _has_unchecked_version(self) -> bool:
        """Return whether no read was sent since a peer had a newer version."""
        own = self._state.version
        return (
            self._are_peers_asked
            and not self._is_outdated
            and own is not None
            and self._state.peer_configurations.is_newer_known(own, boot_time_s())
        )

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
        directory = self._state.directory
        before = directory.contribution(record.key)
        self._apply_registration(record)
        change = before ^ directory.contribution(record.key)
        if change:
            self._changes.append(DirectoryChange(record.key, record.value, change))

    def _pass_changes_on(self) -> None:
        """Tell the other gateways what this read of the store has changed."""
        changes, self._changes = self._changes, []
        now_s = asyncio.get_running_loop().time()
        if not changes or not self._freshness.is_reader(now_s):
            return
        peers = self._exchange.peer_ids
        updates = chained_updates(changes, self._state.directory.digest, len(peers))
        for update in updates:
            self._freshness.send_update(update, peers)
        outcome = "sent" if updates else "too many"
        self._state.directory_updates[outcome] += 1
        logger.info(
            "directory changes passed on",
            extra={
                "event": "directory_update",
                "outcome": outcome,
                "changes": len(changes),
                "updates": len(updates),
                "gateways": len(peers),
            },
        )

    def _directory_updated(self, update: Any) -> bool:
        """Apply changes that another gateway has read; return whether they fit."""
        outcome = self._apply_update(update)
        self._state.directory_updates[outcome] += 1
        logger.info(
            "directory changes received",
            extra={
                "event": "directory_update",
                "outcome": outcome,
                "heard_from": update.node_id,
                "changes": len(update.records or ()),
                "age_ms": update.age_ms,
            },
        )
        return outcome == "applied"

    def _apply_update(self, update: Any) -> str:
        era = self._freshness.own.directory_era
        if era is None or update.era != era:
            return "other era"
        directory = self._state.directory
        if directory.digest == update.digest_after:
            return "known"
        now_s = asyncio.get_running_loop().time()
        changed: dict[str, Endpoint | None] = {}
        try:
            for record in update.records or ():
                changed[record.endpoint_id] = (
                    decode_endpoint(record.endpoint_id, record.value, now_s)
                    if record.value
                    else None
                )
        except MalformedRecordError as error:
            self._log_malformed(error)
            return "malformed"
        before, after = update.digest_before, update.digest_after
        if not directory.update(changed, before, after, now_s):
            return "other state"
        self._endpoints.records_applied()
        for endpoint_id, endpoint in changed.items():
            outcome = "leaving" if endpoint and endpoint.is_leaving else "ready"
            self._endpoint_changed(endpoint_id, outcome if endpoint else "removed")
        return "applied"

    def _apply_registration(self, record: KeyedRecord, is_logged: bool = True) -> None:
        with self._skipping(record):
            self._register(record, is_logged)

    def _register(self, record: KeyedRecord, is_logged: bool) -> None:
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
        if directory.put(endpoint, now_s) and is_logged:
            outcome = "leaving" if endpoint.is_leaving else "ready"
            self._endpoint_changed(record.key, outcome)

    def _replace_endpoints(self, batch: Records, is_restored: bool) -> None:
        now_s = asyncio.get_running_loop().time()
        if is_restored:
            self._restore_endpoints(batch, now_s)
            return
        keys = {record.key for record in batch.records}
        self._state.directory.keep_only(keys, now_s)
        if not self._state.directory.is_read:
            self._read_first_directory(batch)
            return
        for record in batch.records:
            self._apply_endpoint(record)
        if self._endpoints.position is None:
            self._changes.clear()  # the others read for themselves

    def _read_first_directory(self, batch: Records) -> None:
        """Apply the records of a start: nothing in them is a change to tell of."""
        for record in batch.records:
            self._apply_registration(record, is_logged=False)
        logger.info(
            "directory read",
            extra={"event": "directory_read", "endpoints": len(batch.records)},
        )

    def _restore_endpoints(self, batch: Records, now_s: float) -> None:
        copy: list[Endpoint] = []
        for record in batch.records:
            try:
                copy.append(decode_endpoint(record.key, record.value or b"", now_s))
            except MalformedRecordError as error:
                self._log_malformed(error)
        restored = self._state.directory.restore(copy, now_s)
        logger.warning(
            "directory kept over an older copy",
            extra={
                "event": "restored_directory",
                "registered": len(copy),
                "refused": restored.refused,
                "missing": restored.missing,
            },
        )

    def _endpoints_read_completed(self, sent_s: float) -> None:
        position = self._endpoints.position
        self._freshness.own.directory_era = position.era if position else None
        self._freshness.own.directory_read_s = sent_s
        self._pass_changes_on()
        self._state.directory.read_succeeded(asyncio.get_running_loop().time())
        self._check_startup()

    def _endpoints_confirmed(self) -> bool:
        now_s = asyncio.get_running_loop().time()
        return not self._freshness.is_reader(now_s) and self._confirm_directory(now_s)

    def _confirm_directory(self, now_s: float) -> bool:
        """Record when another gateway had the same directory, if one had."""
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
        """Poll the list of gateways once this gateway is in it.

        The own entry is written first, so that gateways that start at the same time
        don't miss each other.
        """
        await self._own_entry_written.wait()
        await self._peers.run()

    async def _renew_own_entry(self) -> None:
        """Write the own entry at the start, when it is due, and at intervals."""
        while True:
            self._own_entry_due.clear()
            # Without ports for other gateways there is nothing to tell them.
            if self._settings.peer_port:
                await self._write_own_entry()
            self._own_entry_written.set()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(PEER_RENEWAL_INTERVAL_S):
                    await self._own_entry_due.wait()

    def _replace_peers(self, batch: Records, is_restored: bool) -> None:
        """Apply the list; write the own entry if an older copy lacks it."""
        for record in batch.records:
            self._apply_peer(record)
        if is_restored:
            values = {record.key: record.value for record in batch.records}
            is_missing = values.get(self._settings.node_id) != self._own_entry()
            logger.warning(
                "list of gateways read from an older copy",
                extra={
                    "event": "restored_gateways",
                    "listed": len(values),
                    "own_entry": "written again" if is_missing else "kept",
                },
            )
            if is_missing:
                self._own_entry_due.set()

    def _peers_read_completed(self, sent_s: float) -> None:
        self._state.fleet_size.list_read(asyncio.get_running_loop().time())
        self._peers_read.set()

    def _own_entry(self) -> bytes:
        port = self._exchange.port or self._settings.peer_port
        own = {"host": self._settings.address, "port": port}
        return json.dumps(own).encode()

    async def _write_own_entry(self) -> None:
        while True:
            try:
                await self._store.put(
                    PEER_TOPIC, self._settings.node_id, self._own_entry()
                )
                return
            except PlatformError as error:
                logger.warning(
                    "gateway entry not written to the store; retrying",
                    extra={"event": "renewal_failed", "reason": str(error)},
                )
                await asyncio.sleep(RENEWAL_BACKOFF_S)
                # At the start the entry is needed before the store is read.
                while self._operator.is_lost and self._peers.position is not None:
                    await asyncio.sleep(RENEWAL_BACKOFF_S)

    def _apply_peer(self, record: KeyedRecord) -> None:
        with self._skipping(record):
            self._register_peer(record)

    def _register_peer(self, record: KeyedRecord) -> None:
        if record.value is None:
            self._exchange.drop_peer(record.key)
            return
        try:
            address = decode_gateway(record.key, record.value)
        except MalformedRecordError as error:
            self._log_malformed(error)
            return
        self._exchange.add_peer(record.key, address)
