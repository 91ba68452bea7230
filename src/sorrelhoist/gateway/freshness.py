"""Asks another gateway how fresh its knowledge is, and answers others."""

import asyncio
import itertools
import math
from collections.abc import Callable

import attrs

from ..decisions.store_readers import Confirmation, Confirmations, readers
from ..messages.gen import ttypes
from .state import GatewayState, boot_time_s

ASK_INTERVAL_S = 0.4
"""Between two questions; with the readers' interval it stays under the time in which
a leaving endpoint must get nothing more."""

OPEN_ASKS = 4
"""Questions whose answers still count."""

MS_PER_S = 1000
UNKNOWN_AGE_MS = 2**31 - 1


@attrs.define
class OwnReads:
    """What this process has read from the store itself or had confirmed.

    Parameters
    ----------
    configuration_offset : int
        How far it has read; -1 before the first read.
    directory_read_s : float
        When the last complete read of the directory was sent.
    """

    configuration_offset: int = -1
    directory_read_s: float = float("-inf")


class Freshness:
    """Questions and answers between gateways.

    Parameters
    ----------
    state : GatewayState
    send : callable
        ``send(node_id, body)`` sends a message to a peer.
    """

    def __init__(
        self, state: GatewayState, send: Callable[[str, object], None]
    ) -> None:
        self.own = OwnReads()
        self._state = state
        self._send = send
        self._known = Confirmations()
        self._ids = itertools.count(1)
        self._asked: dict[int, float] = {}

    def is_reader(self, now_s: float) -> bool:
        """Tell whether this process reads the store for others."""
        return self._state.node_id in self._readers(now_s)

    def configuration_s(self) -> float | None:
        """Return the boot time at which the own configuration was the newest."""
        return self._known.configuration_s(self.own.configuration_offset, boot_time_s())

    def directory_s(self) -> float | None:
        """Return the boot time at which the own directory was the newest."""
        return self._known.directory_s(self._state.directory.digest, boot_time_s())

    async def run(self) -> None:
        """Ask until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(ASK_INTERVAL_S)
            others = [
                node_id
                for node_id in self._readers(loop.time())
                if node_id != self._state.node_id
            ]
            if others and not self.is_reader(loop.time()):
                self._ask(self._state.rng.choice(others))

    def received(self, body: object) -> None:
        """Take in a question or an answer."""
        match body:
            case ttypes.FreshnessAsk(node_id=node_id, ask_id=ask_id):
                self._send(node_id, self._answer(ask_id))
            case ttypes.FreshnessAnswer():
                self._heard(body)

    def _readers(self, now_s: float) -> list[str]:
        return readers([self._state.node_id, *self._state.loads.peers(now_s)])

    def _ask(self, node_id: str) -> None:
        ask_id = next(self._ids)
        self._asked[ask_id] = boot_time_s()
        for old in list(self._asked)[:-OPEN_ASKS]:
            del self._asked[old]
        self._send(
            node_id, ttypes.FreshnessAsk(node_id=self._state.node_id, ask_id=ask_id)
        )

    def _answer(self, ask_id: int) -> ttypes.FreshnessAnswer:
        now_s = boot_time_s()
        return ttypes.FreshnessAnswer(
            node_id=self._state.node_id,
            ask_id=ask_id,
            configuration_offset=self.own.configuration_offset,
            configuration_age_ms=_age_ms(self._state.contact.age_s(now_s)),
            directory_digest=self._state.directory.digest,
            directory_age_ms=_age_ms(now_s - self.own.directory_read_s),
        )

    def _heard(self, answer: ttypes.FreshnessAnswer) -> None:
        asked_s = self._asked.pop(answer.ask_id, None)
        if asked_s is None:
            return
        self._known.heard(
            Confirmation(
                configuration_offset=answer.configuration_offset,
                configuration_s=asked_s - answer.configuration_age_ms / MS_PER_S,
                directory_digest=answer.directory_digest,
                directory_s=asked_s - answer.directory_age_ms / MS_PER_S,
                heard_s=boot_time_s(),
            )
        )


def _age_ms(age_s: float) -> int:
    """Round up, so that knowledge never looks fresher than it is."""
    return math.ceil(min(age_s * MS_PER_S, UNKNOWN_AGE_MS))
