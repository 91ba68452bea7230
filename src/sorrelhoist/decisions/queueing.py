"""Bounded admission queue with weighted fair queueing between workspaces.

Workspaces share the endpoint by start-time fair queueing (SFQ) on tokens: the
workspace with the smallest start tag is served first, and its tag then advances by
tokens divided by weight. Within a workspace, the earliest deadline goes first (EDF).
"""

import bisect
from collections.abc import Callable, Iterator

import attrs

from .grants import AdmissionRequest, Lane

MIN_WEIGHT = 1e-3


@attrs.frozen
class QueuedRequest:
    """A request in the queue, with the time when it was enqueued."""

    request: AdmissionRequest
    lane: Lane
    enqueued_s: float


@attrs.define
class _Flow:
    workspace: str
    weight: float = 1.0
    start_tag: float = 0.0
    entries: list[tuple[float, int, QueuedRequest]] = attrs.field(factory=list)

    @property
    def load(self) -> float:
        return len(self.entries) / self.weight


@attrs.define
class FairQueue:
    """Queue of one lane in weighted fair order.

    Examples
    --------
    >>> queue = FairQueue()
    >>> request = AdmissionRequest(request_id="r", workspace="w", entry_id="e",
    ...                prompt_tokens=8, output_tokens=2, deadline_s=9.0)
    >>> queue.push(QueuedRequest(request, Lane.SHORT, 0.0))
    >>> queue.pop().request.request_id
    'r'
    """

    _flows: dict[str, _Flow] = attrs.field(factory=dict)
    _virtual_time: float = 0.0
    _pushed: int = 0

    def __len__(self) -> int:
        return sum(len(flow.entries) for flow in self._flows.values())

    def __iter__(self) -> Iterator[QueuedRequest]:
        for flow in self._flows.values():
            for _, _, queued in flow.entries:
                yield queued

    def push(self, queued: QueuedRequest) -> None:
        """Add a request to the flow of its workspace."""
        flow = self._flow(queued.request)
        if not flow.entries:
            flow.start_tag = max(flow.start_tag, self._virtual_time)
        self._pushed += 1
        item = (queued.request.deadline_s, self._pushed, queued)
        bisect.insort(flow.entries, item)

    def peek(self) -> QueuedRequest | None:
        """Return the next request, or None if the queue is empty."""
        flow = self._next_flow()
        return None if flow is None else flow.entries[0][2]

    def pop(self) -> QueuedRequest:
        """Remove and return the next request.

        Raises
        ------
        IndexError
            If the queue is empty.
        """
        flow = self._next_flow()
        if flow is None:
            raise IndexError("The queue is empty.")
        _, _, queued = flow.entries.pop(0)
        self._serve(flow, queued.request)
        return queued

    def charge(self, request: AdmissionRequest) -> None:
        """Charge a workspace for a request that was granted without queueing."""
        flow = self._flow(request)
        flow.start_tag = max(flow.start_tag, self._virtual_time)
        self._serve(flow, request)

    def remove_where(
        self, predicate: Callable[[QueuedRequest], bool]
    ) -> list[QueuedRequest]:
        """Remove and return all requests for which `predicate` is true."""
        taken = []
        for flow in self._flows.values():
            kept = []
            for item in flow.entries:
                if predicate(item[2]):
                    taken.append(item[2])
                else:
                    kept.append(item)
            flow.entries = kept
        return taken

    def _flow(self, request: AdmissionRequest) -> _Flow:
        flow = self._flows.setdefault(request.workspace, _Flow(request.workspace))
        flow.weight = max(request.weight, MIN_WEIGHT)
        return flow

    def _next_flow(self) -> _Flow | None:
        backlogged = [flow for flow in self._flows.values() if flow.entries]
        return min(backlogged, key=lambda flow: flow.start_tag, default=None)

    def _serve(self, flow: _Flow, request: AdmissionRequest) -> None:
        self._virtual_time = max(self._virtual_time, flow.start_tag)
        flow.start_tag += max(request.kv_tokens, 1) / flow.weight
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
    """Queue of an endpoint, with a fair queue for each lane.

    Parameters
    ----------
    max_requests : int
        Largest number of queued requests over all lanes.
    """

    max_requests: int
    lanes: dict[Lane, FairQueue] = attrs.field(
        factory=lambda: {lane: FairQueue() for lane in Lane}
    )
    _by_request: dict[str, QueuedRequest] = attrs.field(factory=dict)

    def __len__(self) -> int:
        return len(self._by_request)

    def __contains__(self, request_id: object) -> bool:
        return request_id in self._by_request

    @property
    def full(self) -> bool:
        """True if `max_requests` is reached."""
        return len(self) >= self.max_requests

    def push(self, queued: QueuedRequest) -> None:
        """Add a request; the caller makes sure that the queue is not full."""
        self.lanes[queued.lane].push(queued)
        self._by_request[queued.request.request_id] = queued

    def pop(self, lane: Lane) -> QueuedRequest:
        """Remove and return the next request of a lane."""
        queued = self.lanes[lane].pop()
        del self._by_request[queued.request.request_id]
        return queued

    def remove_where(
        self, predicate: Callable[[QueuedRequest], bool]
    ) -> list[QueuedRequest]:
        """Remove and return all requests for which `predicate` is true."""
        taken = []
        for lane in self.lanes.values():
            taken += lane.remove_where(predicate)
        for queued in taken:
            del self._by_request[queued.request.request_id]
        return taken

    def evict_for(self, request: AdmissionRequest) -> QueuedRequest | None:
        """Evict a request of the workspace with the largest share of the queue.

        The share is the number of queued requests divided by the weight.

        Parameters
        ----------
        request : AdmissionRequest
            The new request, which finds the queue full.

        Returns
        -------
        QueuedRequest or None
            The evicted request, which has the latest deadline of its workspace. None,
            without an eviction, if the workspace of the new request would itself have
            the largest share.
        """
        held: dict[str, float] = {}
        for queued in self._by_request.values():
            share = 1 / max(queued.request.weight, MIN_WEIGHT)
            held[queued.request.workspace] = (
                held.get(queued.request.workspace, 0) + share
            )
        if not held:
            return None
        largest = max(held, key=lambda workspace: held[workspace])
        own = held.get(request.workspace, 0) + 1 / max(request.weight, MIN_WEIGHT)
        if largest == request.workspace or held[largest] <= own:
            return None
        candidates = [
            queued
            for queued in self._by_request.values()
            if queued.request.workspace == largest
        ]
        last = max(candidates, key=lambda queued: queued.request.deadline_s)
        self.remove_where(lambda queued: queued is last)
        return last

    def tokens_ahead(self, lane: Lane) -> int:
        """Return the queued prefill tokens ahead of a new request of a lane."""
        queues = self.lanes.values() if lane is Lane.LONG else [self.lanes[lane]]
        return sum(
            queued.request.prefill_tokens for queue in queues for queued in queue
        )

    def dump(self) -> dict[str, object]:
        """Return the queue length of each lane."""
        return {lane.value: len(queue) for lane, queue in self.lanes.items()}
