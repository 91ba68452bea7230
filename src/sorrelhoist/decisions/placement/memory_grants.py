"""Grants of an engine's memory to prompts that need a large part of it.

The load pattern is several long prompts at the same time at different gateways, with
reports that are late or lost: each gateway finds the same engine empty, and together
they place more there than it can hold. What a gateway knows of the others bounds
nothing, so one gateway, chosen by rendezvous hashing, grants the memory of an engine.
It counts what it has granted until that is in the reports of the others.
"""

from collections.abc import Iterable

import attrs

from ..rendezvous import first
from ..routes import EngineCosts
from .demand import MAX_KV_UTILISATION

GRANTED_SHARE = 1 / 16
"""Fraction of an engine's memory from which a prompt needs a grant. A full batch of
smaller ones takes less than half."""

UNGRANTED_SHARE = 1 / 8
"""Fraction of the memory that isn't granted: for prompts without a grant that gateways
place before they know of those with one."""

LEASE_S = 2.0
"""Time for which a grant is counted: as long as a report of its holder is valid, which
has the placement by then."""


@attrs.frozen(kw_only=True)
class MemoryAsk:
    """A gateway's ask for memory of one engine.

    Parameters
    ----------
    node_id : str
    ask_id : int
    address : str
        Address of the engine.
    tokens : int
    limit_tokens : int
        What all requests may hold there together.
    """

    node_id: str
    ask_id: int
    address: str
    tokens: int
    limit_tokens: int


def granter(address: str, node_ids: Iterable[str]) -> str | None:
    """Choose the gateway that grants the memory of an engine.

    Parameters
    ----------
    address : str
    node_ids : iterable of str
        Ids of the live gateways that grant memory.

    Returns
    -------
    str or None
        Equal in all processes that know the same gateways; None without any.
    """
    return first(f"memory {address}", node_ids)


def needs_grant(tokens: int, costs: EngineCosts) -> bool:
    """Return whether a request may hold memory only by a grant.

    Examples
    --------
    >>> costs = EngineCosts(max_running=6, kv_capacity_tokens=405_000,
    ...     tokens_per_event=38, step_ms=1.31, prefill_tokens_per_s=154_000.0,
    ...     pair_ms_per_million=0.162)
    >>> needs_grant(5_200, costs), needs_grant(45_800, costs)
    (False, True)
    """
    return tokens > costs.kv_capacity_tokens * GRANTED_SHARE


def usable_tokens(tokens: int, costs: EngineCosts) -> int:
    """Return what may be held on an engine in all, with a request of some tokens.

    A request that leaves less than the share for prompts without a grant gets an engine
    of its own.

    Examples
    --------
    >>> costs = EngineCosts(max_running=6, kv_capacity_tokens=400_000,
    ...     tokens_per_event=38, step_ms=1.31, prefill_tokens_per_s=154_000.0,
    ...     pair_ms_per_million=0.162)
    >>> [usable_tokens(tokens, costs) for tokens in (5_000, 260_000, 380_000)]
    [388000, 338000, 380000]
    """
    share = MAX_KV_UTILISATION
    if needs_grant(tokens, costs):
        share -= UNGRANTED_SHARE
    return max(int(costs.kv_capacity_tokens * share), tokens)


@attrs.define(eq=False, repr=False)
class MemoryLedger:
    """Grants of the engines for which this gateway was chosen.

    Examples
    --------
    >>> ledger = MemoryLedger()
    >>> ask = MemoryAsk(node_id="g", ask_id=1, address="a", tokens=260_000,
    ...     limit_tokens=340_000)
    >>> ledger.try_grant(ask, held_tokens=30_000, now_s=0.0)
    True
    >>> ledger.try_grant(attrs.evolve(ask, ask_id=2), held_tokens=30_000, now_s=0.1)
    False
    >>> ledger.release("g", 1, "a")
    >>> ledger.try_grant(attrs.evolve(ask, ask_id=3), held_tokens=30_000, now_s=0.2)
    True
    """

    _leases: dict[str, dict[tuple[str, int], tuple[int, float]]] = attrs.field(
        factory=dict
    )

    def try_grant(self, ask: MemoryAsk, held_tokens: int, now_s: float) -> bool:
        """Grant memory if it is free; a repeated ask gets the same answer.

        Parameters
        ----------
        ask : MemoryAsk
        held_tokens : int
            What all gateways are known to hold on the engine.
        now_s : float
        """
        leases = {
            key: (tokens, expires_s)
            for key, (tokens, expires_s) in self._leases.get(ask.address, {}).items()
            if now_s < expires_s
        }
        key = (ask.node_id, ask.ask_id)
        leased_tokens = sum(tokens for tokens, _ in leases.values())
        is_granted = key in leases or (
            held_tokens + leased_tokens + ask.tokens <= ask.limit_tokens
        )
        if is_granted:
            leases[key] = (ask.tokens, now_s + LEASE_S)
        self._leases[ask.address] = leases
        if not leases:
            del self._leases[ask.address]
        return is_granted

    def release(self, node_id: str, ask_id: int, address: str) -> None:
        """Free what was granted before its lease ends."""
        self._leases.get(address, {}).pop((node_id, ask_id), None)
