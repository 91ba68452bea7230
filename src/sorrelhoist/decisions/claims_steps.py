"""Actions and events of the state machine of an at-most-once call.

The state machine returns an action; the I/O layer carries it out and reports the
result as an event. Both are plain values, so every transition can be tested with
every failure.
"""

import attrs

from ..exceptions import SorrelhoistError
from .claims_records import Claim, Outcome, Void


@attrs.frozen
class AppendClaim:
    """Append a claim. Result: Appended, NotAppended or AppendUnknown."""

    claim: Claim


@attrs.frozen
class AppendVoid:
    """Append a void. Result: Appended, NotAppended or AppendUnknown."""

    void: Void


@attrs.frozen
class AppendOutcome:
    """Append an outcome. Result: Appended, NotAppended or AppendUnknown."""

    outcome: Outcome


@attrs.frozen
class ReadThrough:
    """Wait for records of the log to be folded. Result: Progress.

    Parameters
    ----------
    offset : int or None
        Wait until this record is folded; if None, until any record is folded.
    until_s : float
        Stop waiting at this time, in monotonic seconds.
    """

    offset: int | None
    until_s: float


@attrs.frozen
class CallService:
    """Call the service immediately, without retries.

    Result: Served, NotReached or CallUnknown.
    """

    timeout_s: float


@attrs.frozen
class LookUp:
    """Look up the service's stored answer for the key. Result: LookedUp."""

    timeout_s: float


@attrs.frozen
class ReadOutcome:
    """Read the outcome at an offset of the log. Result: OutcomeRead."""

    offset: int


@attrs.frozen
class AnswerReply:
    """Send the service's answer to the caller.

    Parameters
    ----------
    status, content_type, body
        The service's answer.
    replayed : bool
        True if the answer is from another call with the same key.
    pending : Outcome or None
        A record whose append the I/O layer retries in the background.
    """

    status: int
    content_type: str
    body: bytes
    replayed: bool
    pending: Outcome | None = None


@attrs.frozen
class AnswerError:
    """Send an error to the caller.

    Parameters
    ----------
    error : SorrelhoistError
        With `not_run` set if it is certain that the call did not run.
    pending : Void or None
        A record whose append the I/O layer retries in the background.
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
    """The record may have been appended, or may still be."""


@attrs.frozen
class Progress:
    """Records were folded, or the wait timed out."""


@attrs.frozen
class Served:
    """The service answered."""

    status: int
    content_type: str
    body: bytes


@attrs.frozen
class NotReached:
    """The connection to the service failed: nothing was sent."""

    reason: str


@attrs.frozen
class CallUnknown:
    """The call may have been sent, but no complete answer was received."""

    reason: str


@attrs.frozen
class LookedUp:
    """The stored answer for the key, or None if the service has none yet."""

    served: Served | None


@attrs.frozen
class OutcomeRead:
    """The requested outcome, or None if it can't be read."""

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
