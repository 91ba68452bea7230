"""Which processes of a failure domain follow the log closely."""

from collections.abc import Iterable

from .rendezvous import ranked

FOLLOWERS_PER_DOMAIN = 2
FOLLOWERS_KEY = "configuration followers"


def choose_followers(
    node_ids: Iterable[str], count: int = FOLLOWERS_PER_DOMAIN
) -> tuple[str, ...]:
    """Choose the followers by rendezvous hash.

    Processes that see the same members choose the same ones. One that joins or
    leaves changes the choice by one at most.

    Parameters
    ----------
    node_ids : iterable of str
        The live processes of one failure domain.
    count : int
        How many to choose.

    Returns
    -------
    tuple of str
        At most `count`, the best first.

    Examples
    --------
    >>> choose_followers(["a", "b", "c"]) == choose_followers(["c", "b", "a"])
    True
    >>> choose_followers(["a"])
    ('a',)
    """
    return tuple(ranked(FOLLOWERS_KEY, set(node_ids))[:count])
