"""Messages to reserve parts of endpoint groups, and the wait queue of one endpoint."""

import enum
import itertools
from collections.abc import Iterator

import attrs

MAX_QUEUED_ATTEMPTS = 64


class PartStatus(enum.Enum):
    """The status of a part request, as reported by the endpoint."""

    HELD = "held"
    QUEUED = "queued"
    REFUSED = "refused"


@attrs.frozen
class PartRequest:
    """Request a part, or renew the lease on it or on the position in its queue.

    Parameters
    ----------
    part, attempt : str
        The endpoint, and the identifier of the reservation attempt.
    number : int
        Sequence number of the messages the attempt sent for this part. Messages
        that arrive out of order are ignored.
    timestamp_s : float
        Start time of the attempt.
    yields : bool
        Pass the part to the head of the queue and rejoin the queue.
    """

    part: str
    attempt: str
    number: int
    timestamp_s: float
    yields: bool = False


@attrs.frozen
class PartRelease:
    """Release a part or the position in its queue."""

    part: str
    attempt: str
    number: int


@attrs.frozen
class PartResponse:
    """The response to the attempt's message with this sequence number."""

    part: str
    attempt: str
    number: int
    status: PartStatus


@attrs.frozen
class GroupReserved:
    """All parts of the group are held."""


@attrs.frozen
class ReservationEnded:
    """The reservation was refused, lost or timed out; all parts are released."""


Action = PartRequest | PartRelease | GroupReserved | ReservationEnded


@attrs.define
class _QueuePosition:
    attempt: str
    rank: tuple[float, str]
    number: int
    lease_until_s: float


@attrs.define
class PartQueue:
    """The owner of one endpoint, and the queue of attempts waiting for it.

    A lease runs from the attempt's last message, even when the attempt becomes the
    owner later. The attempt therefore knows for how long it holds the part at least.

    Parameters
    ----------
    part : str
    lease_s : float
    by_timestamp : bool
        Order the queue by the attempts' start times instead of by arrival.
    max_queued_attempts : int
    """

    part: str
    lease_s: float
    by_timestamp: bool = False
    max_queued_attempts: int = MAX_QUEUED_ATTEMPTS
    owner: str | None = attrs.field(init=False, default=None)
    _positions: dict[str, _QueuePosition] = attrs.field(init=False, factory=dict)
    _arrivals: Iterator[int] = attrs.field(init=False, factory=itertools.count)

    @property
    def is_free(self) -> bool:
        """Whether no attempt owns the part or waits for it."""
        return not self._positions

    def on_message(
        self, message: PartRequest | PartRelease, now_s: float
    ) -> list[PartResponse]:
        """Handle a message and return the responses to send."""
        responses = self.expire(now_s)
        position = self._positions.get(message.attempt)
        if position is not None and message.number <= position.number:
            return responses
        match message:
            case PartRelease():
                return responses + self._remove(message.attempt)
            case PartRequest():
                return responses + self._handle_request(message, position, now_s)

    def expire(self, now_s: float) -> list[PartResponse]:
        """Remove attempts whose lease has expired; return the responses to send."""
        late = [p.attempt for p in self._positions.values() if p.lease_until_s <= now_s]
        waiting_first = sorted(late, key=lambda attempt: attempt == self.owner)
        return [a for attempt in waiting_first for a in self._remove(attempt)]

    def _handle_request(
        self, request: PartRequest, position: _QueuePosition | None, now_s: float
    ) -> list[PartResponse]:
        if position is None:
            if len(self._positions) > self.max_queued_attempts:
                refused = PartStatus.REFUSED
                return [
                    PartResponse(self.part, request.attempt, request.number, refused)
                ]
            rank = (
                request.timestamp_s
                if self.by_timestamp
                else float(next(self._arrivals))
            )
            position = _QueuePosition(request.attempt, (rank, request.attempt), 0, 0.0)
            self._positions[request.attempt] = position
        position.number = request.number
        position.lease_until_s = now_s + self.lease_s
        if request.yields and self.owner == request.attempt:
            self.owner = None
        chosen = self._grant_next()
        if request.attempt in {response.attempt for response in chosen}:
            return chosen
        return [*chosen, self._response(position)]

    def _remove(self, attempt: str) -> list[PartResponse]:
        self._positions.pop(attempt, None)
        if self.owner == attempt:
            self.owner = None
        return self._grant_next()

    def _grant_next(self) -> list[PartResponse]:
        if self.owner is not None or not self._positions:
            return []
        first = min(self._positions.values(), key=lambda position: position.rank)
        self.owner = first.attempt
        return [self._response(first)]

    def _response(self, position: _QueuePosition) -> PartResponse:
        status = (
            PartStatus.HELD if self.owner == position.attempt else PartStatus.QUEUED
        )
        return PartResponse(self.part, position.attempt, position.number, status)
