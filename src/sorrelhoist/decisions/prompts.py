"""Profile prompts without tokenising them: size, fingerprint and prefix hashes."""

import math

import attrs
import xxhash

BLOCK_BYTES = 4096
MAX_PREFIX_BLOCKS = 8
_SIGNED_64_LIMIT = 1 << 63
_UNSIGNED_64_RANGE = 1 << 64


@attrs.frozen
class PromptProfile:
    """A prompt's size and identity.

    Parameters
    ----------
    prompt_tokens : int
        Estimated from the length in bytes.
    fingerprint : int
        Signed 64-bit hash of model and prompt.
    prefix_hashes : list of int
        Signed 64-bit hashes of the prompt's first complete blocks. Each also covers
        all bytes before its block, so equal hashes mean equal prefixes.
    """

    prompt_tokens: int
    fingerprint: int
    prefix_hashes: list[int]


def _signed(value: int) -> int:
    return value - _UNSIGNED_64_RANGE if value >= _SIGNED_64_LIMIT else value


def profile_prompt(model: str, prompt: str, bytes_per_token: float) -> PromptProfile:
    """Estimate the size of a prompt and hash it.

    Parameters
    ----------
    model : str
    prompt : str
    bytes_per_token : float
        Average for the model.

    Returns
    -------
    PromptProfile

    Examples
    --------
    >>> profile_prompt("m", "abcdefgh", 4).prompt_tokens
    2
    """
    data = prompt.encode()
    prefix_hasher = xxhash.xxh3_64(model.encode())
    hashes: list[int] = []
    for start in range(0, len(data) - BLOCK_BYTES + 1, BLOCK_BYTES):
        if len(hashes) == MAX_PREFIX_BLOCKS:
            break
        prefix_hasher.update(data[start : start + BLOCK_BYTES])
        hashes.append(_signed(prefix_hasher.intdigest()))
    fingerprint = xxhash.xxh3_64(data, seed=xxhash.xxh32_intdigest(model.encode()))
    return PromptProfile(
        prompt_tokens=math.ceil(len(data) / bytes_per_token),
        fingerprint=_signed(fingerprint.intdigest()),
        prefix_hashes=hashes,
    )
