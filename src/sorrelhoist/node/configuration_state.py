"""What a replica knows: the fold, what is in force, and who wants to hear of it."""

import logging
from collections.abc import Callable
from typing import Any

from returns.result import Failure, Success

from ..decisions.configuration import ConfigurationFold
from ..decisions.configuration_freshness import Freshness
from ..decisions.configuration_parsing import AcceptedParser
from ..decisions.configuration_records import Checkpoint
from ..decisions.configuration_set import Configuration
from ..messages.gen import ttypes
from .configuration_body import to_body

logger = logging.getLogger(__name__)

Listener = Callable[[Configuration], None]


class ConfigurationState:
    """The configuration in force in one process.

    Parameters
    ----------
    freshness : Freshness
        When log and peers were last heard.
    """

    def __init__(self, freshness: Freshness) -> None:
        self.fold = ConfigurationFold()
        self.freshness = freshness
        self.configuration = Configuration()
        self.is_ready = False
        self.problem = ""
        self.effective_offset = 0
        self._parser = AcceptedParser()
        self._listeners: list[Listener] = []
        self._packed: tuple[Checkpoint, ttypes.ConfigurationBody] | None = None

    @property
    def revision(self) -> int:
        """Number of the configuration in force; 0 when there is none."""
        return self.fold.revision if self.is_ready else 0

    def digest(self) -> ttypes.Digest:
        """Return what gossip carries of the configuration."""
        digest = self.fold.state.digest if self.effective_offset else ""
        return ttypes.Digest(
            configuration_offset=self.effective_offset, configuration_digest=digest
        )

    def body(self) -> ttypes.ConfigurationBody:
        """Return the configuration as a message; packed once for each state."""
        state = self.fold.state
        if self._packed is None or self._packed[0] is not state:
            self._packed = (state, to_body(state))
        return self._packed[1]

    def is_stale(self, now_s: float) -> bool:
        """Whether new work must be refused for want of a trusted configuration."""
        if not self.is_ready or self.problem:
            return True
        domains = self.configuration.failure_domains.keys()
        return self.freshness.is_stale(domains, now_s)

    def add_listener(self, listener: Listener) -> None:
        """Call a function with each configuration that comes into force."""
        self._listeners.append(listener)
        if self.is_ready:
            listener(self.configuration)

    def adopt(self, state: Checkpoint) -> None:
        """Take the state of a peer over, if it is ahead."""
        self.fold.adopt(state)
        if self.fold.effective_offset > 0:
            self.settle()

    def settle(self) -> None:
        """Put the state of the fold in force."""
        is_first = not self.is_ready
        self.is_ready = True
        if not is_first and self.fold.effective_offset == self.effective_offset:
            return
        self.effective_offset = self.fold.effective_offset
        match self._parser.parse(self.fold.documents):
            case Success(configuration):
                self._put_in_force(configuration)
            case Failure(problems):
                self.problem = str(problems)
                logger.error(
                    "configuration not understood", extra={"problems": self.problem}
                )

    def dump(self, now_s: float) -> dict[str, Any]:
        """Return the state as plain data."""
        return {
            "is_ready": self.is_ready,
            "is_stale": self.is_stale(now_s),
            "problem": self.problem,
            "effective_offset": self.effective_offset,
            "revision": self.revision,
            "fold": self.fold.dump(),
            "freshness": self.freshness.dump(now_s),
        }

    def _put_in_force(self, configuration: Configuration) -> None:
        self.problem = ""
        self.configuration = configuration
        logger.info(
            "configuration in force",
            extra={
                "effective_offset": self.effective_offset,
                "revision": self.fold.revision,
                "digest": self.fold.state.digest,
            },
        )
        for listener in self._listeners:
            self._tell(listener)

    def _tell(self, listener: Listener) -> None:
        try:
            listener(self.configuration)
        except Exception:
            logger.exception("listener of the configuration failed")
