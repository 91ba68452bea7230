"""Which gateways read the store, and what the others may conclude from them.

A few gateways read the store; the others ask one of them how fresh its knowledge is,
and read only when they know less. So the calls to the store don't grow with the
fleet. A confirmation is as good as an own read: its age counts from the moment at
which the asker sent its question, on a clock that counts while a host stands still.
"""

from collections.abc import Iterable

import attrs

from .rendezvous import ranked

READERS = 2
"""One may die or lose its way to the store at any moment."""

LONGEST_AGE_S = 2.0
"""Knowledge that is older is no confirmation: over the time between two reads."""

CONFIRMATION_LIFETIME_S = 0.8
"""An answer counts for so long: two questions."""


def readers(node_ids: Iterable[str]) -> list[str]:
    """Choose the gateways that read the store.

    Parameters
    ----------
    node_ids : iterable of str
        Of the live gateways, the own one included.

    Returns
    -------
    list of str
        The same on each process that knows the same gateways.
    """
    return ranked("store readers", node_ids)[:READERS]


@attrs.frozen(kw_only=True)
class Confirmation:
    """What another gateway knew.

    Parameters
    ----------
    configuration_offset : int
    configuration_s : float
        When it was in force at the latest: the time of the question less its age.
    directory_digest : int
    directory_s : float
        The same for the directory.
    heard_s : float
    """

    configuration_offset: int
    configuration_s: float
    directory_digest: int
    directory_s: float
    heard_s: float


@attrs.define
class Confirmations:
    """The last answer of another gateway.

    Examples
    --------
    >>> known = Confirmations()
    >>> known.heard(Confirmation(configuration_offset=7, configuration_s=1.0,
    ...     directory_digest=5, directory_s=1.0, heard_s=1.2))
    >>> known.configuration_s(own_offset=7, now_s=1.3)
    1.0
    >>> known.configuration_s(own_offset=6, now_s=1.3) is None
    True
    >>> known.directory_s(own_digest=5, now_s=9.0) is None
    True
    """

    _last: Confirmation | None = None

    def heard(self, confirmation: Confirmation) -> None:
        """Take in an answer."""
        self._last = confirmation

    def configuration_s(self, own_offset: int, now_s: float) -> float | None:
        """Return when the own configuration was the newest, if that is confirmed."""
        last = self._usable(now_s)
        if last is None or last.configuration_offset > own_offset:
            return None
        return last.configuration_s if _is_fresh(last.configuration_s, now_s) else None

    def directory_s(self, own_digest: int, now_s: float) -> float | None:
        """Return when the own directory was the newest, if that is confirmed."""
        last = self._usable(now_s)
        if last is None or last.directory_digest != own_digest:
            return None
        return last.directory_s if _is_fresh(last.directory_s, now_s) else None

    def _usable(self, now_s: float) -> Confirmation | None:
        if self._last is None or now_s - self._last.heard_s > CONFIRMATION_LIFETIME_S:
            return None
        return self._last


def _is_fresh(known_s: float, now_s: float) -> bool:
    return now_s - known_s <= LONGEST_AGE_S
