"""Retry policy after an endpoint failed to return a complete answer.

Callers are told "not run" only if the request was not executed. A request that may have
been executed is not sent again unless it may be repeated.
"""

import attrs

from .routes import Repeat

MAX_DECLINES = 4
"""Maximum number of endpoints that may decline a request before it is refused: each
costs a round trip and a part of the shared retry budget."""

PAUSE_KEPT_SHARE = 0.25
"""Share of the retry budget that retries after a request for a pause leave unused."""


@attrs.frozen
class NotSent:
    """The request did not reach an endpoint, so it was not executed.

    Parameters
    ----------
    detail : str
    faulty_address : str
        Address of another required endpoint, if that one was at fault.
    """

    detail: str
    faulty_address: str = ""


@attrs.frozen
class Withheld:
    """The request was not sent for a local reason; no endpoint is at fault."""

    detail: str


@attrs.frozen
class Declined:
    """The endpoint reports that it did not execute the request.

    Parameters
    ----------
    detail : str
    faulty_address : str
        Address of another endpoint that it depended on, if it named one.
    is_full : bool
        Whether it had no free capacity, which is not a fault.
    asks_for_pause : bool
        Whether it also said for how long it wants no requests from this gateway.
    """

    detail: str
    faulty_address: str = ""
    is_full: bool = False
    asks_for_pause: bool = False


@attrs.frozen
class Broken:
    """The request was sent but the answer is incomplete: it may have been executed.

    Parameters
    ----------
    detail : str
    is_silent : bool
        Whether nothing was received, as opposed to a truncated answer. The endpoint was
        abandoned for another one, and the retry has already been reserved.
    """

    detail: str
    is_silent: bool = False


@attrs.frozen
class Failed:
    """The endpoint executed the request and answered with an error of its own."""

    status: int


Failure = NotSent | Withheld | Declined | Broken | Failed


@attrs.frozen
class TryAgain:
    """Send the request to another endpoint."""


@attrs.frozen
class RefuseNotRun:
    """Answer that the request was not executed, with a time to retry after."""

    reason: str


@attrs.frozen
class FailUnknown:
    """Answer that the request may have been executed."""

    reason: str


@attrs.frozen
class PassOn:
    """Pass the endpoint's own error on to the caller."""


NextStep = TryAgain | RefuseNotRun | FailUnknown | PassOn


@attrs.define(eq=False, repr=False, kw_only=True)
class Progress:
    """Attempts made so far for one request.

    Parameters
    ----------
    repeat : Repeat
    max_endpoints : int
        Maximum number of endpoints that it may be executed on.
    runs : int
        Attempts after which it may have been executed.
    declines : int
        Attempts that are known not to have been executed.
    has_begun : bool
        Whether the caller has received a part of the answer.
    is_in_flight : bool
        Whether an endpoint has the request now and may execute it at any moment.
    """

    repeat: Repeat
    max_endpoints: int
    runs: int = 0
    declines: int = 0
    has_begun: bool = False
    is_in_flight: bool = False

    @property
    def may_have_run(self) -> bool:
        """Whether an endpoint may have executed the request, or does so now."""
        return self.runs > 0 or self.has_begun or self.is_in_flight

    @property
    def may_fail_over(self) -> bool:
        """Whether the request may fail over from the endpoint that has it now."""
        return self.may_repeat and self.runs + 1 < self.max_endpoints

    @property
    def may_repeat(self) -> bool:
        """Whether the request may be sent again although it may have been executed."""
        if self.has_begun:
            return self.repeat is Repeat.RESUMABLE
        return self.repeat is not Repeat.ONCE


def after_failure(failure: Failure, progress: Progress) -> NextStep:
    """Decide the next step after a failure, and count the failure in `progress`.

    Parameters
    ----------
    failure : NotSent, Withheld, Declined, Broken or Failed
    progress : Progress

    Returns
    -------
    TryAgain, RefuseNotRun, FailUnknown or PassOn
        After `TryAgain` the caller still has to reserve a retry of the shared budget
        if `costs_retry`.

    Examples
    --------
    >>> once = Progress(repeat=Repeat.ONCE, max_endpoints=2)
    >>> after_failure(Declined("full"), once)
    TryAgain()
    >>> after_failure(Broken("reset"), once)
    FailUnknown(reason='reset')
    """
    progress.is_in_flight = False
    match failure:
        case NotSent() | Withheld() | Declined():
            progress.declines += 1
            if progress.declines <= MAX_DECLINES:
                return TryAgain()
            return give_up(progress, failure.detail)
        case Broken(detail=detail):
            progress.runs += 1
            if progress.may_repeat and progress.runs < progress.max_endpoints:
                return TryAgain()
            return FailUnknown(detail)
        case Failed():
            progress.runs += 1
            if progress.may_repeat and progress.runs < progress.max_endpoints:
                return TryAgain()
            return PassOn()


def costs_retry(failure: Failure) -> bool:
    """Return whether a retry after this failure is charged to the shared retry budget.

    It is if the service gets the request a second time. Not charged are failures in
    which the request did not reach an endpoint, and a silent endpoint, for which the
    retry has been reserved already.

    Examples
    --------
    >>> costs_retry(NotSent("refused")), costs_retry(Declined("full"))
    (False, True)
    """
    match failure:
        case NotSent() | Withheld() | Broken(is_silent=True):
            return False
        case _:
            return True


def kept_share(failure: Failure) -> float:
    """Return the share of the retry budget that a retry must leave to other failures.

    Endpoints that ask for a pause turn many requests away, and must not use up what
    requests need whose endpoint has failed.

    Examples
    --------
    >>> kept_share(Declined("full", asks_for_pause=True)), kept_share(Broken("reset"))
    (0.25, 0.0)
    """
    match failure:
        case Declined(asks_for_pause=True):
            return PAUSE_KEPT_SHARE
        case _:
            return 0.0


def give_up(progress: Progress, reason: str) -> NextStep:
    """Choose the answer to a request that has no usable endpoint or no time left."""
    if progress.may_have_run:
        return FailUnknown(reason)
    return RefuseNotRun(reason)
