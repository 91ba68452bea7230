"""LRU prefix cache of the stand-in engine, with delayed and lossy cache events."""

from collections import OrderedDict, deque
from random import Random

import attrs
import xxhash

BLOCK_TOKENS = 256
BLOCK_BYTES = BLOCK_TOKENS * 4
MAX_KEPT_EVENTS = 10_000


def block_hashes(prompt: str) -> tuple[int, ...]:
    """Hash the complete blocks of a prompt; each hash covers the whole prefix.

    Examples
    --------
    >>> len(block_hashes("a" * 2100))
    2
    """
    data = prompt.encode()
    digest = xxhash.xxh64()
    hashes = []
    for start in range(0, len(data) - BLOCK_BYTES + 1, BLOCK_BYTES):
        digest.update(data[start : start + BLOCK_BYTES])
        hashes.append(digest.intdigest())
    return tuple(hashes)


@attrs.frozen
class CacheEvent:
    """A block was stored in the cache or evicted from it."""

    sequence: int
    block_hash: int
    stored: bool
    time_s: float


@attrs.define
class PrefixCache:
    """Cache of prompt blocks with least-recently-used eviction.

    Parameters
    ----------
    capacity_tokens : int
        Capacity of the cache.
    event_lag_s : float
        Delay until an event is readable.
    event_loss : float
        Share of events that are lost, from 0 to 1.
    random : random.Random
        Random source that picks the lost events.
    """

    capacity_tokens: int
    event_lag_s: float
    event_loss: float
    random: Random
    _blocks: "OrderedDict[int, None]" = attrs.field(factory=OrderedDict)
    _events: "deque[CacheEvent]" = attrs.field(
        factory=lambda: deque(maxlen=MAX_KEPT_EVENTS)
    )
    _next_sequence: int = 1

    def hit_tokens(self, hashes: tuple[int, ...]) -> int:
        """Return the number of cached tokens of a prompt's prefix."""
        hits = 0
        for block in hashes:
            if block not in self._blocks:
                break
            self._blocks.move_to_end(block)
            hits += 1
        return hits * BLOCK_TOKENS

    def store(self, hashes: tuple[int, ...], now_s: float) -> None:
        """Store the leading blocks of a prompt that fit, evicting older blocks."""
        for block in hashes[: self.capacity_tokens // BLOCK_TOKENS]:
            if block not in self._blocks:
                self._blocks[block] = None
                self._record(block, True, now_s)
            self._blocks.move_to_end(block)
        while len(self._blocks) * BLOCK_TOKENS > self.capacity_tokens:
            dropped, _ = self._blocks.popitem(last=False)
            self._record(dropped, False, now_s)

    def events(self, from_sequence: int, now_s: float) -> list[CacheEvent]:
        """Return the events that are readable by now."""
        return [
            event
            for event in self._events
            if event.sequence >= from_sequence
            and event.time_s + self.event_lag_s <= now_s
        ]

    def _record(self, block: int, stored: bool, now_s: float) -> None:
        sequence = self._next_sequence
        self._next_sequence += 1
        if self.random.random() >= self.event_loss:
            self._events.append(CacheEvent(sequence, block, stored, now_s))
