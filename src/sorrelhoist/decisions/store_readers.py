"""Choice of the gateways that poll the store, and freshness confirmations from them.

A few gateways poll the store. The others query one of them for its version and its
age, and read the store only if their own version is older, so the load on the store
does not grow with the fleet. A confirmation is as good as a read by the process itself:
its age counts from the moment the query was sent, on a clock that also counts while
a host is suspended.
"""

from collections.abc import Iterable

import attrs

from .rendezvous import ranked

READER_COUNT = 2
"""More than one, since a reader may crash or lose its connection to the store at any
moment."""

MAX_CONFIRMED_AGE_S = 2.0
"""Maximum age of the confirmed data: longer than the interval between two reads."""

CONFIRMATION_TTL_S = 0.8
"""Time for which an answer is valid: two query intervals."""


def readers(node_ids: Iterable[str]) -> list[str]:
    """Choose the gateways that poll the store.

    Parameters
    ----------
    node_ids : iterable of str
        Ids of the live gateways, including this one.

    Returns
    -------
    list of str
        Equal in all processes that know the same gateways.
    """
    return ranked("store readers", node_ids)[:READER_COUNT]


@attrs.frozen
class StorePosition:
    """An offset in a topic of the store.

    Offsets of different eras are unrelated: when the store is restored from an older
    copy, it gives out the offsets of lost records again.

    Parameters
    ----------
    offset : int
    era : int
        Number of times that the store was restored, as the store counts them.
    """

    offset: int
    era: int = 0


@attrs.frozen(kw_only=True)
class Confirmation:
    """Versions of the configuration and the directory at another gateway.

    Parameters
    ----------
    configuration : StorePosition or None
        Position up to which it has read the configuration; None if it didn't say, as a
        build that knows no eras.
    configuration_s : float
        Time at which this configuration was last known to be current: the time of the
        query minus its reported age.
    directory_digest : int
    directory_era : int or None
        Era in which it has read the directory; None if it didn't say.
    directory_s : float
        The same time for the directory.
    heard_s : float
        Time of receipt of the answer.
    """

    configuration: StorePosition | None
    configuration_s: float
    directory_digest: int
    directory_era: int | None
    directory_s: float
    heard_s: float


@attrs.define(eq=False, repr=False)
class Confirmations:
    """The last freshness answer of another gateway.

    Examples
    --------
    >>> known = Confirmations()
    >>> known.record(Confirmation(configuration=StorePosition(7, era=2),
    ...     configuration_s=1.0, directory_digest=5, directory_era=2, directory_s=1.0,
    ...     heard_s=1.2))
    >>> known.configuration_s(StorePosition(7, era=2), now_s=1.3)
    1.0
    >>> known.configuration_s(StorePosition(6, era=2), now_s=1.3) is None
    True
    >>> known.configuration_s(StorePosition(7, era=1), now_s=1.3) is None
    True
    >>> known.directory_s(own_digest=5, own_era=2, now_s=9.0) is None
    True
    """

    _last: Confirmation | None = None

    def record(self, confirmation: Confirmation) -> None:
        """Replace the last answer by a newer one."""
        self._last = confirmation

    def directory_updated(self, digest_before: int, digest_after: int) -> None:
        """Carry a confirmation over an update of the directory.

        The time of the confirmation stays: an update may have been long on its way.
        """
        if self._last is not None and self._last.directory_digest == digest_before:
            self._last = attrs.evolve(self._last, directory_digest=digest_after)

    def configuration_s(self, own: StorePosition, now_s: float) -> float | None:
        """Return the confirmed time of the local configuration, None if unconfirmed."""
        last = self._usable(now_s)
        if last is None or last.configuration is None:
            return None
        theirs = last.configuration
        if theirs.era != own.era or theirs.offset > own.offset:
            return None
        return last.configuration_s if _is_fresh(last.configuration_s, now_s) else None

    def directory_s(
        self, own_digest: int, own_era: int | None, now_s: float
    ) -> float | None:
        """Return the confirmed time of the local directory, None if unconfirmed."""
        last = self._usable(now_s)
        if last is None or last.directory_digest != own_digest:
            return None
        if last.directory_era is None or last.directory_era != own_era:
            return None
        return last.directory_s if _is_fresh(last.directory_s, now_s) else None

    def _usable(self, now_s: float) -> Confirmation | None:
        if self._last is None or now_s - self._last.heard_s > CONFIRMATION_TTL_S:
            return None
        return self._last


def _is_fresh(known_s: float, now_s: float) -> bool:
    return now_s - known_s <= MAX_CONFIRMED_AGE_S
