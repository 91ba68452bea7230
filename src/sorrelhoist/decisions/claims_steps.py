"""What a claimed call does next, and what it hears back.

The process of a call returns an action; the shell carries it out and reports
with one of the events. Both are plain values, so that each step can be tested
with each fault.
"""

import attrs

from ..exceptions import SorrelhoistError
from .claims_records import Claim, Outcome, Void


@attrs.frozen
class AppendClaim:
    """Append a claim. Answer with Appended, NotAppended or AppendUnknown."""

    claim: Claim


@attrs.frozen
class AppendVoid:
    """Append a void. Answer with Appended, NotAppended or AppendUnknown."""

    void: Void


@attrs.frozen
class AppendOutcome:
    """Append an outcome. Answer with Appended, NotAppended or AppendUnknown."""

    outcome: Outcome


@attrs.frozen
class ReadThrough:
    """Follow the log; answer with Progress.

    Parameters
    ----------
    offset : int or None
        Until this record is folded; until any record is folded if None.
    until_s : float
        At the latest at this time.
    """

    offset: int | None
    until_s: float


@attrs.frozen
class CallService:
    """Call the service, at once and once.

    Answer with Served, NotReached or CallUnknown.
    """

    timeout_s: float


@attrs.frozen
class LookUp:
    """Ask the service for the recorded answer of the key; answer with LookedUp."""

    timeout_s: float


@attrs.frozen
class ReadOutcome:
    """Read the outcome at an offset; answer with OutcomeRead."""

    offset: int


@attrs.frozen
class AnswerReply:
    """Answer with what the service answered.

    Parameters
    ----------
    status, content_type, body
        Of the service's answer.
    replayed : bool
        True if another call with the same key ran.
    pending : Outcome or None
        A record that the shell keeps trying to append.
    """

    status: int
    content_type: str
    body: bytes
    replayed: bool
    pending: Outcome | None = None


@attrs.frozen
class AnswerError:
    """Answer with an error.

    Parameters
    ----------
    error : SorrelhoistError
        With `not_run` set if that is known.
    pending : Void or None
        A record that the shell keeps trying to append.
    """

    error: SorrelhoistError
    pending: Void | None = None


Action = (
    AppendClaim
    | AppendVoid
    | AppendOutcome
    | ReadThrough
    | CallService
    | LookUp
    | ReadOutcome
    | AnswerReply
    | AnswerError
)


@attrs.frozen
class Begin:
    """The call starts."""


@attrs.frozen
class Appended:
    """The record was appended at this offset."""

    offset: int


@attrs.frozen
class NotAppended:
    """The record was not appended and never will be."""

    reason: str
    retry_after_s: float


@attrs.frozen
class AppendUnknown:
    """The record may have been appended, or may be later."""


@attrs.frozen
class Progress:
    """The fold moved on, or the time to wait is over."""


@attrs.frozen
class Served:
    """The service answered."""

    status: int
    content_type: str
    body: bytes


@attrs.frozen
class NotReached:
    """No connection to the service was made: nothing was sent."""

    reason: str


@attrs.frozen
class CallUnknown:
    """The call was sent, or may have been, and there is no whole answer."""

    reason: str


@attrs.frozen
class LookedUp:
    """The recorded answer of the key, or None if the service has none now."""

    served: Served | None


@attrs.frozen
class OutcomeRead:
    """The outcome that was asked for, or None if it can't be read."""

    outcome: Outcome | None


Event = (
    Begin
    | Appended
    | NotAppended
    | AppendUnknown
    | Progress
    | Served
    | NotReached
    | CallUnknown
    | LookedUp
    | OutcomeRead
)
