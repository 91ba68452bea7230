"""Choice of the processes of a failure domain that follow the log by long polling."""

from collections.abc import Iterable

from .rendezvous import ranked

FOLLOWERS_PER_DOMAIN = 2
FOLLOWERS_KEY = "configuration followers"


def choose_followers(
    node_ids: Iterable[str], count: int = FOLLOWERS_PER_DOMAIN
) -> tuple[str, ...]:
    """Choose the followers by rendezvous hashing.

    Processes that see the same members choose the same followers. A process that
    joins or leaves changes at most one of them.

    Parameters
    ----------
    node_ids : iterable of str
        The live processes of one failure domain.
    count : int
        Number of followers.

    Returns
    -------
    tuple of str
        At most `count` node ids, the highest ranked first.

    Examples
    --------
    >>> choose_followers(["a", "b", "c"]) == choose_followers(["c", "b", "a"])
    True
    >>> choose_followers(["a"])
    ('a',)
    """
    return tuple(ranked(FOLLOWERS_KEY, set(node_ids))[:count])
