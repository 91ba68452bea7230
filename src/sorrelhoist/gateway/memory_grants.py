"""Exchange of memory grants between gateways: asks, and answers to them."""

import asyncio
import enum
import itertools
from collections.abc import Callable

from ..decisions.placement.memory_grants import MemoryAsk, MemoryLedger, granter
from ..messages.gen import ttypes
from .state import GatewayState

ASK_TIMEOUT_S = 0.25
"""Time without an answer after which memory of another engine is asked for."""

ASK_INTERVAL_S = 0.08
"""Interval at which an ask is repeated: many round trips, and short beside the
objectives of the prompts that need a grant."""


class Outcome(enum.Enum):
    """What came of an ask; it is unchecked while no gateway grants memory."""

    GRANTED = "granted"
    DENIED = "denied"
    UNANSWERED = "unanswered"
    UNCHECKED = "unchecked"


class MemoryGrants:
    """Asks for the memory that placements need, and grants that of some engines.

    Parameters
    ----------
    state : GatewayState
    send : callable
        ``send(node_id, body)`` sends a message to a peer.
    issuers : callable
        ``issuers(now_s)`` returns the ids of the live gateways that issue permits.
    """

    def __init__(
        self,
        state: GatewayState,
        send: Callable[[str, object], None],
        issuers: Callable[[float], list[str]],
    ) -> None:
        self._state = state
        self._send = send
        self._issuers = issuers
        self._ledger = MemoryLedger()
        self._granting_peers: set[str] = set()
        self._ids = itertools.count(1)
        self._asked: dict[int, asyncio.Future[bool]] = {}
        self._granters: dict[str, str | None] = {}
        self._candidates: list[str] = []
        self.grants_memory = True
        """Whether reports say that this gateway answers asks."""

    def peer_reported(self, node_id: str, grants_memory: bool) -> None:
        """Record whether a peer grants memory; a former build doesn't."""
        if grants_memory:
            self._granting_peers.add(node_id)
        else:
            self._granting_peers.discard(node_id)

    def is_granted_here(self, address: str, now_s: float) -> bool:
        """Return whether this gateway grants the memory of an engine."""
        return self._granter(address, now_s) == self._state.node_id

    async def acquire(self, address: str, tokens: int, limit_tokens: int) -> bool:
        """Ask for memory of an engine; return whether a prompt may be placed there.

        It may while no gateway grants memory, as in the first second after a start of
        all: a wait would make the prompts late that return then.
        """
        now_s = asyncio.get_running_loop().time()
        ask = MemoryAsk(
            node_id=self._state.node_id,
            ask_id=next(self._ids),
            address=address,
            tokens=tokens,
            limit_tokens=limit_tokens,
        )
        node_id = self._granter(address, now_s)
        if node_id is None:
            outcome = Outcome.UNCHECKED
        elif node_id == self._state.node_id:
            is_granted = self._try_grant(ask, now_s)
            outcome = Outcome.GRANTED if is_granted else Outcome.DENIED
        else:
            outcome = await self._ask(node_id, ask)
        self._state.memory_asks[outcome.value] += 1
        return outcome in (Outcome.GRANTED, Outcome.UNCHECKED)

    def message_received(self, body: object) -> None:
        """Process an ask or an answer."""
        now_s = asyncio.get_running_loop().time()
        match body:
            case ttypes.MemoryAsk() if _is_valid(body):
                self._ask_received(body, now_s)
            case ttypes.MemoryAnswer():
                future = self._asked.get(body.ask_id)
                if future is not None and not future.done():
                    future.set_result(bool(body.is_granted))

    def _granter(self, address: str, now_s: float) -> str | None:
        granting = {self._state.node_id, *self._granting_peers}
        candidates = [one for one in self._issuers(now_s) if one in granting]
        if candidates != self._candidates:
            self._candidates = candidates
            self._granters.clear()
        if address not in self._granters:
            self._granters[address] = granter(address, candidates)
        return self._granters[address]

    def _try_grant(self, ask: MemoryAsk, now_s: float) -> bool:
        held_tokens = self._state.loads.endpoint_use(ask.address, now_s).kv_tokens
        if ask.node_id == self._state.node_id:
            held_tokens -= ask.tokens  # own loads have the proposal already
        return self._ledger.try_grant(ask, held_tokens, now_s)

    async def _ask(self, node_id: str, ask: MemoryAsk) -> Outcome:
        """Send an ask until it is answered.

        An answer that comes too late grants memory that isn't used, so that it is given
        back.
        """
        future = asyncio.get_running_loop().create_future()
        self._asked[ask.ask_id] = future
        body = ttypes.MemoryAsk(
            node_id=ask.node_id,
            ask_id=ask.ask_id,
            address=ask.address,
            tokens=ask.tokens,
            limit_tokens=ask.limit_tokens,
        )
        is_granted = False
        try:
            async with asyncio.timeout(ASK_TIMEOUT_S):
                while not future.done():
                    self._send(node_id, body)
                    await asyncio.wait({future}, timeout=ASK_INTERVAL_S)
            is_granted = future.result()
            return Outcome.GRANTED if is_granted else Outcome.DENIED
        except TimeoutError:
            return Outcome.UNANSWERED
        finally:
            del self._asked[ask.ask_id]
            if not is_granted:
                self._send_release(node_id, ask.ask_id, ask.address)

    def _send_release(self, node_id: str, ask_id: int, address: str) -> None:
        self._send(
            node_id,
            ttypes.MemoryAsk(
                node_id=self._state.node_id,
                ask_id=ask_id,
                address=address,
                tokens=0,
                limit_tokens=0,
            ),
        )

    def _ask_received(self, body: ttypes.MemoryAsk, now_s: float) -> None:
        if not body.tokens:
            self._ledger.release(body.node_id, body.ask_id, body.address)
            return
        # While gateways differ about the granter, those that aren't it stay silent.
        if not self.is_granted_here(body.address, now_s):
            return
        ask = MemoryAsk(
            node_id=body.node_id,
            ask_id=body.ask_id,
            address=body.address,
            tokens=body.tokens,
            limit_tokens=body.limit_tokens,
        )
        is_granted = self._try_grant(ask, now_s)
        self._send(body.node_id, ttypes.MemoryAnswer(body.ask_id, is_granted))


def _is_valid(body: ttypes.MemoryAsk) -> bool:
    return (
        isinstance(body.node_id, str)
        and isinstance(body.address, str)
        and isinstance(body.ask_id, int)
        and isinstance(body.tokens, int)
        and body.tokens >= 0
        and isinstance(body.limit_tokens, int)
    )
