"""Cost model, tokeniser and generated text of the stand-in engine, without I/O."""

import hashlib
import math

import attrs

BYTES_PER_TOKEN = 4
DIGEST_BYTES = 4


def prompt_tokens(prompt: str) -> int:
    """Return the number of tokens of a prompt.

    Examples
    --------
    >>> prompt_tokens("pirates")
    2
    """
    return math.ceil(len(prompt.encode()) / BYTES_PER_TOKEN)


def prompt_digest(prompt: str) -> str:
    """Return a prompt's digest, eight hexadecimal digits that its tokens carry."""
    return hashlib.blake2b(prompt.encode(), digest_size=DIGEST_BYTES).hexdigest()


def token_text(index: int, digest: str) -> str:
    """Return the text of output token `index` of the prompt with this digest.

    Examples
    --------
    >>> token_text(0, "00ff00ff")
    'w0-00ff00ff '
    """
    return f"w{index}-{digest} "


def answer_text(prompt: str, output_tokens: int) -> str:
    """Return the complete answer to a prompt, to compare with.

    Examples
    --------
    >>> answer_text("pirates", 2).count("w")
    2
    """
    digest = prompt_digest(prompt)
    return "".join(token_text(index, digest) for index in range(output_tokens))


@attrs.frozen
class CostModel:
    """Duration of a batch step.

    Parameters
    ----------
    prefill_tokens_per_s : float
        Prefill rate of one engine.
    decode_step_s : float
        Duration of a decode step with one stream in the batch.
    decode_growth : float
        Added share of a decode step for each further stream.
    cold_slow_factor : float
        Factor on the duration of steps during a cold start.
    """

    prefill_tokens_per_s: float = 40_000.0
    decode_step_s: float = 0.010
    decode_growth: float = 0.02
    cold_slow_factor: float = 3.0

    def step_s(
        self, chunk_tokens: float, decoding: int, cold: bool, slow_factor: float
    ) -> float:
        """Return the duration of one step, in seconds.

        Parameters
        ----------
        chunk_tokens : float
            Tokens prefilled in this step, as work of one engine.
        decoding : int
            Number of streams that decode one token.
        cold : bool
            Whether the engine is in a cold start.
        slow_factor : float
            Factor on the duration, from a fault.

        Examples
        --------
        >>> CostModel().step_s(2000, 1, False, 1.0)
        0.060000000000000005
        """
        prefill_s = chunk_tokens / self.prefill_tokens_per_s
        decode_s = 0.0
        if decoding:
            decode_s = self.decode_step_s * (1 + self.decode_growth * (decoding - 1))
        factor = self.cold_slow_factor if cold else 1.0
        return (prefill_s + decode_s) * factor * slow_factor
