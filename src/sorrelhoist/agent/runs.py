"""Token streams of the engine, buffered so that entries can read them again."""

import asyncio
from collections.abc import AsyncIterator, Sequence

import attrs

from ..messages.gen import ttypes

HEARTBEAT_INTERVAL_S = 0.5
# Time for which a finished stream can be read again.
RETENTION_S = 30.0


@attrs.frozen
class RunEnd:
    """Successful outcome of a run.

    Parameters
    ----------
    total_tokens : int
    finish_reason : str
    """

    total_tokens: int
    finish_reason: str


@attrs.frozen
class RunFailure:
    """Failed outcome of a run.

    Parameters
    ----------
    kind, message : str
    endpoint_died : bool
        Whether the endpoint is known to have died during the run.
    sole_request : bool
        Whether it was the only request on the endpoint at that time.
    """

    kind: str
    message: str
    endpoint_died: bool = False
    sole_request: bool = False


@attrs.define(eq=False)
class Run:
    """One token stream and its buffer.

    Parameters
    ----------
    request_id, grant_id, boot_id : str
    fingerprint : int or None
        Fingerprint of the prompt; None for a stream found on the engine.
    prompt_tokens : int
    base_sequence : int
        Sequence number of the first token in the buffer.
    tokens : list of str
        Buffered tokens, starting at `base_sequence`.
    """

    request_id: str
    grant_id: str
    boot_id: str
    fingerprint: int | None
    prompt_tokens: int
    base_sequence: int = 0
    tokens: list[str] = attrs.field(factory=list, repr=False)
    outcome: RunEnd | RunFailure | None = None
    ended_s: float | None = None
    has_first_token: bool = False
    _changed: asyncio.Event = attrs.field(init=False, factory=asyncio.Event)

    @property
    def next_sequence(self) -> int:
        """Sequence number of the next token from the engine."""
        return self.base_sequence + len(self.tokens)

    def accept(self, sequence: int, tokens: Sequence[str]) -> bool:
        """Append tokens from the engine; those already buffered are skipped.

        Returns
        -------
        bool
            False if there is a gap before these tokens.
        """
        overlap_tokens = self.next_sequence - sequence
        if overlap_tokens < 0:
            return False
        fresh = tokens[overlap_tokens:]
        if fresh:
            self.tokens.extend(fresh)
            self._notify()
        return True

    def end(self, outcome: RunEnd | RunFailure, now_s: float) -> None:
        """End the run; later outcomes are ignored."""
        if self.outcome is None:
            self.outcome = outcome
            self.ended_s = now_s
            self._notify()

    def _notify(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def follow(
        self, from_sequence: int
    ) -> AsyncIterator[ttypes.Piece | RunEnd | RunFailure]:
        """Read the stream, starting at a sequence number.

        Parameters
        ----------
        from_sequence : int

        Yields
        ------
        Piece, RunEnd or RunFailure
            A piece without tokens is a heartbeat. The last item is the outcome.
        """
        position = max(from_sequence, self.base_sequence)
        while True:
            changed = self._changed
            tokens = self.tokens[position - self.base_sequence :]
            if tokens:
                yield self._piece(position, tokens)
                position += len(tokens)
                continue
            if self.outcome is not None:
                yield self.outcome
                return
            try:
                async with asyncio.timeout(HEARTBEAT_INTERVAL_S):
                    await changed.wait()
            except TimeoutError:
                yield self._piece(position, [])

    def _piece(self, sequence: int, tokens: list[str]) -> ttypes.Piece:
        return ttypes.Piece(
            request_id=self.request_id, sequence=sequence, tokens=tokens
        )

    def dump(self) -> dict:
        """Return the state as plain data."""
        return {
            "request_id": self.request_id,
            "grant_id": self.grant_id,
            "boot_id": self.boot_id,
            "prompt_tokens": self.prompt_tokens,
            "next_sequence": self.next_sequence,
            "outcome": None if self.outcome is None else attrs.asdict(self.outcome),
        }


@attrs.define
class RunTable:
    """Running streams, and finished ones for `RETENTION_S`."""

    _runs: dict[str, Run] = attrs.field(factory=dict)

    def add(self, run: Run) -> None:
        """Add a run; it replaces a failed run of the same request."""
        self._runs[run.request_id] = run

    def get(self, request_id: str) -> Run | None:
        """Return the run of a request."""
        return self._runs.get(request_id)

    def live(self) -> list[Run]:
        """Return the runs that have not ended."""
        return [run for run in self._runs.values() if run.outcome is None]

    def discard_expired(self, now_s: float) -> None:
        """Discard runs that ended more than `RETENTION_S` ago."""
        expired = [
            run.request_id
            for run in self._runs.values()
            if run.ended_s is not None and now_s - run.ended_s > RETENTION_S
        ]
        for request_id in expired:
            del self._runs[request_id]

    def dump(self) -> list[dict]:
        """Return the state as plain data."""
        return [run.dump() for run in self._runs.values()]
