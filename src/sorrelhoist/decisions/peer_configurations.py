"""Which configuration other gateways have, and how recently they confirmed it.

Guards against the failure pattern "the store comes back from an older copy": what it
returns then is an older configuration, in which a revoked API key may be valid. A
gateway that has just started has nothing newer to compare it with, but its peers have.

It also tells a gateway that has lost the store whether others have lost it too, and so
where and when a refused caller can be served.
"""

import enum

import attrs

PEER_TTL_S = 2.0
"""Age at which what a peer reported is ignored: several report intervals."""

NEVER_AGE_S = 1_000_000.0
"""Age from which a peer has had no contact since its start: it reports the largest age
that its message can carry."""


class PeerContact(enum.Enum):
    """Whether other gateways are in contact with the store."""

    FRESH = "fresh"
    LOST = "lost"
    UNKNOWN = "unknown"


@attrs.frozen
class _PeerConfiguration:
    version: int
    learned_s: float
    confirmed_s: float
    heard_s: float


class PeerConfigurations:
    """The configurations of live peers, as they report them.

    Examples
    --------
    >>> peers = PeerConfigurations()
    >>> peers.heard("gateway-2", 7, confirmed_s=0.8, now_s=1.0)
    >>> peers.heard("gateway-2", 7, confirmed_s=1.4, now_s=1.5)
    >>> peers.is_outdated(own_version=6, read_s=1.2, now_s=1.6)
    True
    >>> peers.is_outdated(own_version=7, read_s=1.2, now_s=1.6)
    False

    A read that was sent before the peer had that version proves nothing:

    >>> peers.is_outdated(own_version=6, read_s=0.9, now_s=1.6)
    False
    """

    def __init__(self) -> None:
        self._peers: dict[str, _PeerConfiguration] = {}

    def heard(
        self, node_id: str, version: int, confirmed_s: float, now_s: float
    ) -> None:
        """Record what a peer reported.

        Parameters
        ----------
        node_id : str
        version : int
        confirmed_s : float
            Time at which this was known to be the newest version in the store.
        now_s : float
        """
        known = self._peers.get(node_id)
        is_same = known is not None and known.version == version
        learned_s = known.learned_s if known is not None and is_same else now_s
        self._peers[node_id] = _PeerConfiguration(
            version, learned_s, confirmed_s, now_s
        )

    def contact(self, max_age_s: float, now_s: float) -> PeerContact:
        """Return whether a live peer confirmed its configuration recently.

        Parameters
        ----------
        max_age_s : float
            Age up to which a configuration may be used.
        now_s : float
        """
        live = self._live(now_s)
        if not live:
            return PeerContact.UNKNOWN
        if any(now_s - peer.confirmed_s < max_age_s for peer in live):
            return PeerContact.FRESH
        return PeerContact.LOST

    def outage(self, max_age_s: float, now_s: float) -> PeerContact:
        """Return `contact`, but unknown if no peer has had any contact since its start.

        When all gateways start at once, each has reports of others that are still to
        read the store: that is no outage.
        """
        found = self.contact(max_age_s, now_s)
        if found is PeerContact.LOST and all(
            now_s - peer.confirmed_s > NEVER_AGE_S for peer in self._live(now_s)
        ):
            return PeerContact.UNKNOWN
        return found

    def newest(self, now_s: float) -> int | None:
        """Return the newest version of a live peer; None if none is known."""
        live = self._live(now_s)
        return max((peer.version for peer in live), default=None)

    def is_newer_known(self, own_version: int, now_s: float) -> bool:
        """Return whether a live peer has a newer version."""
        return any(peer.version > own_version for peer in self._live(now_s))

    def is_outdated(self, own_version: int, read_s: float, now_s: float) -> bool:
        """Return whether a read of the store showed less than a peer had by then.

        Parameters
        ----------
        own_version : int
            Newest version known after the read.
        read_s : float
            Time at which the read was sent.
        now_s : float
        """
        return any(
            peer.version > own_version and peer.learned_s <= read_s
            for peer in self._live(now_s)
        )

    def _live(self, now_s: float) -> list[_PeerConfiguration]:
        self._peers = {
            node_id: peer
            for node_id, peer in self._peers.items()
            if now_s - peer.heard_s < PEER_TTL_S
        }
        return list(self._peers.values())
