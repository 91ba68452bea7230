"""The retries of one request, charged to the retry budget of its service."""

import attrs

from .parts import GatewayParts
from .request_log import RequestLog

LOGGED_DIGITS = 2


@attrs.define(eq=False, repr=False, kw_only=True)
class RetryCharge:
    """Reserves a retry when it is decided, and spends it when the request is sent.

    Parameters
    ----------
    parts : GatewayParts
    log : RequestLog
    service : str
    has_arrived : bool
        Whether an endpoint was sent the request: the next one gets a repeat.
    """

    parts: GatewayParts
    log: RequestLog
    service: str
    has_arrived: bool = False
    _is_reserved: bool = attrs.field(default=False, init=False)

    def try_reserve(self, now_s: float, kept_share: float = 0.0) -> bool:
        """Reserve the next retry, unless one is reserved already.

        Parameters
        ----------
        now_s : float
        kept_share : float
            Share of the maximum balance that must be left.

        Returns
        -------
        bool
            False if the request must not be sent again.
        """
        if self._is_reserved:
            return True
        budget = self.parts.state.retries.budget(self.service)
        self._is_reserved = budget.try_reserve(now_s, kept_share)
        self._record("allowed" if self._is_reserved else "denied")
        return self._is_reserved

    def try_send(self, now_s: float) -> bool:
        """Spend what is reserved, since the request is now sent to an endpoint.

        Returns
        -------
        bool
            False if the request must not be sent, since what it was to be paid from
            has lapsed while it waited.
        """
        if self._is_reserved:
            self._is_reserved = False
            budget = self.parts.state.retries.budget(self.service)
            if not budget.spend_reserved(now_s):
                self._record("lapsed")
                return False
        self.has_arrived = True
        return True

    def close(self) -> None:
        """Give back what is reserved and not spent."""
        if self._is_reserved:
            self._is_reserved = False
            self.parts.state.retries.budget(self.service).cancel_reserved()

    def _record(self, outcome: str) -> None:
        attributes = {"service": self.service, "outcome": outcome}
        self.parts.metrics.retries.add(1, attributes)
        left = {
            name: round(value, LOGGED_DIGITS)
            for name, value in self.parts.state.retries.budget(self.service)
            .dump()
            .items()
        }
        self.log.write(
            "retry charged",
            outcome=outcome,
            service=self.service,
            gateways=self.parts.state.retries.processes,
            **left,
        )
