"""Start of a gateway on the platform, in the order in which its parts are needed.

Nothing is imported at the top that takes long, so that callers can connect soon after a
start. They wait in the accept queue until the rest is imported.
"""

import sys
from pathlib import Path
from typing import TYPE_CHECKING

from ..node.signal_inbox import SignalInbox
from .listen import listening_early

if TYPE_CHECKING:
    from .settings import PlatformSettings

EXIT_BAD_SETTINGS = 2


def start(path: Path | None = None, signals: SignalInbox | None = None) -> None:
    """Run a gateway until it receives a stop signal.

    Parameters
    ----------
    path : Path or None
        Settings file; None for the one that the environment names.
    signals : SignalInbox or None
        Signals that were recorded since the process began.

    Raises
    ------
    SystemExit
        If the settings can't be used; the reason is printed.
    """
    signals = signals or SignalInbox()
    with signals.recording(), listening_early(path) as sockets:
        settings = check_settings(path)
        from .process import run

        run(settings, sockets, signals)


def check_settings(path: Path | None = None) -> "PlatformSettings":
    """Return the settings in a file.

    Raises
    ------
    SystemExit
        If they can't be used; the reason is printed.
    """
    from ..exceptions import SettingsError
    from .settings import load_settings

    try:
        return load_settings(path)
    except SettingsError as error:
        print(f"error: {error}", file=sys.stderr)
        raise SystemExit(EXIT_BAD_SETTINGS) from error
