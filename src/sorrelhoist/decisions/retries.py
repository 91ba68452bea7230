"""Retry budgets, which keep retries after failures from multiplying the load."""

import bisect
import operator
from collections.abc import Iterable

import attrs

DEFAULT_RATIO = 0.2
DEFAULT_FLOOR_PER_S = 2.0
DEFAULT_MAX_BALANCE = 100.0


@attrs.frozen(kw_only=True)
class SharedRetryBudget:
    """The retry budget of all processes together, for each service.

    Parameters
    ----------
    ratio : float
        Retries allowed per first attempt at the service.
    slack : float
        Additional retries allowed in each window.
    window_s : float
    """

    ratio: float
    slack: float
    window_s: float

    def empty_budget(self) -> "RetryBudget":
        """Return the budget of a process that has just started.

        It begins without a balance: what the former process on its host has spent in
        this window is unknown. What first attempts earn is kept apart and lapses after
        a window: a share of the slack may be less than one retry, and must not limit
        what traffic has earned.
        """
        return RetryBudget(
            ratio=self.ratio / 2,
            floor_per_s=0.0,
            max_balance=0.0,
            earned_ttl_s=self.window_s,
        )

    def set_process_share(
        self, budget: "RetryBudget", processes: int, now_s: float
    ) -> None:
        """Set the slack of one process to its share.

        Half of the total is granted as a balance and half over time, so that no
        window exceeds the total.

        Examples
        --------
        >>> shared = SharedRetryBudget(ratio=0.2, slack=100.0, window_s=10.0)
        >>> budget = shared.empty_budget()
        >>> shared.set_process_share(budget, 10, now_s=0.0)
        >>> budget.max_balance, budget.floor_per_s, budget.ratio
        (5.0, 0.5, 0.1)
        >>> budget.try_retry(now_s=1.0), budget.try_retry(now_s=2.0)
        (False, True)
        """
        share = self.slack / 2 / max(1, processes)
        budget.set_slack(share, share / self.window_s, now_s)


@attrs.frozen
class _Earned:
    """Part of a retry that a first attempt earned."""

    retries: float
    earned_s: float


_earned_s = operator.attrgetter("earned_s")


@attrs.define(eq=False, repr=False)
class RetryBudget:
    """A token bucket of retries, filled by first attempts and at a small constant rate.

    Parameters
    ----------
    ratio : float
        Retries that each first attempt earns.
    floor_per_s : float
        Retries per second that are allowed without any traffic.
    max_balance : float
        Maximum number of retries that can be saved up.
    earned_ttl_s : float or None
        Time after which what a first attempt earned lapses. None counts it in the
        balance instead.
    """

    ratio: float = DEFAULT_RATIO
    floor_per_s: float = DEFAULT_FLOOR_PER_S
    max_balance: float = DEFAULT_MAX_BALANCE
    earned_ttl_s: float | None = None
    _earned: list[_Earned] = attrs.field(init=False, factory=list)
    _reserved: int = attrs.field(init=False, default=0)
    _balance: float = attrs.field(init=False)
    _updated_s: float | None = attrs.field(init=False, default=None)

    def __attrs_post_init__(self) -> None:
        self._balance = self.max_balance / 2

    def set_slack(self, max_balance: float, floor_per_s: float, now_s: float) -> None:
        """Set what may be saved up and what is added over time from now on."""
        self._refill(now_s)
        self.max_balance = max_balance
        self.floor_per_s = floor_per_s
        self._balance = min(self._balance, max_balance)

    def _refill(self, now_s: float) -> None:
        # A first attempt is recorded at its receipt, which may lie before the last use.
        if self._updated_s is None:
            self._updated_s = now_s
        elapsed_s = max(0.0, now_s - self._updated_s)
        self._add(elapsed_s * self.floor_per_s)
        self._updated_s += elapsed_s

    def _add(self, amount: float) -> None:
        self._balance = min(self.max_balance, self._balance + amount)

    def record_first_attempt(self, now_s: float) -> None:
        """Record a first attempt, which earns a fraction of a retry."""
        self._refill(now_s)
        if self.earned_ttl_s is None:
            self._add(self.ratio)
            return
        self._drop_lapsed(now_s)
        bisect.insort(self._earned, _Earned(self.ratio, now_s), key=_earned_s)

    def try_retry(self, now_s: float, kept_share: float = 0.0) -> bool:
        """Spend one retry if the budget allows it.

        Parameters
        ----------
        now_s : float
        kept_share : float
            Share of the maximum balance that must be left.

        Returns
        -------
        bool
            False if the budget is empty: fail the request without a retry.
        """
        return self.try_reserve(now_s, kept_share) and self.spend_reserved(now_s)

    def try_reserve(self, now_s: float, kept_share: float = 0.0) -> bool:
        """Reserve one retry, for a request that may have to wait for an endpoint.

        Parameters
        ----------
        now_s : float
        kept_share : float
            Share of the maximum balance that must be left.

        Returns
        -------
        bool
            False if the budget is empty or reserved for other requests.
        """
        self._refill(now_s)
        left = self._available(now_s) - self._reserved - 1.0
        if left < kept_share * self.max_balance:
            return False
        self._reserved += 1
        return True

    def cancel_reserved(self) -> None:
        """Give back a reserved retry that wasn't spent."""
        self._reserved -= 1

    def spend_reserved(self, now_s: float) -> bool:
        """Spend a reserved retry.

        It is spent when the request is sent: retries that waited don't add to those of
        the window in which they arrive.

        Returns
        -------
        bool
            False if what it was to be paid from has lapsed.
        """
        self._reserved -= 1
        self._refill(now_s)
        if self._available(now_s) < 1.0:
            return False
        wanted = 1.0
        # What lapses first is spent first.
        while wanted > 0.0 and self._earned:
            oldest = self._earned.pop(0)
            used = min(wanted, oldest.retries)
            wanted -= used
            if used < oldest.retries:
                rest = _Earned(oldest.retries - used, oldest.earned_s)
                self._earned.insert(0, rest)
        self._balance -= wanted
        return True

    def _available(self, now_s: float) -> float:
        self._drop_lapsed(now_s)
        return self._balance + sum(one.retries for one in self._earned)

    def _drop_lapsed(self, now_s: float) -> None:
        if self.earned_ttl_s is not None:
            lapsed_s = now_s - self.earned_ttl_s
            del self._earned[: bisect.bisect(self._earned, lapsed_s, key=_earned_s)]

    def dump(self) -> dict:
        """Return the state as plain data for the state dump."""
        return {
            "balance": self._balance,
            "earned": sum(one.retries for one in self._earned),
            "reserved": self._reserved,
            "ratio": self.ratio,
            "max_balance": self.max_balance,
            "floor_per_s": self.floor_per_s,
        }


@attrs.define(eq=False, repr=False)
class ServiceRetries:
    """Retry budgets of one process: requests of a service pay for its retries only.

    Parameters
    ----------
    shared : SharedRetryBudget or None
        None gives each service a budget that isn't a share.
    processes : int or None
        Number of processes that share the slack; None while this one has no share.

    Examples
    --------
    >>> retries = ServiceRetries(SharedRetryBudget(ratio=2.0, slack=0.0, window_s=10.0))
    >>> retries.budget("a").record_first_attempt(now_s=0.0)
    >>> retries.budget("b").try_retry(now_s=1.0)
    False
    >>> retries.budget("a").try_retry(now_s=1.0)
    True
    """

    shared: SharedRetryBudget | None = None
    processes: int | None = None
    _budgets: dict[str, RetryBudget] = attrs.field(factory=dict)

    def budget(self, service: str) -> RetryBudget:
        """Return the budget of a service."""
        if service not in self._budgets:
            self._budgets[service] = (
                self.shared.empty_budget() if self.shared else RetryBudget()
            )
        return self._budgets[service]

    def share_among(
        self, processes: int, services: Iterable[str], now_s: float
    ) -> None:
        """Set the budgets of these services, and of all others in use, to the share."""
        if self.shared is None:
            return
        self.processes = processes
        for service in {*services, *self._budgets}:
            self.shared.set_process_share(self.budget(service), processes, now_s)

    def change_shared(self, shared: SharedRetryBudget, now_s: float) -> None:
        """Use other bounds from now on; what was earned or saved up stays."""
        self.shared = shared
        for budget in self._budgets.values():
            budget.ratio = shared.ratio / 2
            budget.earned_ttl_s = shared.window_s
        if self.processes is not None:
            self.share_among(self.processes, (), now_s)

    def dump(self) -> dict:
        """Return the budgets by service as plain data for the state dump."""
        return {
            service: budget.dump() | {"processes": self.processes}
            for service, budget in self._budgets.items()
        }
