"""Log records about one request, with the age of the last contact with the store."""

import logging

import attrs

from .state import GatewayState, boot_time_s

logger = logging.getLogger(__name__)


@attrs.frozen
class RequestLog:
    """Write log records with the id of a request.

    Parameters
    ----------
    request_id : str
    state : GatewayState
    """

    request_id: str
    state: GatewayState

    def write(self, message: str, outcome: str, **inputs: object) -> None:
        """Log a decision with its outcome and its inputs."""
        self._write(logging.INFO, message, outcome, inputs)

    def warn(self, message: str, outcome: str, **inputs: object) -> None:
        """Log an end that callers notice, whatever the rate of the log is."""
        self._write(logging.WARNING, message, outcome, inputs)

    def _write(
        self, level: int, message: str, outcome: str, inputs: dict[str, object]
    ) -> None:
        logger.log(
            level,
            message,
            extra={
                "event": message.replace(" ", "_"),
                "request_id": self.request_id,
                "outcome": outcome,
                "contact_age_s": round(self.state.contact.age_s(boot_time_s()), 2),
            }
            | inputs,
        )
