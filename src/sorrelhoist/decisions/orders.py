"""Reconciler of one endpoint: decides orders from its observed and desired state.

The reconciler is level-triggered: each time it compares the endpoint's own report with
the desired state from scratch, and so repairs any earlier failure.

Orders carry a fencing number: the offset of the agent's registration. An endpoint that
supports fencing refuses orders from a replaced agent as soon as it has seen the number
of the successor, which the successor announces with its first order.

For an endpoint without fencing, the agent sends orders only while it holds a lease: a
read of the log, started at most `lease_s` ago, has shown no newer registration. The
lease is checked on a monotonic clock immediately before sending. A successor waits
until the last lease from before its registration has expired and the longest order has
ended. An agent that is paused between the check and the sending can still send a stale
order. The successor's next comparison detects this, so the effect is limited to one
polling interval, the lag of the report and one load.
"""

import random

import attrs

from ..exceptions import SorrelhoistError
from .orders_placement import Desired

POLL_INTERVAL_S = 2.0
DEFAULT_LEASE_S = 5.0
DEFAULT_MAX_ORDER_DURATION_S = 180.0
DEFAULT_LOAD_JITTER_S = 20.0
CLOCK_DRIFT_FRACTION = 0.05
MIN_RETRY_S = 1.0
MAX_RETRY_S = 60.0


@attrs.frozen
class OrderOptions:
    """Fencing, lease and time limits for orders to one endpoint.

    Parameters
    ----------
    fences : bool
        The endpoint refuses orders with an old fencing number.
    lease_s : float
        How long orders may be sent after a read of the log.
    max_order_duration_s : float
        Time after which an order that was sent has either succeeded or failed.
    load_jitter_s : float
        Loads start after a random delay of up to this time.
    """

    fences: bool
    lease_s: float = DEFAULT_LEASE_S
    max_order_duration_s: float = DEFAULT_MAX_ORDER_DURATION_S
    load_jitter_s: float = DEFAULT_LOAD_JITTER_S


@attrs.frozen
class Observed:
    """State that the endpoint reports.

    Parameters
    ----------
    model, version : str
        The model that it has loaded.
    highest_fencing : int
        The highest fencing number that it has seen; 0 if it has no fencing.
    taken_at_s : float
        When the report was taken, in monotonic seconds of this process.
    """

    model: str
    version: str
    highest_fencing: int
    taken_at_s: float


@attrs.frozen
class NoOrder:
    """No order is needed, or none may be sent now."""

    reason: str


@attrs.frozen
class ConfirmLease:
    """Read the log to the end, call `lease_confirmed`, then decide again."""


@attrs.frozen
class AnnounceFencing:
    """Order the role, which changes nothing but announces the fencing number."""

    role: str


@attrs.frozen
class Load:
    """Fetch the weights, drain the endpoint and order it to load the model."""

    model: str
    version: str


Decision = NoOrder | ConfirmLease | AnnounceFencing | Load


@attrs.define
class Reconciler:
    """Decides which orders one agent process sends to its endpoint.

    Parameters
    ----------
    options : OrderOptions
        Fencing, lease and time limits.
    rng : random.Random
        Source of jitter.
    fencing : int
        Offset of this agent's registration; 0 before it is known.
    replaced : bool
        True once a newer registration is known: no more orders are sent.
    """

    options: OrderOptions
    rng: random.Random
    fencing: int = 0
    replaced: bool = False
    _first_order_s: float = 0.0
    _lease_until_s: float = -1.0
    _load_not_before_s: float | None = None
    _load_target: Desired | None = None
    _retry_s: float = MIN_RETRY_S
    _last_order_s: float = -1.0

    def registered(self, fencing: int, now_s: float) -> None:
        """Set the fencing number from the offset of this agent's registration.

        Parameters
        ----------
        fencing : int
            The offset.
        now_s : float
            A time, in monotonic seconds, at which the record was already in the log.
        """
        self.fencing = fencing
        self.replaced = False
        self._lease_until_s = now_s
        wait_s = 0.0
        if not self.options.fences:
            wait_s = self.options.lease_s + self.options.max_order_duration_s
        self._first_order_s = now_s + wait_s * (1 + CLOCK_DRIFT_FRACTION)

    def mark_replaced(self) -> None:
        """Stop sending orders: another agent has registered for the endpoint."""
        self.replaced = True

    def lease_confirmed(self, read_begun_s: float) -> None:
        """Renew the lease: a read to the end of the log showed no newer registration.

        Parameters
        ----------
        read_begun_s : float
            A time before the read was sent, in monotonic seconds.
        """
        self._lease_until_s = read_begun_s + self.options.lease_s

    def may_send(self, now_s: float) -> bool:
        """Return whether an order may be sent at `now_s`."""
        if self.replaced or not self.fencing or now_s < self._first_order_s:
            return False
        return self.options.fences or now_s < self._lease_until_s

    def decide(
        self,
        observed: Observed,
        desired: Desired | None,
        may_change_model: bool,
        now_s: float,
    ) -> Decision:
        """Compare the observed state with the desired state.

        Parameters
        ----------
        observed : Observed
            The endpoint's report.
        desired : Desired or None
            The desired state; None to leave the endpoint unchanged.
        may_change_model : bool
            Whether the endpoint may stop serving in order to change its model.
        now_s : float
            The present time, in monotonic seconds.

        Returns
        -------
        Decision
            The order to send, the lease to confirm, or the reason for no order.
        """
        if observed.highest_fencing > self.fencing > 0:
            self.mark_replaced()
        blocked = self._blocked(observed, desired, now_s)
        if blocked or desired is None:
            return NoOrder(blocked or "nothing is desired")
        if self.options.fences and observed.highest_fencing < self.fencing:
            return AnnounceFencing(desired.role)
        if (observed.model, observed.version) == (desired.model, desired.version):
            self._reset_backoff()
            return NoOrder("as desired")
        if observed.model and not may_change_model:
            return NoOrder("others change first")
        return self._load(desired, now_s)

    def order_done(self, now_s: float) -> None:
        """Record that an order succeeded; reports taken before now are ignored."""
        self._last_order_s = now_s
        self._reset_backoff()

    def order_failed(self, error: SorrelhoistError, now_s: float) -> None:
        """Back off after a failed order or a failed fetch of the weights.

        Parameters
        ----------
        error : SorrelhoistError
            Its `retry_after_s`, if set, is the minimum wait.
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
        if desired != self._load_target or self._load_not_before_s is None:
            self._load_target = desired
            jitter_s = self.rng.uniform(0.0, self.options.load_jitter_s)
            self._load_not_before_s = now_s + jitter_s
        if now_s < self._load_not_before_s:
            return NoOrder("waiting to load")
        if not self.may_send(now_s):
            return ConfirmLease()
        return Load(desired.model, desired.version)

    def _reset_backoff(self) -> None:
        self._load_not_before_s = None
        self._load_target = None
        self._retry_s = MIN_RETRY_S
