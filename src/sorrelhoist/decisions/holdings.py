"""Table of the holdings of one endpoint: grants with their lease and KV cache."""

import enum
from collections.abc import Iterator

import attrs

from .capacity_bounds import Usage
from .grants import AdmissionRequest, EngineHolding, ExpiredLeases, Lane


class HoldingState(enum.StrEnum):
    """Lifecycle state of a grant.

    HELD: issued, not yet submitted. RUNNING: submitted to the engine. ORPHANED:
    running without an owner. CANCELLING: its cancel is not yet confirmed.
    """

    HELD = "held"
    RUNNING = "running"
    ORPHANED = "orphaned"
    CANCELLING = "cancelling"


@attrs.define(kw_only=True)
class Holding:
    """KV cache and slot held by a grant, or found on the engine without an owner."""

    grant_id: str
    request_id: str
    entry_id: str
    lane: Lane
    kv_tokens: int
    prefill_tokens: int
    output_tokens: int
    expires_s: float
    state: HoldingState = HoldingState.HELD
    takes_slot: bool = True
    submitted_s: float | None = None
    first_token_s: float | None = None
    prefill_was_exclusive: bool = False

    @property
    def is_prefilling(self) -> bool:
        """True until the engine has completed the prefill."""
        return self.first_token_s is None and self.prefill_tokens > 0

    def is_renewable_by(self, entry_id: str, now_s: float) -> bool:
        """Return whether an entry may still renew the lease."""
        if self.entry_id != entry_id or self.state is HoldingState.CANCELLING:
            return False
        return self.state is not HoldingState.HELD or now_s < self.expires_s

    def own(self, entry_id: str, expires_s: float) -> None:
        """Assign the holding to an entry with a new lease."""
        if self.state is HoldingState.ORPHANED:
            self.state = HoldingState.RUNNING
        self.entry_id = entry_id
        self.expires_s = expires_s


def holding_for(
    request: AdmissionRequest, grant_id: str, lane: Lane, expires_s: float
) -> Holding:
    """Build the holding of a new grant."""
    return Holding(
        grant_id=grant_id,
        request_id=request.request_id,
        entry_id=request.entry_id,
        lane=lane,
        kv_tokens=request.kv_tokens,
        prefill_tokens=request.prefill_tokens,
        output_tokens=request.remaining_output_tokens,
        expires_s=expires_s,
    )


def adopted_holding(found: EngineHolding, expires_s: float) -> Holding:
    """Build the holding of an item that was found on the engine."""
    return Holding(
        grant_id=found.holding_id,
        request_id=found.request_id,
        entry_id="",
        lane=Lane.SHORT,
        kv_tokens=found.kv_tokens,
        prefill_tokens=0,
        output_tokens=0,
        expires_s=expires_s,
        state=HoldingState.ORPHANED,
        takes_slot=found.is_running,
    )


@attrs.define
class Holdings:
    """All holdings of an endpoint by grant id."""

    _by_id: dict[str, Holding] = attrs.field(factory=dict)

    def __len__(self) -> int:
        return len(self._by_id)

    def __iter__(self) -> Iterator[Holding]:
        return iter(self._by_id.values())

    def add(self, holding: Holding) -> None:
        """Add a holding."""
        self._by_id[holding.grant_id] = holding

    def get(self, grant_id: str) -> Holding | None:
        """Return the holding of a grant id, or None."""
        return self._by_id.get(grant_id)

    def remove(self, grant_id: str) -> Holding | None:
        """Remove a holding, so that its KV cache is free."""
        return self._by_id.pop(grant_id, None)

    def clear(self) -> tuple[str, ...]:
        """Remove all holdings and return their ids."""
        lost = tuple(self._by_id)
        self._by_id.clear()
        return lost

    def of_request(self, request_id: str) -> Holding | None:
        """Return the holding of a request, unless it is being cancelled."""
        for holding in self._by_id.values():
            is_live = holding.state is not HoldingState.CANCELLING
            if is_live and holding.request_id == request_id:
                return holding
        return None

    def usage(self, without: Holding | None = None, submitted: bool = False) -> Usage:
        """Return the total usage of slots and KV cache.

        Parameters
        ----------
        without : Holding, optional
            Holding to leave out.
        submitted : bool
            Count only what was submitted to the engine.
        """
        counted = [
            holding
            for holding in self._by_id.values()
            if holding is not without
            and not (submitted and holding.state is HoldingState.HELD)
        ]
        long = [holding for holding in counted if holding.lane is Lane.LONG]
        return Usage(
            requests=sum(holding.takes_slot for holding in counted),
            kv_tokens=sum(holding.kv_tokens for holding in counted),
            long_requests=len(long),
            long_kv_tokens=sum(holding.kv_tokens for holding in long),
            alone=any(holding.lane is Lane.ALONE for holding in counted),
        )

    def tokens_ahead(self, lane: Lane) -> int:
        """Return the prefill tokens ahead of a new request of a lane."""
        return sum(
            holding.prefill_tokens
            for holding in self._by_id.values()
            if holding.is_prefilling
            and (lane is Lane.LONG or holding.lane is not Lane.LONG)
        )

    def is_any_prefilling(self, without: Holding | None) -> bool:
        """Return whether the engine has a prefill in progress besides `without`."""
        return any(
            holding.is_prefilling and holding.submitted_s is not None
            for holding in self._by_id.values()
            if holding is not without
        )

    def mark_prefill_shared(self, new_holding: Holding) -> None:
        """Record that all current prefills share the engine with a new one."""
        for holding in self._by_id.values():
            if holding is not new_holding:
                holding.prefill_was_exclusive = False

    def expire(self, now_s: float, grace_s: float) -> ExpiredLeases:
        """Advance each holding whose lease or grace period has expired."""
        dropped, orphaned, to_cancel = [], [], []
        for holding in list(self._by_id.values()):
            if now_s < holding.expires_s:
                continue
            match holding.state:
                case HoldingState.HELD:
                    dropped.append(holding.grant_id)
                    del self._by_id[holding.grant_id]
                case HoldingState.RUNNING:
                    orphaned.append(holding.grant_id)
                    holding.state = HoldingState.ORPHANED
                    holding.expires_s = now_s + grace_s
                case HoldingState.ORPHANED:
                    to_cancel.append(holding.grant_id)
                    holding.state = HoldingState.CANCELLING
                case HoldingState.CANCELLING:
                    pass
        return ExpiredLeases(
            dropped=tuple(dropped),
            orphaned=tuple(orphaned),
            to_cancel=tuple(to_cancel),
        )

    def cancelling(self) -> tuple[str, ...]:
        """Return the grants whose cancel the engine has not confirmed."""
        return tuple(
            holding.grant_id
            for holding in self._by_id.values()
            if holding.state is HoldingState.CANCELLING
        )

    def dump(self) -> list[dict[str, object]]:
        """Return the state as plain data."""
        return [
            {
                "grant_id": holding.grant_id,
                "request_id": holding.request_id,
                "entry_id": holding.entry_id,
                "lane": holding.lane.value,
                "state": holding.state.value,
                "kv_tokens": holding.kv_tokens,
                "expires_s": holding.expires_s,
            }
            for holding in self._by_id.values()
        ]
