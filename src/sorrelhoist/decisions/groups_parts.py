"""Parts of groups: the messages about them, and the queue of one endpoint."""

import enum
import itertools
from collections.abc import Iterator

import attrs

MAX_WAITING = 64


class Verdict(enum.Enum):
    """What an endpoint answers."""

    HELD = "held"
    QUEUED = "queued"
    REFUSED = "refused"


@attrs.frozen
class AskPart:
    """Ask for a part, or renew the lease on it or on the place in its queue.

    Parameters
    ----------
    part, attempt : str
        The endpoint, and the reservation that wants it.
    number : int
        Counts what the attempt sent for this part; late ones are ignored.
    stamp_s : float
        When the attempt began.
    yields : bool
        Give the part to the first of the queue, and queue again.
    """

    part: str
    attempt: str
    number: int
    stamp_s: float
    yields: bool = False


@attrs.frozen
class GiveBack:
    """Give a part, or the place in its queue, back."""

    part: str
    attempt: str
    number: int


@attrs.frozen
class PartAnswer:
    """The answer to the attempt's message of this number."""

    part: str
    attempt: str
    number: int
    verdict: Verdict


@attrs.frozen
class Reserved:
    """All parts are held."""


@attrs.frozen
class Ended:
    """The reservation is refused or lost; all parts are given back."""


Action = AskPart | GiveBack | Reserved | Ended


@attrs.define
class _Place:
    attempt: str
    rank: tuple[float, str]
    number: int
    until_s: float


@attrs.define
class PartQueue:
    """One endpoint's owner and queue.

    The lease of a place runs from the attempt's last message, also when the place
    becomes the owner's; so the attempt can tell how long it holds the part at least.

    Parameters
    ----------
    part : str
    lease_s : float
    by_stamp : bool
        Queue in the order of the attempts' begin, else of arrival.
    max_waiting : int
    """

    part: str
    lease_s: float
    by_stamp: bool = False
    max_waiting: int = MAX_WAITING
    owner: str | None = attrs.field(init=False, default=None)
    _places: dict[str, _Place] = attrs.field(init=False, factory=dict)
    _order: Iterator[int] = attrs.field(init=False, factory=itertools.count)

    @property
    def is_free(self) -> bool:
        """Whether nobody owns the part or waits for it."""
        return not self._places

    def on_message(self, message: AskPart | GiveBack, now_s: float) -> list[PartAnswer]:
        """Take in a message; return the answers to send."""
        answers = self.expire(now_s)
        place = self._places.get(message.attempt)
        if place is not None and message.number <= place.number:
            return answers
        match message:
            case GiveBack():
                return answers + self._remove(message.attempt)
            case AskPart():
                return answers + self._asked(message, place, now_s)

    def expire(self, now_s: float) -> list[PartAnswer]:
        """Drop the places whose lease has passed."""
        late = [p.attempt for p in self._places.values() if p.until_s <= now_s]
        waiting_first = sorted(late, key=lambda attempt: attempt == self.owner)
        return [a for attempt in waiting_first for a in self._remove(attempt)]

    def _asked(
        self, ask: AskPart, place: _Place | None, now_s: float
    ) -> list[PartAnswer]:
        if place is None:
            if len(self._places) > self.max_waiting:
                refused = Verdict.REFUSED
                return [PartAnswer(self.part, ask.attempt, ask.number, refused)]
            rank = ask.stamp_s if self.by_stamp else float(next(self._order))
            place = _Place(ask.attempt, (rank, ask.attempt), 0, 0.0)
            self._places[ask.attempt] = place
        place.number = ask.number
        place.until_s = now_s + self.lease_s
        if ask.yields and self.owner == ask.attempt:
            self.owner = None
        chosen = self._choose()
        if ask.attempt in {answer.attempt for answer in chosen}:
            return chosen
        return [*chosen, self._answer(place)]

    def _remove(self, attempt: str) -> list[PartAnswer]:
        self._places.pop(attempt, None)
        if self.owner == attempt:
            self.owner = None
        return self._choose()

    def _choose(self) -> list[PartAnswer]:
        if self.owner is not None or not self._places:
            return []
        first = min(self._places.values(), key=lambda place: place.rank)
        self.owner = first.attempt
        return [self._answer(first)]

    def _answer(self, place: _Place) -> PartAnswer:
        verdict = Verdict.HELD if self.owner == place.attempt else Verdict.QUEUED
        return PartAnswer(self.part, place.attempt, place.number, verdict)
