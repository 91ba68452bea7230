"""A bounded waiting queue, fair between workspaces.

Workspaces share by start-time fair queueing on tokens: the workspace whose next
request has the smallest start tag goes first, and its tag then moves on by
tokens over weight. Inside a workspace the earliest deadline goes first.
"""

import bisect
from collections.abc import Callable, Iterator

import attrs

from .grants import GrantAsk, Lane

MIN_WEIGHT = 1e-3


@attrs.frozen
class Waiting:
    """A request in the queue."""

    ask: GrantAsk
    lane: Lane
    enqueued_s: float


@attrs.define
class _Flow:
    workspace: str
    weight: float = 1.0
    start_tag: float = 0.0
    entries: list[tuple[float, int, Waiting]] = attrs.field(factory=list)

    @property
    def load(self) -> float:
        return len(self.entries) / self.weight


@attrs.define
class FairQueue:
    """Requests of one lane in their fair order.

    Examples
    --------
    >>> queue = FairQueue()
    >>> ask = GrantAsk(request_id="r", workspace="w", entry_id="e",
    ...                prompt_tokens=8, output_tokens=2, deadline_s=9.0)
    >>> queue.push(Waiting(ask, Lane.SHORT, 0.0))
    >>> queue.pop().ask.request_id
    'r'
    """

    _flows: dict[str, _Flow] = attrs.field(factory=dict)
    _virtual_time: float = 0.0
    _pushed: int = 0

    def __len__(self) -> int:
        return sum(len(flow.entries) for flow in self._flows.values())

    def __iter__(self) -> Iterator[Waiting]:
        for flow in self._flows.values():
            for _, _, waiting in flow.entries:
                yield waiting

    def push(self, waiting: Waiting) -> None:
        """Add a request."""
        flow = self._flow(waiting.ask)
        if not flow.entries:
            flow.start_tag = max(flow.start_tag, self._virtual_time)
        self._pushed += 1
        item = (waiting.ask.deadline_s, self._pushed, waiting)
        bisect.insort(flow.entries, item)

    def peek(self) -> Waiting | None:
        """Give the request that is next, if there is one."""
        flow = self._next_flow()
        return None if flow is None else flow.entries[0][2]

    def pop(self) -> Waiting:
        """Take out the request that is next.

        Raises
        ------
        IndexError
            If the queue is empty.
        """
        flow = self._next_flow()
        if flow is None:
            raise IndexError("The queue is empty.")
        _, _, waiting = flow.entries.pop(0)
        self._serve(flow, waiting.ask)
        return waiting

    def charge(self, ask: GrantAsk) -> None:
        """Count a request that was granted without waiting."""
        flow = self._flow(ask)
        flow.start_tag = max(flow.start_tag, self._virtual_time)
        self._serve(flow, ask)

    def take(self, unwanted: Callable[[Waiting], bool]) -> list[Waiting]:
        """Take out all requests for which `unwanted` is true."""
        taken = []
        for flow in self._flows.values():
            kept = []
            for item in flow.entries:
                if unwanted(item[2]):
                    taken.append(item[2])
                else:
                    kept.append(item)
            flow.entries = kept
        return taken

    def _flow(self, ask: GrantAsk) -> _Flow:
        flow = self._flows.setdefault(ask.workspace, _Flow(ask.workspace))
        flow.weight = max(ask.weight, MIN_WEIGHT)
        return flow

    def _next_flow(self) -> _Flow | None:
        waiting = [flow for flow in self._flows.values() if flow.entries]
        return min(waiting, key=lambda flow: flow.start_tag, default=None)

    def _serve(self, flow: _Flow, ask: GrantAsk) -> None:
        self._virtual_time = max(self._virtual_time, flow.start_tag)
        flow.start_tag += max(ask.kv_tokens, 1) / flow.weight
        self._forget_idle()

    def _forget_idle(self) -> None:
        idle = [
            name
            for name, flow in self._flows.items()
            if not flow.entries and flow.start_tag <= self._virtual_time
        ]
        for name in idle:
            del self._flows[name]


@attrs.define
class WaitingQueue:
    """The waiting requests of an endpoint, a fair queue for each lane.

    Parameters
    ----------
    max_requests : int
        Bound over all lanes.
    """

    max_requests: int
    lanes: dict[Lane, FairQueue] = attrs.field(
        factory=lambda: {lane: FairQueue() for lane in Lane}
    )
    _by_request: dict[str, Waiting] = attrs.field(factory=dict)

    def __len__(self) -> int:
        return len(self._by_request)

    def __contains__(self, request_id: object) -> bool:
        return request_id in self._by_request

    @property
    def full(self) -> bool:
        """True when the bound is reached."""
        return len(self) >= self.max_requests

    def push(self, waiting: Waiting) -> None:
        """Add a request; the caller has made room before."""
        self.lanes[waiting.lane].push(waiting)
        self._by_request[waiting.ask.request_id] = waiting

    def pop(self, lane: Lane) -> Waiting:
        """Take out the next request of a lane."""
        waiting = self.lanes[lane].pop()
        del self._by_request[waiting.ask.request_id]
        return waiting

    def take(self, unwanted: Callable[[Waiting], bool]) -> list[Waiting]:
        """Take out all requests for which `unwanted` is true."""
        taken = []
        for lane in self.lanes.values():
            taken += lane.take(unwanted)
        for waiting in taken:
            del self._by_request[waiting.ask.request_id]
        return taken

    def displace_for(self, ask: GrantAsk) -> Waiting | None:
        """Take out a request of the workspace that fills the queue most.

        Parameters
        ----------
        ask : GrantAsk
            The newcomer, for whom there is no room.

        Returns
        -------
        Waiting or None
            The request taken out, the one with the latest deadline; None if the
            newcomer's workspace would then hold the larger share.
        """
        held: dict[str, float] = {}
        for waiting in self._by_request.values():
            share = 1 / max(waiting.ask.weight, MIN_WEIGHT)
            held[waiting.ask.workspace] = held.get(waiting.ask.workspace, 0) + share
        if not held:
            return None
        largest = max(held, key=lambda workspace: held[workspace])
        own = held.get(ask.workspace, 0) + 1 / max(ask.weight, MIN_WEIGHT)
        if largest == ask.workspace or held[largest] <= own:
            return None
        candidates = [
            waiting
            for waiting in self._by_request.values()
            if waiting.ask.workspace == largest
        ]
        last = max(candidates, key=lambda waiting: waiting.ask.deadline_s)
        self.take(lambda waiting: waiting is last)
        return last

    def ahead_tokens(self, lane: Lane) -> int:
        """Give the prefill that waits before a new request of a lane."""
        queues = self.lanes.values() if lane is Lane.LONG else [self.lanes[lane]]
        return sum(waiting.ask.prefill_tokens for queue in queues for waiting in queue)

    def dump(self) -> dict[str, object]:
        """Give the state as plain data."""
        return {lane.value: len(queue) for lane, queue in self.lanes.items()}
