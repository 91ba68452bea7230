"""Memory reserved on endpoints for prompts that are larger than one engine's."""

import asyncio
import logging
import uuid
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

import attrs

from ..decisions.directory import Endpoint
from ..decisions.forwarding import NotSent
from ..decisions.placement_demand import Ticket
from .ports import Dialect, Order
from .upstream import ExchangeError, connected, is_reachable

logger = logging.getLogger(__name__)

HOLD_S = 3.5
"""A reservation that isn't renewed lapses after it: below the time in which unused
memory must be free again, so that an order which is carried out late does no harm."""

RENEWAL_S = 0.8
"""Four renewals in a row may be lost before a reservation lapses."""

LOST_AFTER_CHECKS = 2
"""Checks in a row in which the endpoint that uses the memory can't be reached: one
alone is lost on a bad link; memory must be free 4 s after the death of its user."""

ORDER_TIMEOUT_S = 0.4
"""Orders are answered at once or not at all."""

RELEASE_INTERVAL_S = 0.4
"""Between two tries to release: several within the time allowed."""

LATE_ORDER_S = 12.5
"""After it an order without an answer is no longer carried out."""

GUARD_INTERVAL_S = 1.0
"""Between two releases while a late reservation may still come."""


class ReservationError(Exception):
    """Not all memory could be reserved.

    Parameters
    ----------
    failure : NotSent
    """

    def __init__(self, failure: NotSent) -> None:
        super().__init__(failure.detail)
        self.failure = failure


@attrs.define(eq=False)
class _Held:
    ticket: Ticket
    ticket_id: str
    unanswered_s: float = float("-inf")


class Reserver:
    """Reserves memory, renews it while a request runs, and releases it.

    Parameters
    ----------
    dialect : Dialect
    """

    def __init__(self, dialect: Dialect) -> None:
        self._dialect = dialect
        self._releases: set[asyncio.Task] = set()

    @property
    def is_idle(self) -> bool:
        """Whether all that was reserved is released."""
        return not self._releases

    @asynccontextmanager
    async def holding(
        self,
        request_id: str,
        tickets: tuple[Ticket, ...],
        user: Endpoint,
        on_lost: Callable[[], None],
    ) -> AsyncIterator[dict[str, str]]:
        """Hold the memory of all tickets or of none.

        Parameters
        ----------
        request_id : str
        tickets : tuple of Ticket
        user : Endpoint
            Uses the memory. A host without power doesn't close its connections.
        on_lost : callable
            Called when that endpoint is gone; the memory is renewed no more.

        Yields
        ------
        dict
            Ticket ids by endpoint id.

        Raises
        ------
        ReservationError
            If a part of the memory is not free.
        """
        held = [_Held(ticket, uuid.uuid4().hex[:16]) for ticket in tickets]
        renewal: asyncio.Task | None = None
        try:
            answers = await asyncio.gather(*(self._reserve(one) for one in held))
            for one, is_held in zip(held, answers, strict=True):
                if not is_held:
                    self._log("memory refused", request_id, one)
                    raise ReservationError(
                        NotSent("memory is not free", one.ticket.endpoint.address)
                    )
            if held:
                renewal = asyncio.ensure_future(self._renew(held, user, on_lost))
            yield {one.ticket.endpoint.endpoint_id: one.ticket_id for one in held}
        finally:
            if renewal is not None:
                renewal.cancel()
            for one in held:
                task = asyncio.ensure_future(self._release(request_id, one))
                self._releases.add(task)
                task.add_done_callback(self._releases.discard)

    async def _renew(
        self, held: list[_Held], user: Endpoint, on_lost: Callable[[], None]
    ) -> None:
        failed_checks = 0
        while True:
            await asyncio.sleep(RENEWAL_S)
            if await is_reachable(user.address):
                failed_checks = 0
            else:
                failed_checks += 1
            if failed_checks >= LOST_AFTER_CHECKS:
                on_lost()
                return
            await asyncio.gather(*(self._reserve(one) for one in held))

    async def _reserve(self, one: _Held) -> bool:
        endpoint = one.ticket.endpoint
        order = self._dialect.reserve_order(
            endpoint, one.ticket_id, one.ticket.tokens, HOLD_S
        )
        loop = asyncio.get_running_loop()
        status = await _send(endpoint.address, order)
        if status is None:
            one.unanswered_s = loop.time()
        return status == 200

    async def _release(self, request_id: str, one: _Held) -> None:
        """Release until it is confirmed and no late reservation can follow."""
        loop = asyncio.get_running_loop()
        endpoint = one.ticket.endpoint
        order = self._dialect.release_order(endpoint, one.ticket_id)
        give_up_s = loop.time() + LATE_ORDER_S
        while loop.time() < give_up_s:
            status = await _send(endpoint.address, order)
            if status is None:
                await asyncio.sleep(RELEASE_INTERVAL_S)
            elif loop.time() > one.unanswered_s + LATE_ORDER_S:
                self._log("memory released", request_id, one)
                return
            else:
                await asyncio.sleep(GUARD_INTERVAL_S)
        self._log("release not confirmed", request_id, one)

    def _log(self, message: str, request_id: str, one: _Held) -> None:
        logger.info(
            message,
            extra={
                "event": message.replace(" ", "_"),
                "request_id": request_id,
                "endpoint": one.ticket.endpoint.endpoint_id,
                "ticket": one.ticket_id,
                "tokens": one.ticket.tokens,
            },
        )


async def _send(address: str, order: Order) -> int | None:
    """Send an order; return its status, or None without an answer."""
    try:
        async with asyncio.timeout(ORDER_TIMEOUT_S):
            async with connected(address, ORDER_TIMEOUT_S) as upstream:
                await upstream.send("POST", order.path, list(order.headers), order.body)
                return (await upstream.head()).status
    except (ExchangeError, TimeoutError) as error:
        logger.info(
            "order without an answer",
            extra={
                "event": "order_unanswered",
                "address": address,
                "reason": repr(error),
            },
        )
        return None
