"""Find a place to run a request: one endpoint, a group, or where it runs already."""

from collections.abc import Callable

import attrs

from ..decisions.routing import Router
from ..exceptions import RequestSuspectedError
from ..messages.gen import ttypes
from .fleet import Fleet
from .grants import Ask, GrantSeeker, HeldGrant, RunningElsewhere
from .groups import GroupReserver, HeldGroup, needs_group

Placement = HeldGrant | RunningElsewhere | HeldGroup


@attrs.define
class Placer:
    """Place requests.

    Parameters
    ----------
    fleet : Fleet
    router : Router
    seeker : GrantSeeker
    groups : GroupReserver
    is_suspected, is_condemned : callable
        Tell, for a fingerprint, whether it must run alone, and whether it must
        not run at all.
    clock : callable
        Monotonic seconds.
    """

    fleet: Fleet
    router: Router
    seeker: GrantSeeker
    groups: GroupReserver
    is_suspected: Callable[[int], bool]
    is_condemned: Callable[[int], bool]
    clock: Callable[[], float]

    async def place(self, ask: Ask) -> Placement:
        """Find a place for a request.

        Parameters
        ----------
        ask : Ask

        Returns
        -------
        HeldGrant, RunningElsewhere or HeldGroup

        Raises
        ------
        RequestSuspectedError
            If the request kills the endpoints that run it.
        OverloadedError
            If there is no room in time.
        """
        fingerprint = ask.request.fingerprint
        if self.is_condemned(fingerprint):
            raise RequestSuspectedError(
                "Endpoints died while they ran this request alone."
            )
        ask.request.suspected = self.is_suspected(fingerprint)
        targets = self.fleet.targets(ask.request.model)
        if needs_group(self._kv_tokens(ask), targets):
            return await self.groups.reserve(ask, targets)
        return await self.seeker.seek(ask, targets)

    def _kv_tokens(self, ask: Ask) -> int:
        return ask.request.prompt_tokens + ask.request.output_tokens

    def observe(self, load: ttypes.Load | None) -> None:
        """Take in a load that came with the end of a stream."""
        if load is not None:
            self.router.observe(load, self.clock())

    def failed(self, ask: Ask, failure: ttypes.StreamFailure) -> None:
        """Take in what a failed attempt tells."""
        self.observe(failure.load)
