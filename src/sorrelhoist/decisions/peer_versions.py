"""Versions of the configuration that other gateways have, as a bound on our own.

Guards against the failure pattern "the store comes back from an older copy": what it
returns then is an older configuration, in which a revoked API key may be valid. A
gateway that has just started has nothing newer to compare it with, but its peers have.
"""

import attrs

VERSION_TTL_S = 2.0
"""Age at which a peer's version is ignored: several report intervals."""


@attrs.frozen
class _PeerVersion:
    version: int
    learned_s: float
    heard_s: float


class PeerVersions:
    """The newest version of the configuration that a live peer has.

    Examples
    --------
    >>> versions = PeerVersions()
    >>> versions.heard("gateway-2", 7, now_s=1.0)
    >>> versions.heard("gateway-2", 7, now_s=1.5)
    >>> versions.is_outdated(own_version=6, read_s=1.2, now_s=1.6)
    True
    >>> versions.is_outdated(own_version=7, read_s=1.2, now_s=1.6)
    False

    A read that was sent before the peer had that version proves nothing:

    >>> versions.is_outdated(own_version=6, read_s=0.9, now_s=1.6)
    False
    """

    def __init__(self) -> None:
        self._peers: dict[str, _PeerVersion] = {}

    def heard(self, node_id: str, version: int, now_s: float) -> None:
        """Record the version that a peer reported."""
        known = self._peers.get(node_id)
        is_same = known is not None and known.version == version
        learned_s = known.learned_s if known is not None and is_same else now_s
        self._peers[node_id] = _PeerVersion(version, learned_s, now_s)

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

    def _live(self, now_s: float) -> list[_PeerVersion]:
        self._peers = {
            node_id: peer
            for node_id, peer in self._peers.items()
            if now_s - peer.heard_s < VERSION_TTL_S
        }
        return list(self._peers.values())
