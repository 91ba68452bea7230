"""An event loop whose clock skips to the next timer instead of waiting."""

import asyncio


class VirtualLoop(asyncio.SelectorEventLoop):
    def __init__(self):
        super().__init__()
        self._now_s = 1000.0
        self._real_select = self._selector.select
        self._selector.select = self._select_without_waiting

    def time(self):
        return self._now_s

    def _select_without_waiting(self, timeout):
        events = self._real_select(0)
        if not events:
            assert timeout is not None, (
                "deadlock: no event is ready and no timer is pending"
            )
            self._now_s += timeout
        return events


def run_virtual(main):
    """Run a coroutine on a `VirtualLoop`: time-outs and sleeps take no real time."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(main)
