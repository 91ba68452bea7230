"""What is known of a prompt without reading it: size, fingerprint, prefix blocks."""

import math

import attrs
import xxhash

BLOCK_BYTES = 4096
MAX_PREFIX_BLOCKS = 8
_SIGNED_64_OFFSET = 1 << 63
_UNSIGNED_64 = 1 << 64


@attrs.frozen
class PromptProfile:
    """A prompt's size and identity.

    Parameters
    ----------
    prompt_tokens : int
        Estimated from the bytes.
    fingerprint : int
        Signed 64-bit hash of model and prompt.
    prefix_hashes : list of int
        Signed 64-bit hashes of the prompt's first whole blocks; each covers all
        bytes before it too, so that equal hashes mean equal prefixes.
    """

    prompt_tokens: int
    fingerprint: int
    prefix_hashes: list[int]


def _signed(value: int) -> int:
    return value - _UNSIGNED_64 if value >= _SIGNED_64_OFFSET else value


def profile_prompt(model: str, prompt: str, bytes_per_token: float) -> PromptProfile:
    """Profile a prompt.

    Parameters
    ----------
    model : str
    prompt : str
    bytes_per_token : float
        Of the model.

    Returns
    -------
    PromptProfile

    Examples
    --------
    >>> profile_prompt("m", "abcdefgh", 4).prompt_tokens
    2
    """
    data = prompt.encode()
    running = xxhash.xxh3_64(model.encode())
    hashes: list[int] = []
    for start in range(0, len(data) - BLOCK_BYTES + 1, BLOCK_BYTES):
        if len(hashes) == MAX_PREFIX_BLOCKS:
            break
        running.update(data[start : start + BLOCK_BYTES])
        hashes.append(_signed(running.intdigest()))
    fingerprint = xxhash.xxh3_64(data, seed=xxhash.xxh32_intdigest(model.encode()))
    return PromptProfile(
        prompt_tokens=math.ceil(len(data) / bytes_per_token),
        fingerprint=_signed(fingerprint.intdigest()),
        prefix_hashes=hashes,
    )
