"""An asyncio loop whose time jumps to the next timer instead of passing."""

import asyncio
import selectors


class _JumpingSelector(selectors.SelectSelector):
    def __init__(self) -> None:
        super().__init__()
        self.now_s = 0.0

    def select(self, timeout=None):
        if timeout is None:
            raise RuntimeError("Nothing is left to wait for.")
        self.now_s += max(timeout, 0.0)
        return super().select(0)


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """For fakes only: real sockets would not be waited for."""

    def __init__(self) -> None:
        self._jumping = _JumpingSelector()
        super().__init__(self._jumping)

    def time(self) -> float:
        return self._jumping.now_s
