"""Place a request on an endpoint, on a group, or on the stream that already runs it."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager

import attrs

from ..decisions.groups import needs_group
from ..decisions.routing import Router, Target
from ..exceptions import RequestSuspectedError
from ..messages.gen import ttypes
from .fleet import Fleet
from .grants import ExistingStream, GrantAcquirer, HeldGrant, PendingRequest
from .groups import GroupReserver, HeldGroup

Placement = HeldGrant | ExistingStream | HeldGroup


@attrs.define
class Placer:
    """Choose where requests run, and record how they ended.

    Parameters
    ----------
    fleet : Fleet
    router : Router
    acquirer : GrantAcquirer
    groups : GroupReserver
    is_suspected, is_condemned : callable
        Return, for a request fingerprint, whether it must run exclusively (alone on
        its endpoint), and whether it is refused as a poison request.
    on_death : callable
        ``on_death(endpoint, boot_id, fingerprint, is_sole)``.
    on_completed : callable
        ``on_completed(fingerprint)``.
    clock : callable
        Monotonic seconds.
    """

    fleet: Fleet
    router: Router
    acquirer: GrantAcquirer
    groups: GroupReserver
    is_suspected: Callable[[int], bool]
    is_condemned: Callable[[int], bool]
    on_death: Callable[[str, str, int, bool], None]
    on_completed: Callable[[int], None]
    clock: Callable[[], float]

    async def place(self, pending: PendingRequest) -> Placement:
        """Place a request and acquire its grants.

        Parameters
        ----------
        pending : PendingRequest

        Returns
        -------
        HeldGrant, ExistingStream or HeldGroup

        Raises
        ------
        RequestSuspectedError
            If the request is a poison request: endpoints died while they ran it.
        OverloadedError
            If no endpoint has capacity in time.
        """
        fingerprint = pending.request.fingerprint
        if self.is_condemned(fingerprint):
            raise RequestSuspectedError(
                "Endpoints died while they ran this request alone."
            )
        pending.request.suspected = self.is_suspected(fingerprint)
        targets = self._untried(pending, self.fleet.targets(pending.request.model))
        if needs_group(self._kv_tokens(pending), targets):
            return await self.groups.reserve(pending, targets)
        return await self.acquirer.acquire(pending, targets)

    def _untried(self, pending: PendingRequest, targets: list[Target]) -> list[Target]:
        """Return the endpoints that have not failed the request, or all if none."""
        untried = [t for t in targets if t.endpoint not in pending.failed_endpoints]
        return untried or targets

    def _kv_tokens(self, pending: PendingRequest) -> int:
        return pending.request.prompt_tokens + pending.request.output_tokens

    def observe(self, load: ttypes.Load | None) -> None:
        """Record the load that an agent reported at the end of a stream."""
        if load is not None:
            self.router.observe(load, self.clock())

    def record_failure(
        self,
        pending: PendingRequest,
        placement: Placement,
        failure: ttypes.StreamFailure | None,
    ) -> None:
        """Exclude the failed endpoint; report its death together with the request."""
        if isinstance(placement, HeldGrant):
            pending.failed_endpoints.add(placement.target.endpoint)
        if failure is None or not failure.endpoint_died:
            return
        if isinstance(placement, HeldGrant):
            self.on_death(
                placement.target.endpoint,
                placement.grant.boot_id,
                pending.request.fingerprint,
                bool(failure.sole_request),
            )

    def completed(self, pending: PendingRequest) -> None:
        """Clear the suspicion of a request that completed."""
        self.on_completed(pending.request.fingerprint)

    @contextmanager
    def running(self, pending: PendingRequest) -> Iterator[None]:
        """Count a long request as running while the context is open."""
        if not pending.route.is_long:
            yield
            return
        tokens = self._kv_tokens(pending)
        self.router.long_started(pending.route.model, tokens)
        try:
            yield
        finally:
            self.router.long_ended(pending.route.model, tokens)
