"""Changes of the directory that gateways which poll the store pass on to the others.

The load pattern is a rolling restart of endpoints: each change of the directory made
every gateway read the store once. An update says which state it starts from and which
one it leads to, so that one that was lost, reordered or repeated changes nothing.
"""

from collections.abc import Sequence
from functools import reduce
from operator import xor

import attrs

from .report_rate import MAX_DATAGRAMS_PER_S

MAX_VALUE_BYTES = 1000
"""Bytes of keys and records in one update, so that it fits a datagram of 1,400."""

MAX_UPDATES = 4
"""Updates per read of the store. For more changes the others read for themselves."""


@attrs.frozen
class DirectoryChange:
    """A record that changed the directory.

    Parameters
    ----------
    endpoint_id : str
    value : bytes or None
        None if the store has no record any more.
    digest_change : int
        Exclusive or of the digests before and after it.
    """

    endpoint_id: str
    value: bytes | None
    digest_change: int


@attrs.frozen
class ChainedUpdate:
    """Changes that lead from one digest of the directory to another."""

    digest_before: int
    digest_after: int
    changes: tuple[DirectoryChange, ...]


def chained_updates(
    changes: Sequence[DirectoryChange], digest_after: int, peers: int
) -> list[ChainedUpdate]:
    """Split the changes of one read into updates that fit a datagram each.

    Parameters
    ----------
    changes : sequence of DirectoryChange
        In the order in which they were applied.
    digest_after : int
        Digest of the directory after all of them.
    peers : int
        Number of gateways that get each update.

    Returns
    -------
    list of ChainedUpdate
        Empty if there are too many for the datagrams that a process may send.

    Examples
    --------
    >>> changes = [DirectoryChange("i-1", b"x" * 600, 3),
    ...            DirectoryChange("i-2", b"x" * 600, 8)]
    >>> [(u.digest_before, u.digest_after) for u in chained_updates(changes, 11, 5)]
    [(0, 3), (3, 11)]
    >>> chained_updates(changes, 11, 300)
    []
    """
    groups: list[list[DirectoryChange]] = []
    size_bytes = MAX_VALUE_BYTES
    for change in changes:
        change_bytes = len(change.endpoint_id) + len(change.value or b"")
        if change_bytes > MAX_VALUE_BYTES:
            return []
        if size_bytes + change_bytes > MAX_VALUE_BYTES:
            groups.append([])
            size_bytes = 0
        groups[-1].append(change)
        size_bytes += change_bytes
    if len(groups) > MAX_UPDATES or len(groups) * peers > MAX_DATAGRAMS_PER_S:
        return []
    digest = reduce(xor, (change.digest_change for change in changes), digest_after)
    updates = []
    for group in groups:
        after = reduce(xor, (change.digest_change for change in group), digest)
        updates.append(ChainedUpdate(digest, after, tuple(group)))
        digest = after
    return updates
