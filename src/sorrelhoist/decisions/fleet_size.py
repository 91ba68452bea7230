"""Number of gateways that share a bound.

A share of a bound must not grow because this process doesn't hear the others: they
go on using theirs. So a gateway counts from its first report, or entry in the list that
the store keeps, until the list is read long after its last one.
"""

import attrs

GONE_S = 150.0
"""Time without a report or a new entry after which a gateway counts as gone; entries
are renewed each minute."""


@attrs.define(eq=False, repr=False)
class FleetSize:
    """Counts the gateways, this one included.

    Parameters
    ----------
    node_id : str
        Id of this gateway.

    Examples
    --------
    >>> fleet = FleetSize("a")
    >>> fleet.seen("b", now_s=0.0)
    >>> fleet.gateways is None
    True
    >>> fleet.list_read(now_s=0.1)
    >>> fleet.gateways
    2
    >>> fleet.list_read(now_s=GONE_S)
    >>> fleet.gateways
    1
    """

    node_id: str
    _seen_s: dict[str, float] = attrs.field(factory=dict, init=False)
    _is_list_read: bool = attrs.field(default=False, init=False)

    def seen(self, node_id: str, now_s: float) -> None:
        """Record a report of a gateway, or its entry in the list."""
        if node_id != self.node_id:
            self._seen_s[node_id] = now_s

    def list_read(self, now_s: float) -> None:
        """Record that all new entries of the list were seen.

        Gateways are dropped only here: while the list can't be read, those that are not
        heard may be cut off.
        """
        self._is_list_read = True
        self._seen_s = {
            node_id: seen_s
            for node_id, seen_s in self._seen_s.items()
            if now_s - seen_s < GONE_S
        }

    @property
    def gateways(self) -> int | None:
        """Number of gateways; None until the list was read once."""
        return len(self._seen_s) + 1 if self._is_list_read else None
