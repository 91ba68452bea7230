"""Budget of a process for what it holds, fair shares of it, and pressure.

The load pattern is callers that read their answers slowly or not at all, up to all of
them at once, beside callers that read at once and must not notice. What is held grows
by the answers of the slow ones until the connections that hold most are cut; requests
are refused only when what is held can't be cut: bodies and answers of sound requests.
"""

from collections.abc import Callable

import attrs

from .account import CONNECTION_BYTES, MemoryAccount
from .base import ProgramBase

RESERVE_SHARE = 0.12
"""Fraction of the limit left free: for copies that are made while data is passed on,
and for memory that the allocator keeps."""

CUT_SHARE = 0.7
"""Fraction of the budget above which slow connections are cut, before new requests have
to be refused."""

PRESSURE_SHARE, RELIEF_SHARE = 0.85, 0.6
"""Fractions of the budget at which pressure begins and ends."""

MAX_RESIDENT_SHARE = 0.95
"""Fraction of the limit that the process may take before it counts as short of memory,
whatever its accounts say."""

MIN_RETRY_AFTER_S, MAX_RETRY_AFTER_S = 0.2, 5.0
"""Bounds of the Retry-After of a refusal under pressure."""


@attrs.define(eq=False, repr=False)
class MemoryBudget:
    """Accounts of all requests, and the limit of their sum.

    Parameters
    ----------
    limit_bytes : int or None
        Memory limit of the process. Without one everything is counted, nothing is
        cut, and there is no pressure.
    on_over : callable
        Called when the accounts hold more than is kept: some must be cut.

    Examples
    --------
    >>> budget = MemoryBudget(200_000_000)
    >>> budget.measure(50_000_000, now_s=0.0)
    >>> round(budget.budget_bytes / 1e6)
    126
    >>> account = budget.open(4_000_000, now_s=0.0)
    >>> account.hold_unread(1_000_000, now_s=0.1)
    >>> budget.held_bytes >= 5_000_000, budget.is_short
    (True, False)
    >>> budget.close(account)
    >>> budget.held_bytes
    0
    """

    limit_bytes: int | None = None
    on_over: Callable[[], None] = lambda: None
    held_bytes: int = 0
    most_held_bytes: int = 0
    resident_bytes: int = 0
    is_short: bool = False
    _base: ProgramBase | None = attrs.field(init=False)
    _accounts: set[MemoryAccount] = attrs.field(init=False, factory=set)

    def __attrs_post_init__(self) -> None:
        self._base = None
        self.set_limit(self.limit_bytes)

    def set_limit(self, limit_bytes: int | None) -> None:
        """Set the memory limit of the process from now on."""
        self.limit_bytes = limit_bytes
        if limit_bytes is None:
            self._base = None
        elif self._base is None:
            self._base = ProgramBase(limit_bytes=limit_bytes)
        else:
            self._base.limit_bytes = limit_bytes

    @property
    def base_bytes(self) -> float | None:
        """What the program needs for itself; None without a limit."""
        return None if self._base is None else self._base.base_bytes

    @property
    def budget_bytes(self) -> float | None:
        """What may be held; None without a limit."""
        if self._base is None:
            return None
        limit_bytes = self._base.limit_bytes
        return limit_bytes * (1.0 - RESERVE_SHARE) - self._base.base_bytes

    @property
    def headroom(self) -> float | None:
        """Unused fraction of the budget; None without a limit."""
        if self.budget_bytes is None:
            return None
        return max(0.0, 1.0 - self.held_bytes / self.budget_bytes)

    @property
    def share_bytes(self) -> float | None:
        """What each request may hold without being cut; None without a limit."""
        if self.budget_bytes is None:
            return None
        return self.budget_bytes * CUT_SHARE / max(1, len(self._accounts))

    def measure(self, resident_bytes: int, now_s: float) -> None:
        """Adjust the budget to the measured size of the process."""
        self.resident_bytes = resident_bytes
        if self._base is not None:
            self._base.measure(resident_bytes, self.held_bytes, now_s)
        self._update_pressure()

    def open(self, declared_bytes: int, now_s: float) -> MemoryAccount | None:
        """Open an account for a request; None if it must be refused.

        Parameters
        ----------
        declared_bytes : int
            Length of its body as far as its headers say.
        now_s : float
        """
        if not self._has_room(declared_bytes + CONNECTION_BYTES):
            return None
        account = MemoryAccount(on_change=self._changed, opened_s=now_s)
        self._accounts.add(account)
        self._changed(account.held_bytes)
        account.hold_request(declared_bytes)
        return account

    def _has_room(self, size_bytes: int) -> bool:
        budget_bytes = self.budget_bytes
        if budget_bytes is None:
            return True
        has_room = self.held_bytes + size_bytes <= budget_bytes * PRESSURE_SHARE
        return has_room and not self.is_short

    def close(self, account: MemoryAccount) -> None:
        """Close an account; repeated calls have no effect."""
        if account in self._accounts:
            self._accounts.discard(account)
            self._changed(-account.held_bytes)
            account.on_change = _ignore

    def _changed(self, added_bytes: int) -> None:
        self.held_bytes += added_bytes
        self.most_held_bytes = max(self.most_held_bytes, self.held_bytes)
        budget_bytes = self.budget_bytes
        if budget_bytes is None:
            return
        if added_bytes > 0 and self.held_bytes > budget_bytes * CUT_SHARE:
            self.on_over()
        self._update_pressure()

    def _update_pressure(self) -> None:
        budget_bytes = self.budget_bytes
        if budget_bytes is None or self.limit_bytes is None:
            return
        is_full = self.resident_bytes > self.limit_bytes * MAX_RESIDENT_SHARE
        if is_full or self.held_bytes > budget_bytes * PRESSURE_SHARE:
            self.is_short = True
        elif self.held_bytes < budget_bytes * RELIEF_SHARE:
            self.is_short = False

    def to_cut(self, now_s: float) -> list[MemoryAccount]:
        """Choose the requests to end, so that the rest fits.

        Only requests over their share are chosen, and only for what callers have yet to
        read or are slow to send, or for answers that are not complete; those with most
        of it first.
        """
        budget_bytes, share_bytes = self.budget_bytes, self.share_bytes
        if budget_bytes is None or share_bytes is None:
            return []
        excess = self.held_bytes - budget_bytes * CUT_SHARE
        over = [
            account
            for account in self._accounts
            if account.held_bytes > share_bytes and account.cuttable_bytes(now_s) > 0
        ]
        over.sort(key=lambda one: one.cuttable_bytes(now_s), reverse=True)
        chosen = []
        for account in over:
            if excess <= 0:
                break
            excess -= account.held_bytes
            chosen.append(account)
        return chosen

    def retry_after_s(self, now_s: float) -> float:
        """Estimate when enough is free again, from the ends of the requests held."""
        left = self.held_bytes - (self.budget_bytes or 0.0) * RELIEF_SHARE
        ends_s = now_s
        for account in sorted(self._accounts, key=lambda one: one.due_s):
            if left <= 0:
                break
            left -= account.held_bytes
            ends_s = account.due_s
        return min(max(ends_s - now_s, MIN_RETRY_AFTER_S), MAX_RETRY_AFTER_S)

    def dump(self, now_s: float) -> dict:
        """Return the budget and its largest accounts as plain data."""
        largest = sorted(self._accounts, key=lambda one: -one.held_bytes)[:20]
        return {
            "limit_bytes": self.limit_bytes,
            "resident_bytes": self.resident_bytes,
            "base_bytes": self.base_bytes,
            "budget_bytes": self.budget_bytes,
            "share_bytes": self.share_bytes,
            "held_bytes": self.held_bytes,
            "most_held_bytes": self.most_held_bytes,
            "is_short": self.is_short,
            "accounts": len(self._accounts),
            "largest": [account.dump(now_s) for account in largest],
        }


def _ignore(added_bytes: int) -> None:
    """Ignore changes of an account that is closed."""
