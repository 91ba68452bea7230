"""State of a configuration replica: the log fold, what is in force, and listeners."""

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
    """State of the configuration in one process.

    Parameters
    ----------
    freshness : Freshness
        Times of the last contact with the log and with peers.
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
        self._cached_body: tuple[Checkpoint, ttypes.ConfigurationBody] | None = None

    @property
    def revision(self) -> int:
        """Revision of the configuration in force; 0 if there is none."""
        return self.fold.revision if self.is_ready else 0

    def digest(self) -> ttypes.Digest:
        """Return the digest of the configuration for gossip."""
        digest = self.fold.state.digest if self.effective_offset else ""
        return ttypes.Digest(
            configuration_offset=self.effective_offset, configuration_digest=digest
        )

    def body(self) -> ttypes.ConfigurationBody:
        """Return the configuration as a message, encoded once for each state."""
        state = self.fold.state
        if self._cached_body is None or self._cached_body[0] is not state:
            self._cached_body = (state, to_body(state))
        return self._cached_body[1]

    def is_stale(self, now_s: float) -> bool:
        """Whether new work must be refused.

        This is so if no configuration is known, if the newest one can't be parsed,
        or if the last contact with log and peers is too long ago.
        """
        if not self.is_ready or self.problem:
            return True
        domains = self.configuration.failure_domains.keys()
        return self.freshness.is_stale(domains, now_s)

    def add_listener(self, listener: Listener) -> None:
        """Register a function to call with each configuration that comes into force."""
        self._listeners.append(listener)
        if self.is_ready:
            listener(self.configuration)

    def adopt(self, state: Checkpoint) -> None:
        """Adopt the state of a peer if it is newer than that of the fold."""
        self.fold.adopt(state)
        if self.fold.effective_offset > 0:
            self.activate()

    def activate(self) -> None:
        """Put the state of the fold in force, and notify the listeners.

        If its documents can't be parsed, the previous configuration stays, and
        `problem` says why.
        """
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
            self._notify(listener)

    def _notify(self, listener: Listener) -> None:
        try:
            listener(self.configuration)
        except Exception:
            logger.exception("configuration listener failed")
