"""The grants of one endpoint, their leases and the memory that they hold."""

import enum
from collections.abc import Iterator

import attrs

from .grants import EngineHolding, Expired, GrantAsk, Lane
from .room import Usage


class HoldingState(enum.StrEnum):
    """Where a grant is in its life."""

    HELD = "held"
    RUNNING = "running"
    ORPHANED = "orphaned"
    CANCELLING = "cancelling"


@attrs.define(kw_only=True)
class Holding:
    """A grant, or something found on the engine that no entry owns."""

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
    read_undisturbed: bool = False

    @property
    def is_reading(self) -> bool:
        """True while the engine has still to read the prompt."""
        return self.first_token_s is None and self.prefill_tokens > 0

    def is_owned(self, entry_id: str, now_s: float) -> bool:
        """Tell whether an entry may still renew."""
        if self.entry_id != entry_id or self.state is HoldingState.CANCELLING:
            return False
        return self.state is not HoldingState.HELD or now_s < self.expires_s

    def own(self, entry_id: str, expires_s: float) -> None:
        """Give it to an entry with a fresh lease."""
        if self.state is HoldingState.ORPHANED:
            self.state = HoldingState.RUNNING
        self.entry_id = entry_id
        self.expires_s = expires_s


def holding_for(ask: GrantAsk, grant_id: str, lane: Lane, expires_s: float) -> Holding:
    """Make the holding of a new grant."""
    return Holding(
        grant_id=grant_id,
        request_id=ask.request_id,
        entry_id=ask.entry_id,
        lane=lane,
        kv_tokens=ask.kv_tokens,
        prefill_tokens=ask.prefill_tokens,
        output_tokens=ask.remaining_output_tokens,
        expires_s=expires_s,
    )


def adopted_holding(found: EngineHolding, expires_s: float) -> Holding:
    """Make the holding of something that was found on the engine."""
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
        """Take a holding in."""
        self._by_id[holding.grant_id] = holding

    def get(self, grant_id: str) -> Holding | None:
        """Find a holding by its grant id."""
        return self._by_id.get(grant_id)

    def remove(self, grant_id: str) -> Holding | None:
        """Forget a holding: its memory is free."""
        return self._by_id.pop(grant_id, None)

    def clear(self) -> tuple[str, ...]:
        """Forget all holdings and give their ids."""
        lost = tuple(self._by_id)
        self._by_id.clear()
        return lost

    def of_request(self, request_id: str) -> Holding | None:
        """Find the live holding of a request, not one that is being cancelled."""
        for holding in self._by_id.values():
            is_live = holding.state is not HoldingState.CANCELLING
            if is_live and holding.request_id == request_id:
                return holding
        return None

    def usage(self, without: Holding | None = None, submitted: bool = False) -> Usage:
        """Sum up what is held.

        Parameters
        ----------
        without : Holding, optional
            Left out of the sum.
        submitted : bool
            Count only what has reached the engine.
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

    def reading_tokens(self, lane: Lane) -> int:
        """Sum up the prompts to be read before a new request of a lane."""
        return sum(
            holding.prefill_tokens
            for holding in self._by_id.values()
            if holding.is_reading
            and (lane is Lane.LONG or holding.lane is not Lane.LONG)
        )

    def is_any_reading(self, without: Holding | None) -> bool:
        """Tell whether the engine reads another prompt."""
        return any(
            holding.is_reading and holding.submitted_s is not None
            for holding in self._by_id.values()
            if holding is not without
        )

    def disturb(self, newcomer: Holding) -> None:
        """Note that the prompts being read share the engine from now on."""
        for holding in self._by_id.values():
            if holding is not newcomer:
                holding.read_undisturbed = False

    def expire(self, now_s: float, grace_s: float) -> Expired:
        """Move all holdings on whose time has passed."""
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
        return Expired(
            dropped=tuple(dropped),
            orphaned=tuple(orphaned),
            to_cancel=tuple(to_cancel),
        )

    def cancelling(self) -> tuple[str, ...]:
        """List the grants whose cancel the engine has not confirmed."""
        return tuple(
            holding.grant_id
            for holding in self._by_id.values()
            if holding.state is HoldingState.CANCELLING
        )

    def dump(self) -> list[dict[str, object]]:
        """Give the state as plain data."""
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
