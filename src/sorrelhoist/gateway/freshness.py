"""Freshness queries: confirm the local configuration and directory with a gateway that
reads the store, and answer the queries of other gateways.
"""

import asyncio
import contextlib
import itertools
import math
from collections.abc import Callable, Sequence

import attrs

from ..decisions.directory_updates import ChainedUpdate
from ..decisions.store_readers import (
    Confirmation,
    Confirmations,
    StorePosition,
    readers,
)
from ..messages.gen import ttypes
from .state import GatewayState, boot_time_s

QUERY_INTERVAL_S = 0.4
"""Interval between queries. Together with the readers' polling interval it stays below
the time after which a leaving endpoint must get no more requests."""

MAX_PENDING_QUERIES = 30
"""Number of latest queries whose answers are still accepted."""

MS_PER_S = 1000
UNKNOWN_AGE_MS = 2**31 - 1

NO_OFFSET = -1
"""Sent while nothing has been read yet."""

START_QUERIES = (3, 4, 5, 8)
"""Numbers of peers that a gateway asks for their configuration version, one after the
other, at its start. While all gateways start, more and more of them can answer."""

START_QUERY_INTERVAL_S = 0.06
"""Interval at which it asks others: many round trips."""

START_ANSWERS = 2
"""Number of peers whose answers it waits for: one may itself have just started."""

START_ANSWER_TIMEOUT_S = 0.3
"""Longest wait for these answers: many round trips, and short beside a start."""

START_POLL_S = 0.01


@attrs.define(eq=False, repr=False)
class ReadProgress:
    """How far this process has read the store, by itself or by confirmation of a peer.

    Parameters
    ----------
    configuration : StorePosition or None
        Position up to which the configuration was read; None before the first read.
    directory_era : int or None
        Era of the store in which the directory was read; None before the first read.
    directory_read_s : float
        Boot time at which the last complete read of the directory was sent.
    """

    configuration: StorePosition | None = None
    directory_era: int | None = None
    directory_read_s: float = float("-inf")


class Freshness:
    """Sends freshness queries to other gateways and answers theirs.

    Parameters
    ----------
    state : GatewayState
    send : callable
        ``send(node_id, body)`` sends a message to a peer.
    """

    def __init__(
        self, state: GatewayState, send: Callable[[str, object], None]
    ) -> None:
        self.own = ReadProgress()
        self.is_store_lost = False
        """Whether this process can't read the store: a reader then queries another."""
        self._state = state
        self._send = send
        self._confirmations = Confirmations()
        self._ids = itertools.count(1)
        self._pending: dict[int, float] = {}
        self._answered: set[str] = set()
        self.on_directory_update: Callable[[ttypes.DirectoryUpdate], bool] = (
            lambda update: False
        )

    def is_reader(self, now_s: float) -> bool:
        """Return whether this process is one of the gateways that poll the store."""
        return self._state.node_id in self._readers(now_s)

    def configuration_s(self) -> float | None:
        """Return when the local configuration was last confirmed as current.

        Returns
        -------
        float or None
            Boot time in seconds; None if it is not confirmed.
        """
        if self.own.configuration is None:
            return None
        return self._confirmations.configuration_s(
            self.own.configuration, boot_time_s()
        )

    def directory_s(self) -> float | None:
        """Return when the local directory was last confirmed as current.

        Returns
        -------
        float or None
            Boot time in seconds; None if it is not confirmed.
        """
        return self._confirmations.directory_s(
            self._state.directory.digest, self.own.directory_era, boot_time_s()
        )

    async def run(self) -> None:
        """Send queries until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(QUERY_INTERVAL_S)
            others = [
                node_id
                for node_id in self._readers(loop.time())
                if node_id != self._state.node_id
            ]
            if others and (self.is_store_lost or not self.is_reader(loop.time())):
                self._send_query(self._state.rng.choice(others))

    def send_update(self, update: ChainedUpdate, node_ids: Sequence[str]) -> None:
        """Pass a change of the directory on to other gateways."""
        age_s = boot_time_s() - self.own.directory_read_s
        body = ttypes.DirectoryUpdate(
            node_id=self._state.node_id,
            era=self.own.directory_era,
            digest_before=update.digest_before,
            digest_after=update.digest_after,
            records=[
                ttypes.DirectoryRecord(change.endpoint_id, change.value)
                for change in update.changes
            ],
            age_ms=age_ms(age_s),
        )
        for node_id in node_ids:
            self._send(node_id, body)

    async def ask_versions(self, node_ids: Sequence[str]) -> None:
        """Ask peers which configuration they have, and wait for a few answers.

        The load pattern is the start of all gateways at once: those that are asked
        first can't answer yet, so that others are asked until some do. Nobody is asked
        again before all others were: one that didn't answer is likely to start late.
        """
        self._answered.clear()
        wanted = min(START_ANSWERS, len(node_ids))
        counts = itertools.chain(START_QUERIES, itertools.repeat(START_QUERIES[-1]))
        left: list[str] = []
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(START_ANSWER_TIMEOUT_S):
                while len(self._answered) < wanted:
                    count = next(counts)
                    if len(left) < count:
                        silent = set(node_ids) - self._answered - set(left)
                        left += self._state.rng.sample(sorted(silent), len(silent))
                    for node_id in left[:count]:
                        self._send_query(node_id)
                    left = left[count:]
                    await self._wait_for_answers(wanted)

    async def _wait_for_answers(self, wanted: int) -> None:
        """Wait until enough peers have answered, or it is time to ask others."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(START_QUERY_INTERVAL_S):
                while len(self._answered) < wanted:
                    await asyncio.sleep(START_POLL_S)

    def message_received(self, body: object) -> None:
        """Process a query or an answer."""
        match body:
            case ttypes.FreshnessAsk(node_id=node_id, ask_id=ask_id):
                self._send(node_id, self._answer(ask_id))
            case ttypes.DirectoryUpdate():
                if self.on_directory_update(body):
                    self._confirmations.directory_updated(
                        body.digest_before, body.digest_after
                    )
            case ttypes.FreshnessAnswer():
                self._answer_received(body)

    def _readers(self, now_s: float) -> list[str]:
        return readers([self._state.node_id, *self._state.loads.peers(now_s)])

    def _send_query(self, node_id: str) -> None:
        ask_id = next(self._ids)
        self._pending[ask_id] = boot_time_s()
        for old_id in list(self._pending)[:-MAX_PENDING_QUERIES]:
            del self._pending[old_id]
        self._send(
            node_id, ttypes.FreshnessAsk(node_id=self._state.node_id, ask_id=ask_id)
        )

    def _answer(self, ask_id: int) -> ttypes.FreshnessAnswer:
        now_s, position = boot_time_s(), self.own.configuration
        return ttypes.FreshnessAnswer(
            node_id=self._state.node_id,
            ask_id=ask_id,
            configuration_offset=position.offset if position else NO_OFFSET,
            configuration_age_ms=age_ms(self._state.contact.age_s(now_s)),
            directory_digest=self._state.directory.digest,
            directory_age_ms=age_ms(now_s - self.own.directory_read_s),
            configuration_era=position.era if position else None,
            directory_era=self.own.directory_era,
            configuration_version=self._state.version,
        )

    def _answer_received(self, answer: ttypes.FreshnessAnswer) -> None:
        sent_s = self._pending.pop(answer.ask_id, None)
        if sent_s is None:
            return
        now_s = boot_time_s()
        if answer.configuration_version is not None:
            self._state.peer_configurations.heard(
                answer.node_id,
                answer.configuration_version,
                sent_s - answer.configuration_age_ms / MS_PER_S,
                now_s,
            )
        self._answered.add(answer.node_id)
        position = None
        if answer.configuration_era is not None:
            position = StorePosition(
                answer.configuration_offset, answer.configuration_era
            )
        self._confirmations.record(
            Confirmation(
                configuration=position,
                configuration_s=sent_s - answer.configuration_age_ms / MS_PER_S,
                directory_digest=answer.directory_digest,
                directory_era=answer.directory_era,
                directory_s=sent_s - answer.directory_age_ms / MS_PER_S,
                heard_s=now_s,
            )
        )


def age_ms(age_s: float) -> int:
    """Convert to ms, rounded up so that data never looks fresher than it is."""
    return math.ceil(min(age_s * MS_PER_S, UNKNOWN_AGE_MS))
