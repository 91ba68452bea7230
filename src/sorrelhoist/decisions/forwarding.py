"""What follows when an endpoint didn't give a whole answer.

Callers must get a true answer: "not run" only if nothing ran, and nothing is sent
again that may have run and may not be repeated.
"""

import attrs

from .routes import Repeat

MAX_DECLINES = 4
"""Endpoints that may decline one request before it is refused: each costs a
round trip and a part of the shared retry budget."""


@attrs.frozen
class NotSent:
    """Nothing reached an endpoint, so that nothing ran.

    Parameters
    ----------
    detail : str
    faulty_address : str
        Of another endpoint that was needed, if that was at fault.
    """

    detail: str
    faulty_address: str = ""


@attrs.frozen
class Withheld:
    """It was not sent for a reason of our own, and no endpoint is at fault."""

    detail: str


@attrs.frozen
class Declined:
    """The endpoint says that it didn't run the request.

    Parameters
    ----------
    detail : str
    faulty_address : str
        Of another endpoint that it depended on, if it named one.
    is_full : bool
        Whether it had no room, which is no fault.
    """

    detail: str
    faulty_address: str = ""
    is_full: bool = False


@attrs.frozen
class Broken:
    """The request was sent and there is no whole answer: it may have run.

    Parameters
    ----------
    detail : str
    is_silent : bool
        Whether nothing came, instead of an end that came too soon. It was given up
        for another endpoint, and its retry is spent already.
    """

    detail: str
    is_silent: bool = False


@attrs.frozen
class Failed:
    """The endpoint ran the request and answered with a failure of its own."""

    status: int


Failure = NotSent | Withheld | Declined | Broken | Failed


@attrs.frozen
class TryAgain:
    """Send it to another endpoint."""


@attrs.frozen
class RefuseNotRun:
    """Answer that nothing ran and when to come back."""

    reason: str


@attrs.frozen
class FailUnknown:
    """Answer that it may have run."""

    reason: str


@attrs.frozen
class PassOn:
    """Give the caller the endpoint's own failure."""


NextStep = TryAgain | RefuseNotRun | FailUnknown | PassOn


@attrs.define(kw_only=True)
class Progress:
    """What became of one request so far.

    Parameters
    ----------
    repeat : Repeat
    max_endpoints : int
        Endpoints that it may run on.
    runs : int
        Sends after which it may have run.
    declines : int
        Sends that are known not to have run.
    has_begun : bool
        Whether the caller has a part of the answer.
    is_out : bool
        Whether an endpoint has it now, so that it may run at any moment.
    """

    repeat: Repeat
    max_endpoints: int
    runs: int = 0
    declines: int = 0
    has_begun: bool = False
    is_out: bool = False

    @property
    def may_move(self) -> bool:
        """Whether an endpoint that has it may be given up for another one."""
        return self.may_repeat and self.runs + 1 < self.max_endpoints

    @property
    def may_repeat(self) -> bool:
        """Whether it may run again after it may have run."""
        if self.has_begun:
            return self.repeat is Repeat.RESUMABLE
        return self.repeat is not Repeat.ONCE


def after_failure(failure: Failure, progress: Progress) -> NextStep:
    """Decide what follows a failure; it is counted in the progress.

    Parameters
    ----------
    failure : NotSent, Withheld, Declined, Broken or Failed
    progress : Progress

    Returns
    -------
    TryAgain, RefuseNotRun, FailUnknown or PassOn
        A `TryAgain` still needs a retry from the shared budget.

    Examples
    --------
    >>> once = Progress(repeat=Repeat.ONCE, max_endpoints=2)
    >>> after_failure(Declined("full"), once)
    TryAgain()
    >>> after_failure(Broken("reset"), once)
    FailUnknown(reason='reset')
    """
    progress.is_out = False
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
    """Tell whether sending on after a failure is a second arrival at the service.

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


def give_up(progress: Progress, reason: str) -> NextStep:
    """Answer a request for which no endpoint is left or no time."""
    if progress.runs or progress.has_begun or progress.is_out:
        return FailUnknown(reason)
    return RefuseNotRun(reason)
