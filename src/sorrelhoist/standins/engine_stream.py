"""Requests for streams of the stand-in engine, and the state of each stream."""

import attrs

from .engine_model import prompt_digest, prompt_tokens, token_text
from .prefix_cache import block_hashes


@attrs.frozen
class StreamRequest:
    """Request for a stream; `output_tokens` includes the delivered tokens."""

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
    """State of one stream, running or ended.

    Parameters
    ----------
    rank : int
        Position in the order of arrival.
    digest : str
        Digest of the prompt.
    blocks : tuple of int
        Hashes of the prompt's blocks.
    fatal : bool
        Whether this is a poison request, whose prefill crashes the engine.
    context_tokens : int
        Tokens to prefill: the prompt and the delivered tokens.
    computed_tokens : int
        Context tokens prefilled so far, cache hits included.
    first_sequence, next_sequence : int
        Sequence numbers of the first and the next output token.
    kv_tokens : int
        KV cache held; 0 once the stream has ended.
    ended_at_s : float, optional
        When the stream ended.
    finish_reason : str
        ``stop`` or ``cancelled``, once the stream has ended.
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
    def from_request(
        cls, request: StreamRequest, rank: int, crash_on_text: str
    ) -> "Stream":
        """Create the stream for a request: count its tokens and hash its blocks."""
        tokens = prompt_tokens(request.prompt)
        total_tokens = tokens + request.output_tokens
        return cls(
            stream_id=request.stream_id,
            rank=rank,
            digest=prompt_digest(request.prompt),
            blocks=block_hashes(request.prompt),
            fatal=bool(crash_on_text) and crash_on_text in request.prompt,
            context_tokens=tokens + len(request.delivered),
            output_tokens=request.output_tokens,
            first_sequence=len(request.delivered),
            next_sequence=len(request.delivered),
            kv_tokens=-(-total_tokens // request.group_size),
            priority=request.priority,
            group_size=request.group_size,
        )

    @property
    def ended(self) -> bool:
        """Whether the stream has ended."""
        return self.ended_at_s is not None

    @property
    def remaining_prefill_tokens(self) -> int:
        """Tokens still to prefill."""
        return self.context_tokens - self.computed_tokens

    @property
    def state(self) -> str:
        """``waiting``, ``prefill``, ``decode`` or ``ended``."""
        if self.ended:
            return "ended"
        if not self.remaining_prefill_tokens:
            return "decode"
        return "prefill" if self.started else "waiting"

    def tokens(self, first: int, last: int) -> list[str]:
        """Return the text of tokens `first` up to, not including, `last`."""
        return [token_text(index, self.digest) for index in range(first, last)]

    def end(self, finish_reason: str, now_s: float) -> None:
        """End the stream and release its KV cache."""
        self.kv_tokens = 0
        self.in_batch = False
        self.ended_at_s = now_s
        self.finish_reason = finish_reason
