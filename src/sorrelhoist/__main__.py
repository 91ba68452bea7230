"""Run the command line: ``sorrelhoist`` or ``python -m sorrelhoist``."""

import sys

from .node.signal_inbox import SignalInbox

DRAINED_COMMANDS = ("agent", "entry", "gateway")
"""Commands of processes that a stop signal drains, also while they start."""


def main() -> None:
    """Run the command that the arguments name."""
    signals = SignalInbox()
    if sys.argv[1:2] and sys.argv[1] in DRAINED_COMMANDS:
        with signals.recording():
            _run(signals)
    else:
        _run(signals)


def _run(signals: SignalInbox) -> None:
    # Its imports take tenths of a second on a busy host.
    from .cli import main

    main(obj=signals)


if __name__ == "__main__":
    main()
