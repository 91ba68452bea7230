"""Log lines of one request, with the age of what decided it."""

import logging

import attrs

from .state import GatewayState, boot_time_s

logger = logging.getLogger(__name__)


@attrs.frozen
class RequestLog:
    """Writes lines that bear a request's id.

    Parameters
    ----------
    request_id : str
    state : GatewayState
    """

    request_id: str
    state: GatewayState

    def write(self, message: str, outcome: str, **inputs: object) -> None:
        """Write a line for a decision."""
        logger.info(
            message,
            extra={
                "event": message.replace(" ", "_"),
                "request_id": self.request_id,
                "outcome": outcome,
                "contact_age_s": round(self.state.contact.age_s(boot_time_s()), 2),
            }
            | inputs,
        )
