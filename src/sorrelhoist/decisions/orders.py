"""Orders to one endpoint, decided from what it is and what it should be.

The reconciler is level-triggered: it compares the endpoint's own report with
what is desired, each time anew, and so repairs whatever went wrong before.

Who may order: the fencing number is the offset of the agent's registration. An
endpoint that fences refuses the orders of a replaced agent as soon as it has
seen its successor's number, which the successor's first order announces.

For an endpoint that ignores fencing the agent orders only under a lease: a read
of the log, begun at most `lease_s` ago, has shown no newer registration. The
lease is checked on a monotonic clock right before sending. A successor waits
until the last lease before its registration has lapsed and the longest order is
over. An agent that is paused between the check and the sending can still do
harm; the successor's next comparison finds it, so that it lasts for one polling
interval, the report's lag and one load.
"""

import random

import attrs

from ..exceptions import SorrelhoistError
from .orders_placement import Desired

POLL_INTERVAL_S = 2.0
DEFAULT_LEASE_S = 5.0
DEFAULT_LONGEST_ORDER_S = 180.0
DEFAULT_LOAD_SPREAD_S = 20.0
CLOCK_DRIFT_FRACTION = 0.05
MIN_RETRY_S = 1.0
MAX_RETRY_S = 60.0


@attrs.frozen
class OrderOptions:
    """Bounds of the orders to one endpoint.

    Parameters
    ----------
    fences : bool
        The endpoint refuses orders with an old fencing number.
    lease_s : float
        How long a read of the log allows orders.
    longest_order_s : float
        After this time an order that was sent has ended, one way or the other.
    load_spread_s : float
        Loads begin at a random time in this span.
    """

    fences: bool
    lease_s: float = DEFAULT_LEASE_S
    longest_order_s: float = DEFAULT_LONGEST_ORDER_S
    load_spread_s: float = DEFAULT_LOAD_SPREAD_S


@attrs.frozen
class Observed:
    """What the endpoint reports of itself.

    Parameters
    ----------
    model, version : str
        What it has loaded.
    highest_fencing : int
        The highest number that it has seen; 0 if it doesn't fence.
    taken_at_s : float
        When the report was taken, in monotonic seconds of this process.
    """

    model: str
    version: str
    highest_fencing: int
    taken_at_s: float


@attrs.frozen
class Nothing:
    """No order is needed, or none may be given."""

    reason: str


@attrs.frozen
class ConfirmLease:
    """Read the log to the end, then call `lease_confirmed`, and decide again."""


@attrs.frozen
class Announce:
    """Order the role, which changes nothing but carries the fencing number."""

    role: str


@attrs.frozen
class Load:
    """Fetch the weights, drain the endpoint, and order the load."""

    model: str
    version: str


Decision = Nothing | ConfirmLease | Announce | Load


@attrs.define
class Reconciler:
    """Decides the orders of one agent's life.

    Parameters
    ----------
    options : OrderOptions
        Bounds of the orders.
    rng : random.Random
        For jitter.
    fencing : int
        Offset of the own registration; 0 before it is known.
    replaced : bool
        A newer registration is known: no orders under this number.
    """

    options: OrderOptions
    rng: random.Random
    fencing: int = 0
    replaced: bool = False
    _first_order_s: float = 0.0
    _lease_until_s: float = -1.0
    _load_not_before_s: float | None = None
    _waiting_for: Desired | None = None
    _retry_s: float = MIN_RETRY_S
    _last_order_s: float = -1.0

    def registered(self, fencing: int, now_s: float) -> None:
        """Take in the offset of the own registration.

        Parameters
        ----------
        fencing : int
            The offset.
        now_s : float
            A time at which the record was in the log already.
        """
        self.fencing = fencing
        self.replaced = False
        self._lease_until_s = now_s
        wait_s = 0.0
        if not self.options.fences:
            wait_s = self.options.lease_s + self.options.longest_order_s
        self._first_order_s = now_s + wait_s * (1 + CLOCK_DRIFT_FRACTION)

    def newer_registration(self) -> None:
        """Take in that another agent has the endpoint now."""
        self.replaced = True

    def lease_confirmed(self, read_begun_s: float) -> None:
        """Take in that a read to the end of the log showed no newer one.

        Parameters
        ----------
        read_begun_s : float
            The time before the read was sent.
        """
        self._lease_until_s = read_begun_s + self.options.lease_s

    def may_send(self, now_s: float) -> bool:
        """Tell whether an order may be sent at this very moment."""
        if self.replaced or not self.fencing or now_s < self._first_order_s:
            return False
        return self.options.fences or now_s < self._lease_until_s

    def decide(
        self, observed: Observed, desired: Desired | None, turn: bool, now_s: float
    ) -> Decision:
        """Compare what is with what should be.

        Parameters
        ----------
        observed : Observed
            The endpoint's report.
        desired : Desired or None
            None to leave the endpoint as it is.
        turn : bool
            Whether the endpoint may stop serving for a change.
        now_s : float
            The present time, in monotonic seconds.

        Returns
        -------
        Decision
        """
        if observed.highest_fencing > self.fencing > 0:
            self.newer_registration()
        blocked = self._blocked(observed, desired, now_s)
        if blocked or desired is None:
            return Nothing(blocked or "nothing is desired")
        if self.options.fences and observed.highest_fencing < self.fencing:
            return Announce(desired.role)
        if (observed.model, observed.version) == (desired.model, desired.version):
            self._settled()
            return Nothing("as desired")
        if observed.model and not turn:
            return Nothing("others change first")
        return self._load(desired, now_s)

    def order_done(self, now_s: float) -> None:
        """Take in that an order was obeyed; older reports don't count."""
        self._last_order_s = now_s
        self._settled()

    def order_failed(self, error: SorrelhoistError, now_s: float) -> None:
        """Take in that an order or a load from the store failed.

        Parameters
        ----------
        error : SorrelhoistError
            Its `retry_after_s`, if there is one, is kept to.
        now_s : float
            The present time, in monotonic seconds.
        """
        wait_s = max(error.retry_after_s or 0.0, self._retry_s)
        self._load_not_before_s = now_s + wait_s * self.rng.uniform(1.0, 1.5)
        self._retry_s = min(2 * self._retry_s, MAX_RETRY_S)

    def dump(self) -> dict:
        """Return the state for the process's dump."""
        return {
            "fencing": self.fencing,
            "replaced": self.replaced,
            "first_order_s": self._first_order_s,
            "lease_until_s": self._lease_until_s,
            "load_not_before_s": self._load_not_before_s,
        }

    def _blocked(
        self, observed: Observed, desired: Desired | None, now_s: float
    ) -> str:
        if self.replaced:
            return "another agent has the endpoint"
        if not self.fencing:
            return "not registered yet"
        if desired is None:
            return "the configuration asks for nothing"
        if now_s < self._first_order_s:
            return "orders of the agent before may still run"
        if observed.taken_at_s <= self._last_order_s:
            return "the report is older than the last order"
        return ""

    def _load(self, desired: Desired, now_s: float) -> Decision:
        if desired != self._waiting_for or self._load_not_before_s is None:
            self._waiting_for = desired
            spread_s = self.rng.uniform(0.0, self.options.load_spread_s)
            self._load_not_before_s = now_s + spread_s
        if now_s < self._load_not_before_s:
            return Nothing("waiting to load")
        if not self.may_send(now_s):
            return ConfirmLease()
        return Load(desired.model, desired.version)

    def _settled(self) -> None:
        self._load_not_before_s = None
        self._waiting_for = None
        self._retry_s = MIN_RETRY_S
