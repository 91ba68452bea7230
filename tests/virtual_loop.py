"""An event loop whose clock skips to the next timer instead of waiting."""

import asyncio
import gc


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
    """Run a coroutine on a `VirtualLoop`: time-outs and sleeps take no real time.

    What a large fleet leaves is collected here. In a later test, which may run in real
    time, its collection would stop the event loop for seconds.
    """
    try:
        with asyncio.Runner(loop_factory=VirtualLoop) as runner:
            return runner.run(main)
    finally:
        gc.collect()
