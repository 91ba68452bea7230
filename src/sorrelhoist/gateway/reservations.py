"""KV cache reservations on endpoints for prompts too large for a single engine.

A reservation is renewed while its request runs and released afterwards.
"""

import asyncio
import logging
import uuid
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

import attrs

from ..decisions.directory import Endpoint
from ..decisions.forwarding import NotSent
from ..decisions.placement.demand import Ticket
from .ports import Dialect, Order
from .upstream import ExchangeError, connected, is_reachable

logger = logging.getLogger(__name__)

RESERVATION_TTL_S = 3.5
"""Time after which a reservation expires unless renewed. It is shorter than the time
within which unused KV cache must be free again, so that a reserve order that is
executed late does no harm."""

RENEWAL_INTERVAL_S = 0.8
"""Four consecutive renewals may be lost before a reservation expires."""

MAX_FAILED_CHECKS = 2
"""Consecutive failed reachability checks after which the endpoint that uses the
reservations counts as dead. A single check may fail on a lossy link; the KV cache must
be free 4 s after the death of its user."""

ORDER_TIMEOUT_S = 0.4
"""An order is answered immediately or not at all."""

RELEASE_RETRY_INTERVAL_S = 0.4
"""Interval between retries of a release: several fit into the time allowed."""

MAX_ORDER_DELAY_S = 12.5
"""Time after which an unanswered order can no longer be executed."""

REPEAT_RELEASE_INTERVAL_S = 1.0
"""Interval between repeated releases while a delayed reserve order may still be
executed."""


class ReservationError(Exception):
    """A part of the KV cache could not be reserved.

    Parameters
    ----------
    failure : NotSent
    """

    def __init__(self, failure: NotSent) -> None:
        super().__init__(failure.detail)
        self.failure = failure


@attrs.define(eq=False, repr=False)
class _Reservation:
    ticket: Ticket
    ticket_id: str
    last_unanswered_s: float = float("-inf")


class Reserver:
    """Reserves KV cache, renews reservations while a request runs, and releases them.

    Parameters
    ----------
    dialect : Dialect
    """

    def __init__(self, dialect: Dialect) -> None:
        self._dialect = dialect
        self._releases: set[asyncio.Task] = set()

    @property
    def is_idle(self) -> bool:
        """Whether no release is pending."""
        return not self._releases

    @asynccontextmanager
    async def holding(
        self,
        request_id: str,
        tickets: tuple[Ticket, ...],
        user: Endpoint,
        on_lost: Callable[[], None],
    ) -> AsyncIterator[dict[str, str]]:
        """Hold the reservations of all tickets, or raise and hold none of them.

        Parameters
        ----------
        request_id : str
        tickets : tuple of Ticket
        user : Endpoint
            The endpoint that uses the reservations. It is probed, since a host that
            loses power does not close its connections.
        on_lost : callable
            Called when that endpoint is unreachable; renewal stops then.

        Yields
        ------
        dict
            Ticket ids by endpoint id.

        Raises
        ------
        ReservationError
            If any of the reservations is refused or not answered.
        """
        held = [_Reservation(ticket, uuid.uuid4().hex[:16]) for ticket in tickets]
        renewal: asyncio.Task | None = None
        try:
            answers = await asyncio.gather(
                *(self._reserve(reservation) for reservation in held)
            )
            for reservation, is_reserved in zip(held, answers, strict=True):
                if not is_reserved:
                    self._log("memory refused", request_id, reservation)
                    raise ReservationError(
                        NotSent(
                            "memory is not free", reservation.ticket.endpoint.address
                        )
                    )
            if held:
                renewal = asyncio.ensure_future(self._renew(held, user, on_lost))
            yield {
                reservation.ticket.endpoint.endpoint_id: reservation.ticket_id
                for reservation in held
            }
        finally:
            if renewal is not None:
                renewal.cancel()
            for reservation in held:
                task = asyncio.ensure_future(self._release(request_id, reservation))
                self._releases.add(task)
                task.add_done_callback(self._releases.discard)

    async def _renew(
        self, held: list[_Reservation], user: Endpoint, on_lost: Callable[[], None]
    ) -> None:
        failed_checks = 0
        while True:
            await asyncio.sleep(RENEWAL_INTERVAL_S)
            if await is_reachable(user.address):
                failed_checks = 0
            else:
                failed_checks += 1
            if failed_checks >= MAX_FAILED_CHECKS:
                on_lost()
                return
            await asyncio.gather(*(self._reserve(reservation) for reservation in held))

    async def _reserve(self, reservation: _Reservation) -> bool:
        endpoint = reservation.ticket.endpoint
        order = self._dialect.reserve_order(
            endpoint,
            reservation.ticket_id,
            reservation.ticket.tokens,
            RESERVATION_TTL_S,
        )
        loop = asyncio.get_running_loop()
        status = await _send(endpoint.address, order)
        if status is None:
            reservation.last_unanswered_s = loop.time()
        return status == 200

    async def _release(self, request_id: str, reservation: _Reservation) -> None:
        """Release until confirmed and no delayed reserve order can be executed."""
        loop = asyncio.get_running_loop()
        endpoint = reservation.ticket.endpoint
        order = self._dialect.release_order(endpoint, reservation.ticket_id)
        give_up_s = loop.time() + MAX_ORDER_DELAY_S
        while loop.time() < give_up_s:
            status = await _send(endpoint.address, order)
            if status is None:
                await asyncio.sleep(RELEASE_RETRY_INTERVAL_S)
            elif loop.time() > reservation.last_unanswered_s + MAX_ORDER_DELAY_S:
                self._log("memory released", request_id, reservation)
                return
            else:
                await asyncio.sleep(REPEAT_RELEASE_INTERVAL_S)
        self._log("release not confirmed", request_id, reservation)

    def _log(self, message: str, request_id: str, reservation: _Reservation) -> None:
        logger.info(
            message,
            extra={
                "event": message.replace(" ", "_"),
                "request_id": request_id,
                "endpoint": reservation.ticket.endpoint.endpoint_id,
                "ticket": reservation.ticket_id,
                "tokens": reservation.ticket.tokens,
            },
        )


async def _send(address: str, order: Order) -> int | None:
    """Send an order; return the HTTP status, or None if it was not answered."""
    try:
        async with asyncio.timeout(ORDER_TIMEOUT_S):
            async with connected(address, ORDER_TIMEOUT_S) as upstream:
                await upstream.send("POST", order.path, list(order.headers), order.body)
                return (await upstream.head()).status
    except (ExchangeError, TimeoutError) as error:
        logger.info(
            "endpoint did not answer a reserve or release order",
            extra={
                "event": "order_unanswered",
                "address": address,
                "reason": repr(error),
            },
        )
        return None
