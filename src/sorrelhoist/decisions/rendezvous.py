"""Rendezvous (highest random weight) hashing of keys to candidates.

Every process ranks the same candidates in the same order without coordination.
"""

from collections.abc import Iterable

import xxhash


def _digest(key: str | bytes, seed: int = 0) -> int:
    data = key.encode() if isinstance(key, str) else key
    return xxhash.xxh3_64_intdigest(data, seed=seed)


def ranked(key: str | bytes, candidates: Iterable[str]) -> list[str]:
    """Rank the candidates for a key, best first.

    Removing a candidate moves only the keys that were placed on it.

    Parameters
    ----------
    key : str or bytes
        Key to place.
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
    """Return the best candidate for a key.

    Parameters
    ----------
    key : str or bytes
        Key to place.
    candidates : iterable of str
        In any order.

    Returns
    -------
    str or None
        None if there is no candidate.
    """
    seed = _digest(key)
    return min(
        candidates,
        key=lambda name: (_digest(name, seed=seed), name),
        default=None,
    )
