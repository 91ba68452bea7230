"""Work of this gateway that waits for placement or is being prefilled."""

from collections.abc import Callable

import attrs

from .fleet_demand import ServiceLoad, WorkspaceLoad


@attrs.frozen(kw_only=True)
class WorkItem:
    """One request, as it counts in the demand of its service and workspace.

    Parameters
    ----------
    service : str
    workspace : int
        Hash of its workspace; 0 without one.
    read_ms : float
        Prefill time on a single engine; 0 for a request without a prompt.
    due_s : float
    """

    service: str
    workspace: int = 0
    read_ms: float = 0.0
    due_s: float = 0.0


class OwnWork:
    """Requests of this gateway that wait for placement, and prompts not yet prefilled.

    Examples
    --------
    >>> work = OwnWork()
    >>> work.waits("r1", WorkItem(service="llm", workspace=7, read_ms=50.0))
    >>> work.loads(lambda request_id: True)["llm"].waiting_read_ms
    50.0
    >>> work.placed("r1", WorkItem(service="llm", workspace=7, read_ms=50.0))
    >>> work.loads(lambda request_id: True)["llm"].workspaces[7].read_ms
    50.0
    >>> work.loads(lambda request_id: False)
    {}
    """

    def __init__(self) -> None:
        self._waiting: dict[str, WorkItem] = {}
        self._placed: dict[str, WorkItem] = {}
        self.version = 0

    def waits(self, request_id: str, item: WorkItem) -> None:
        """Record that a request waits for placement."""
        self._waiting[request_id] = item
        self.version += 1

    def stops_waiting(self, request_id: str) -> None:
        """Record that a request waits no longer, whether or not it was placed."""
        if self._waiting.pop(request_id, None) is not None:
            self.version += 1

    def placed(self, request_id: str, item: WorkItem) -> None:
        """Record a placement."""
        self.stops_waiting(request_id)
        self._placed[request_id] = item

    def ended(self, request_id: str) -> None:
        """Record the end of a placement."""
        self._placed.pop(request_id, None)

    def waiting(self, service: str) -> list[WorkItem]:
        """Return the requests of a service that wait for placement."""
        return [item for item in self._waiting.values() if item.service == service]

    def loads(self, is_prefilling: Callable[[str], bool]) -> dict[str, ServiceLoad]:
        """Return the load by service; drop the prompts whose prefill is complete."""
        self._placed = {
            request_id: item
            for request_id, item in self._placed.items()
            if is_prefilling(request_id)
        }
        loads: dict[str, ServiceLoad] = {}
        for items, waiting in ((self._waiting, 1), (self._placed, 0)):
            for item in items.values():
                load = WorkspaceLoad(read_ms=item.read_ms, waiting=waiting)
                loads[item.service] = loads.get(
                    item.service, ServiceLoad()
                ) + ServiceLoad(
                    waiting=waiting,
                    waiting_read_ms=item.read_ms * waiting,
                    workspaces={item.workspace: load},
                )
        return loads
