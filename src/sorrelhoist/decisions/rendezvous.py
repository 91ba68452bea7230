"""Rendezvous hashing: every process ranks the same candidates in the same order."""

from collections.abc import Iterable

import xxhash


def _digest(key: str | bytes, seed: int = 0) -> int:
    data = key.encode() if isinstance(key, str) else key
    return xxhash.xxh3_64_intdigest(data, seed=seed)


def ranked(key: str | bytes, candidates: Iterable[str]) -> list[str]:
    """Order the candidates for a key, best first.

    Taking a candidate out moves only the keys that it held.

    Parameters
    ----------
    key : str or bytes
        What is to be placed.
    candidates : iterable of str
        In any order.

    Returns
    -------
    list of str

    Examples
    --------
    >>> ranked("a", ["x", "y", "z"]) == ranked("a", ["z", "x", "y"])
    True
    """
    seed = _digest(key)
    return sorted(candidates, key=lambda name: (_digest(name, seed=seed), name))


def first(key: str | bytes, candidates: Iterable[str]) -> str | None:
    """Choose the best candidate for a key.

    Parameters
    ----------
    key : str or bytes
        What is to be placed.
    candidates : iterable of str
        In any order.

    Returns
    -------
    str or None
        None when there is no candidate.
    """
    seed = _digest(key)
    return min(
        candidates,
        key=lambda name: (_digest(name, seed=seed), name),
        default=None,
    )
