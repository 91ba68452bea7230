"""Exchange of permits between gateways: asks, and grants in reply."""

import asyncio
import logging
import math
from collections.abc import Callable

from ..decisions.endpoint_notices import valid_rate
from ..decisions.permits import Ask, Grant, PermitIssuer, issuer
from ..messages.gen import ttypes
from .state import GatewayState

logger = logging.getLogger(__name__)

START_DELAY_S = 1.0
"""Time after its start in which a gateway with peers issues no permits: two report
intervals, after which it knows which of them do."""

MIN_GRANT_INTERVAL_S = 0.002
"""Lower bound of the interval between two rounds of grants."""

RETAIN_INTERVAL_S = 10.0
"""Interval at which what is known of endpoints that are gone is dropped."""


class PermitExchange:
    """Asks for the permits that placements lack, and issues those of other gateways.

    Parameters
    ----------
    state : GatewayState
    send : callable
        ``send(node_id, body)`` sends a message to a peer.
    has_peers : callable
        Returns whether any other gateway is known, live or not.
    """

    def __init__(
        self,
        state: GatewayState,
        send: Callable[[str, object], None],
        has_peers: Callable[[], bool],
    ) -> None:
        self._state = state
        self._send = send
        self._has_peers = has_peers
        self._issuer = PermitIssuer()
        self._issuing_peers: set[str] = set()
        self._timer: asyncio.TimerHandle | None = None
        self._started_s = math.inf
        self.on_granted: Callable[[], None] = lambda: None

    def issues_permits(self, now_s: float) -> bool:
        """Return whether this gateway may issue permits."""
        if self._state.is_stopping:
            return False
        return now_s >= self._started_s + START_DELAY_S or not self._has_peers()

    def peer_reported(self, node_id: str, issues_permits: bool) -> None:
        """Record whether a peer issues permits."""
        if issues_permits:
            self._issuing_peers.add(node_id)
        else:
            self._issuing_peers.discard(node_id)

    async def run(self) -> None:
        """Send an ask as soon as a placement lacks a permit, until cancelled."""
        loop = asyncio.get_running_loop()
        self._started_s = loop.time()
        wanted = asyncio.Event()
        self._state.on_permit_wanted = wanted.set
        retained_s = loop.time()
        while True:
            await wanted.wait()
            wanted.clear()
            now_s = loop.time()
            if now_s - retained_s >= RETAIN_INTERVAL_S:
                retained_s = now_s
                self._issuer.retain(self._state.forget_absent_endpoints())
            for ask in self._state.permits.asks(now_s):
                self._send_ask(ask, now_s)

    def message_received(self, body: object) -> None:
        """Process an ask or a grant."""
        now_s = asyncio.get_running_loop().time()
        match body:
            case ttypes.PermitAsk() if _is_valid(body):
                self._ask_received(
                    Ask(
                        node_id=body.node_id,
                        ask_id=body.ask_id,
                        endpoint_id=body.endpoint_id,
                        permits=body.permits,
                        requests_per_s=body.requests_per_s,
                    ),
                    now_s,
                )
            case ttypes.PermitGrant():
                self._granted(body.ask_id, body.endpoint_id, body.permits or 0, now_s)

    def _send_ask(self, ask: Ask, now_s: float) -> None:
        chosen = issuer(ask.endpoint_id, self.issuers(now_s))
        if chosen == self._state.node_id:
            self._ask_received(ask, now_s)
        elif chosen is not None:
            self._send(
                chosen,
                ttypes.PermitAsk(
                    node_id=ask.node_id,
                    ask_id=ask.ask_id,
                    endpoint_id=ask.endpoint_id,
                    permits=ask.permits,
                    requests_per_s=ask.requests_per_s,
                ),
            )

    def issuers(self, now_s: float) -> list[str]:
        """Return the ids of the live gateways that issue permits."""
        peers = self._state.loads.peers(now_s)
        self._issuing_peers &= set(peers)
        own = [self._state.node_id] if self.issues_permits(now_s) else []
        return [*own, *self._issuing_peers]

    def _ask_received(self, ask: Ask, now_s: float) -> None:
        # While gateways differ about the issuer, those that aren't it stay silent.
        if issuer(ask.endpoint_id, self.issuers(now_s)) != self._state.node_id:
            return
        self._issuer.ask(ask, now_s, self._state.heard_share(now_s))
        self._grant()

    def _grant(self) -> None:
        loop = asyncio.get_running_loop()
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        for grant in self._issuer.grants(loop.time()):
            self._deliver(grant, loop.time())
        next_s = self._issuer.next_grant_s(loop.time())
        if next_s is not None:
            at_s = max(next_s, loop.time() + MIN_GRANT_INTERVAL_S)
            self._timer = loop.call_at(at_s, self._grant)

    def _deliver(self, grant: Grant, now_s: float) -> None:
        if grant.node_id == self._state.node_id:
            self._granted(grant.ask_id, grant.endpoint_id, grant.permits, now_s)
            return
        self._send(
            grant.node_id,
            ttypes.PermitGrant(
                ask_id=grant.ask_id,
                endpoint_id=grant.endpoint_id,
                permits=grant.permits,
            ),
        )

    def _granted(
        self, ask_id: int, endpoint_id: str, permits: int, now_s: float
    ) -> None:
        if self._state.permits.granted(ask_id, endpoint_id, permits, now_s):
            self.on_granted()


def _is_valid(body: ttypes.PermitAsk) -> bool:
    return (
        isinstance(body.node_id, str)
        and isinstance(body.ask_id, int)
        and isinstance(body.endpoint_id, str)
        and isinstance(body.permits, int)
        and body.permits >= 1
        and isinstance(body.requests_per_s, float)
        and valid_rate(body.requests_per_s)
    )
