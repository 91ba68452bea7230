"""Streams of the stand-in engine."""

import attrs

from .engine_model import prompt_digest, prompt_tokens, token_text
from .prefix_cache import block_hashes


@attrs.frozen
class Arrival:
    """A stream as asked for; `output_tokens` counts the delivered ones too."""

    stream_id: str
    model: str
    prompt: str
    output_tokens: int
    priority: int = 0
    delivered: tuple[str, ...] = ()
    group_id: str = ""
    group_size: int = attrs.field(default=1, validator=attrs.validators.ge(1))
    import_handle: str = ""


@attrs.define(eq=False)
class Stream:
    """One stream, running or ended.

    Parameters
    ----------
    rank : int
        Order of arrival.
    digest : str
        Of the prompt.
    blocks : tuple of int
        Hashes of the prompt's blocks.
    fatal : bool
        Whether it kills the engine.
    context_tokens : int
        To prefill: the prompt and what was delivered.
    computed_tokens : int
        Of the context, prefilled so far.
    first_sequence, next_sequence : int
        The output tokens that come first and next.
    kv_tokens : int
        Memory held; 0 once it has ended.
    ended_at_s : float, optional
        When it ended.
    finish_reason : str
        ``stop`` or ``cancelled``, once it has ended.
    """

    stream_id: str
    rank: int
    digest: str
    blocks: tuple[int, ...]
    fatal: bool
    context_tokens: int
    output_tokens: int
    first_sequence: int
    next_sequence: int
    kv_tokens: int
    priority: int
    group_size: int
    computed_tokens: int = 0
    started: bool = False
    in_batch: bool = False
    ended_at_s: float | None = None
    finish_reason: str = ""

    @classmethod
    def from_arrival(cls, arrival: Arrival, rank: int, crash_on_text: str) -> "Stream":
        """Count a prompt's tokens and hash its blocks."""
        tokens = prompt_tokens(arrival.prompt)
        total_tokens = tokens + arrival.output_tokens
        return cls(
            stream_id=arrival.stream_id,
            rank=rank,
            digest=prompt_digest(arrival.prompt),
            blocks=block_hashes(arrival.prompt),
            fatal=bool(crash_on_text) and crash_on_text in arrival.prompt,
            context_tokens=tokens + len(arrival.delivered),
            output_tokens=arrival.output_tokens,
            first_sequence=len(arrival.delivered),
            next_sequence=len(arrival.delivered),
            kv_tokens=-(-total_tokens // arrival.group_size),
            priority=arrival.priority,
            group_size=arrival.group_size,
        )

    @property
    def ended(self) -> bool:
        """Whether it makes no more tokens."""
        return self.ended_at_s is not None

    @property
    def to_prefill_tokens(self) -> int:
        """Left to prefill."""
        return self.context_tokens - self.computed_tokens

    @property
    def state(self) -> str:
        """Its state in one word."""
        if self.ended:
            return "ended"
        if not self.to_prefill_tokens:
            return "decode"
        return "prefill" if self.started else "waiting"

    def tokens(self, first: int, last: int) -> list[str]:
        """Return the text of tokens `first` up to, not including, `last`."""
        return [token_text(index, self.digest) for index in range(first, last)]

    def end(self, finish_reason: str, now_s: float) -> None:
        """End it and free its memory."""
        self.kv_tokens = 0
        self.in_batch = False
        self.ended_at_s = now_s
        self.finish_reason = finish_reason
