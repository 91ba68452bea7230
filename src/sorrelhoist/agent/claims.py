"""At-most-once calls to one plain service, for the agent beside it.

Concurrent calls with the same idempotency key are coalesced within this agent; between
agents the claims in the log decide which call runs. A call that has started runs to
completion even if its caller has disconnected.
"""

import asyncio
import logging
import random
import time
from collections.abc import AsyncIterator, Callable, Coroutine
from contextlib import asynccontextmanager
from typing import Any, Protocol, TypeVar

import attrs

from ..decisions.claims import ClaimStateMachine
from ..decisions.claims_call import ClaimedCall, give_up_time
from ..decisions.claims_fold import ClaimFold
from ..decisions.claims_records import Claimant
from ..decisions.claims_steps import AnswerReply
from ..decisions.idempotency import (
    IdempotencyKey,
    fingerprint,
    key_hash,
)
from ..exceptions import (
    DeadlineExceededError,
    KeyReusedError,
    NotReadyError,
    OutcomeUnknownError,
    OverloadedError,
    SorrelhoistError,
)
from ..messages.gen import ttypes
from .claims_appender import AppendLog, GroupAppender
from .claims_checks import ServiceOptions, answer_deadline, validated_key
from .claims_follower import ClaimFollower, ReadLog
from .claims_pending import PendingRecords
from .claims_runner import ClaimCounters, ClaimRunner, PlainService, send

logger = logging.getLogger(__name__)

MAX_CALLS_IN_FLIGHT = 512
NOT_READY_RETRY_AFTER_S = 1.0
DEFAULT_DRAIN_S = 30.0
Answer = TypeVar("Answer")


class ClaimLog(AppendLog, ReadLog, Protocol):
    """Log client for the topic ``claims.SERVICE``."""


@attrs.frozen
class _RunningCall:
    fingerprint: bytes
    answer: "asyncio.Task[AnswerReply]"


class ClaimedCalls:
    """Calls one plain service on behalf of many callers.

    Use it within ``async with calls.running()``.

    Parameters
    ----------
    log : ClaimLog
        Client of the topic ``claims.SERVICE``.
    service : PlainService
        Client of the service beside this agent.
    claimant : Claimant
        Identity of this process; the boot id must be new for each start.
    options : ServiceOptions
        Settings of the service from the configuration.
    rng : random.Random, optional
        Source of claim ids and jitter.
    clock, wall_clock : callable
        Return monotonic seconds, and seconds since 1970.
    is_gone : callable, optional
        Returns whether a claimant is known to have died. Only shortens waiting; by
        default true for earlier boots of this node.
    """

    def __init__(
        self,
        log: ClaimLog,
        service: PlainService,
        claimant: Claimant,
        options: ServiceOptions,
        *,
        rng: random.Random | None = None,
        clock: Callable[[], float] = time.monotonic,
        wall_clock: Callable[[], float] = time.time,
        is_gone: Callable[[Claimant], bool] | None = None,
    ) -> None:
        self.counters = ClaimCounters()
        self._service = service
        self._claimant = claimant
        self._options = options
        self._rng = rng or random.SystemRandom()
        self._clock = clock
        self._wall_clock = wall_clock
        self._is_gone = is_gone or self._is_previous_boot
        self._appender = GroupAppender(log)
        fold = ClaimFold(options.window, options.max_keys)
        self._follower = ClaimFollower(log, fold, clock, self._rng)
        self._pending = PendingRecords(
            self._appender, options.window.retention_s, clock, self._rng
        )
        self._runner = ClaimRunner(
            service,
            self._appender,
            self._follower,
            self._pending,
            self.counters,
            clock,
        )
        self._running: dict[bytes, _RunningCall] = {}
        self._draining = False

    @property
    def ready(self) -> bool:
        """Whether all claims of the key window have been read."""
        return not self._options.at_most_once or self._follower.ready

    async def wait_ready(self) -> None:
        """Wait until all claims of the key window have been read."""
        if self._options.at_most_once:
            await self._follower.wait_ready()

    @asynccontextmanager
    async def running(self) -> AsyncIterator["ClaimedCalls"]:
        """Run the log reader and the appender; stop all calls at once on exit."""
        tasks: list[asyncio.Task] = []
        if self._options.at_most_once:
            tasks.append(_spawn(self._follower.run()))
            tasks.append(_spawn(self._appender.run()))
        try:
            yield self
        finally:
            self._pending.cancel()
            tasks += [running.answer for running in self._running.values()]
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    async def call(self, call: ttypes.ServiceCall) -> ttypes.ServiceReply:
        """Call the service at most once for the idempotency key of the call.

        Parameters
        ----------
        call : ServiceCall
            The call, with the remaining time in `budget_ms`.

        Returns
        -------
        ServiceReply
            `replayed` is true if the reply is that of another call with this key.

        Raises
        ------
        SorrelhoistError
            `not_run` is set if this call sent nothing and never will.
        """
        try:
            return await self._call(call)
        except OutcomeUnknownError:
            self.counters.unknown += 1
            raise
        except SorrelhoistError as error:
            self.counters.not_run += error.not_run
            raise

    async def drain(self, timeout_s: float = DEFAULT_DRAIN_S) -> None:
        """Refuse new calls; wait up to `timeout_s` for running calls and records."""
        self._draining = True
        deadline_s = self._clock() + timeout_s
        while self._running and self._clock() < deadline_s:
            answers = {running.answer for running in self._running.values()}
            await asyncio.wait(answers, timeout=deadline_s - self._clock())
        await self._pending.drained(max(deadline_s - self._clock(), 0.0))

    def dump(self) -> dict:
        """Return the state as plain data."""
        return {
            "ready": self.ready,
            "fault": self._follower.fault,
            "draining": self._draining,
            "running_calls": len(self._running),
            "pending_records": len(self._pending),
            "dropped_records": self._pending.dropped,
            "fold": self._follower.fold.dump(),
            "appender": self._appender.dump(),
            "counters": attrs.asdict(self.counters),
        }

    async def _call(self, call: ttypes.ServiceCall) -> ttypes.ServiceReply:
        if self._draining:
            raise NotReadyError("The agent is shutting down.", not_run=True)
        deadline_s = answer_deadline(call, self._clock(), self._options.window)
        if not self._options.at_most_once:
            return await self._pass_through(call, deadline_s)
        key = validated_key(call, self._wall_clock(), self._options.window)
        self._check_ready()
        return await self._join(call, key, deadline_s)

    async def _pass_through(
        self, call: ttypes.ServiceCall, deadline_s: float
    ) -> ttypes.ServiceReply:
        left_s = deadline_s - self._clock()
        reply = await send(self._service, call, call.idempotency_key, left_s)
        return ttypes.ServiceReply(reply.status, reply.content_type, reply.body, False)

    def _check_ready(self) -> None:
        if not self.ready:
            raise NotReadyError(
                f"No call can be claimed yet: {self._follower.fault}.",
                not_run=True,
                retry_after_s=NOT_READY_RETRY_AFTER_S,
            )

    async def _join(
        self, call: ttypes.ServiceCall, key: IdempotencyKey, deadline_s: float
    ) -> ttypes.ServiceReply:
        hashed_key = key_hash(key)
        request_fingerprint = fingerprint(
            call.workspace, call.method, call.path, call.body or b""
        )
        while True:
            running = self._running.get(hashed_key)
            joined = running is not None
            if running is None:
                running = self._start(
                    call, key, hashed_key, request_fingerprint, deadline_s
                )
            if running.fingerprint != request_fingerprint:
                raise KeyReusedError("The idempotency key is in use by another call.")
            self.counters.joined += joined
            try:
                return await self._wait_for_reply(running, deadline_s, joined)
            except DeadlineExceededError:
                # The deadline was that of the first caller; this caller's may be later.
                if not joined or self._clock() >= deadline_s:
                    raise

    def _start(
        self,
        call: ttypes.ServiceCall,
        key: IdempotencyKey,
        hashed_key: bytes,
        request_fingerprint: bytes,
        deadline_s: float,
    ) -> _RunningCall:
        if len(self._running) >= MAX_CALLS_IN_FLIGHT:
            raise OverloadedError(
                "The agent has too many calls.", not_run=True, retry_after_s=1.0
            )
        now_s = self._clock()
        spec = ClaimedCall(
            key_hash=hashed_key,
            fingerprint=request_fingerprint,
            claimant=self._claimant,
            key_created_s=now_s - (self._wall_clock() - key.created_unix_s),
            deadline_s=deadline_s,
            give_up_s=give_up_time(now_s, deadline_s),
            offers_lookup=self._options.offers_lookup,
        )
        machine = ClaimStateMachine(spec, self._rng, self._is_gone)
        running = _RunningCall(
            request_fingerprint, _spawn(self._runner.run(machine, call, key.text))
        )
        self._running[hashed_key] = running
        running.answer.add_done_callback(lambda task: self._remove(hashed_key, task))
        return running

    def _remove(self, hashed_key: bytes, answer: asyncio.Task) -> None:
        self._running.pop(hashed_key, None)
        if not answer.cancelled():
            # All callers may have disconnected: retrieve the error, so that asyncio
            # does not log it as never retrieved.
            answer.exception()

    async def _wait_for_reply(
        self, running: _RunningCall, deadline_s: float, joined: bool
    ) -> ttypes.ServiceReply:
        if joined:
            left_s = max(deadline_s - self._clock(), 0.0)
            await asyncio.wait({running.answer}, timeout=left_s)
            if not running.answer.done():
                raise OutcomeUnknownError("A call with this key is still running.")
        reply = await asyncio.shield(running.answer)
        replayed = reply.replayed or joined
        self.counters.replays += replayed
        return ttypes.ServiceReply(
            reply.status, reply.content_type, reply.body, replayed
        )

    def _is_previous_boot(self, claimant: Claimant) -> bool:
        same_node = claimant.node_id == self._claimant.node_id
        return same_node and claimant.boot_id != self._claimant.boot_id


def _spawn(coroutine: Coroutine[Any, Any, Answer]) -> "asyncio.Task[Answer]":
    return asyncio.get_running_loop().create_task(coroutine)
