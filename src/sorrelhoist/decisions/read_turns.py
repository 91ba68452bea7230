"""How long readers keep the event loop while their connections always have data.

The load pattern is a faulty peer that sends faster than its bytes are processed: a
read that finds data completes at once, so that its reader never waits, and neither
timers nor other connections have their turn.
"""

import weakref

import attrs

TURN_S = 0.005
"""Time for which all such readers together keep the event loop, and for which each
rests after its share. A gateway renews its contact with the store and answers probes
within tenths of a second, and each takes tens of turns of the loop."""


@attrs.define(eq=False)
class ReadTurns:
    """Shares the time of one event loop between the readers that always have data.

    Examples
    --------
    >>> turns = ReadTurns()
    >>> first, second = turns.reader(), turns.reader()
    >>> first.is_over(now_s=1.0), first.is_over(now_s=1.006)
    (False, True)
    >>> first.rest_s(), second.rest_s()
    (0.005, 0.005)
    >>> turns.share_s
    0.0025
    >>> first.waited()
    >>> turns.share_s
    0.005
    """

    _busy: weakref.WeakSet["ReadTurn"] = attrs.field(
        factory=weakref.WeakSet, init=False
    )

    @property
    def share_s(self) -> float:
        """Time for which one reader may go on without a rest."""
        return TURN_S / max(1, len(self._busy))

    def reader(self) -> "ReadTurn":
        """Return the turns of a further reader."""
        return ReadTurn(self)

    def mark(self, reader: "ReadTurn", is_busy: bool) -> None:
        """Record whether a reader has used its whole share."""
        if is_busy:
            self._busy.add(reader)
        else:
            self._busy.discard(reader)


@attrs.define(eq=False)
class ReadTurn:
    """Time for which one reader has kept the event loop.

    Parameters
    ----------
    turns : ReadTurns
    """

    turns: ReadTurns
    _began_s: float | None = attrs.field(default=None, init=False)

    def is_over(self, now_s: float) -> bool:
        """Return whether others must have their turn before the reader goes on."""
        if self._began_s is None:
            self._began_s = now_s
        return now_s - self._began_s >= self.turns.share_s

    def rest_s(self) -> float:
        """End the turn; return the time in seconds until the next one."""
        self._began_s = None
        self.turns.mark(self, is_busy=True)
        return TURN_S

    def waited(self) -> None:
        """Record that there was no data, so that others have their turn."""
        self._began_s = None
        self.turns.mark(self, is_busy=False)


loop_turns = ReadTurns()
"""Those of this process, which has one event loop."""
