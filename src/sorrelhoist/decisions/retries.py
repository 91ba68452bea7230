"""A budget for retries, so that failures can't multiply the load."""

import attrs

DEFAULT_RATIO = 0.2
DEFAULT_FLOOR_PER_S = 2.0
MAX_BALANCE = 100.0


@attrs.frozen(kw_only=True)
class SharedRetries:
    """What all processes together may spend on retries.

    Parameters
    ----------
    ratio : float
        Retries for each first attempt.
    slack : float
        Retries that are allowed besides, in each window.
    window_s : float
    """

    ratio: float
    slack: float
    window_s: float

    def divide(self, budget: "RetryBudget", processes: int) -> None:
        """Set a budget to the share of one process.

        Half of it is given out as a balance and half over time, so that no window
        sees more than the whole.

        Examples
        --------
        >>> budget = RetryBudget()
        >>> SharedRetries(ratio=0.2, slack=100.0, window_s=10.0).divide(budget, 10)
        >>> budget.max_balance, budget.floor_per_s, budget.ratio
        (5.0, 0.5, 0.1)
        """
        share = self.slack / 2 / max(1, processes)
        budget.ratio = self.ratio / 2
        budget.max_balance = share
        budget.floor_per_s = share / self.window_s


@attrs.define
class RetryBudget:
    """Retries earned by first attempts, plus a small steady allowance.

    Parameters
    ----------
    ratio : float
        Retries that each first attempt earns.
    floor_per_s : float
        Retries a second that are allowed without any traffic.
    max_balance : float
        Most retries that can be saved up.
    """

    ratio: float = DEFAULT_RATIO
    floor_per_s: float = DEFAULT_FLOOR_PER_S
    max_balance: float = MAX_BALANCE
    _balance: float = attrs.field(init=False)
    _updated_s: float | None = attrs.field(init=False, default=None)

    def __attrs_post_init__(self) -> None:
        self._balance = self.max_balance / 2

    def _refill(self, now_s: float) -> None:
        if self._updated_s is not None:
            elapsed_s = max(0.0, now_s - self._updated_s)
            self._add(elapsed_s * self.floor_per_s)
        self._updated_s = now_s

    def _add(self, amount: float) -> None:
        self._balance = min(self.max_balance, self._balance + amount)

    def first_attempt(self, now_s: float) -> None:
        """Note a first attempt."""
        self._refill(now_s)
        self._add(self.ratio)

    def try_retry(self, now_s: float) -> bool:
        """Spend one retry if there is one.

        Returns
        -------
        bool
            False when the budget is empty: give the request up.
        """
        self._refill(now_s)
        if self._balance < 1.0:
            return False
        self._balance -= 1.0
        return True

    def dump(self) -> dict:
        """Return the state as plain data."""
        return {"balance": self._balance, "ratio": self.ratio}
