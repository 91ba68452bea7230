"""Find a place to run a request: one endpoint, a group, or where it runs already."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager

import attrs

from ..decisions.groups import needs_group
from ..decisions.routing import Router, Target
from ..exceptions import RequestSuspectedError
from ..messages.gen import ttypes
from .fleet import Fleet
from .grants import Ask, GrantSeeker, HeldGrant, RunningElsewhere
from .groups import GroupReserver, HeldGroup

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
    on_death : callable
        ``on_death(endpoint, boot_id, fingerprint, is_sole)``.
    on_completed : callable
        ``on_completed(fingerprint)``.
    clock : callable
        Monotonic seconds.
    """

    fleet: Fleet
    router: Router
    seeker: GrantSeeker
    groups: GroupReserver
    is_suspected: Callable[[int], bool]
    is_condemned: Callable[[int], bool]
    on_death: Callable[[str, str, int, bool], None]
    on_completed: Callable[[int], None]
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
        targets = self._untried(ask, self.fleet.targets(ask.request.model))
        if needs_group(self._kv_tokens(ask), targets):
            return await self.groups.reserve(ask, targets)
        return await self.seeker.seek(ask, targets)

    def _untried(self, ask: Ask, targets: list[Target]) -> list[Target]:
        """Leave out the endpoints that failed the request, while there are others."""
        untried = [t for t in targets if t.endpoint not in ask.failed_endpoints]
        return untried or targets

    def _kv_tokens(self, ask: Ask) -> int:
        return ask.request.prompt_tokens + ask.request.output_tokens

    def observe(self, load: ttypes.Load | None) -> None:
        """Take in a load that came with the end of a stream."""
        if load is not None:
            self.router.observe(load, self.clock())

    def note_failure(
        self, ask: Ask, placement: Placement, failure: ttypes.StreamFailure | None
    ) -> None:
        """Go elsewhere next; hold an endpoint's death against the request."""
        if isinstance(placement, HeldGrant):
            ask.failed_endpoints.add(placement.target.endpoint)
        if failure is None or not failure.endpoint_died:
            return
        if isinstance(placement, HeldGrant):
            self.on_death(
                placement.target.endpoint,
                placement.grant.boot_id,
                ask.request.fingerprint,
                bool(failure.sole_request),
            )

    def completed(self, ask: Ask) -> None:
        """Clear a request that ran to its end."""
        self.on_completed(ask.request.fingerprint)

    @contextmanager
    def running(self, ask: Ask) -> Iterator[None]:
        """Count a long request for as long as the context lasts."""
        if not ask.route.is_long:
            yield
            return
        tokens = self._kv_tokens(ask)
        self.router.long_started(ask.route.model, tokens)
        try:
            yield
        finally:
            self.router.long_ended(ask.route.model, tokens)
