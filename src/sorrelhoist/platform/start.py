"""Start of a gateway on the platform, in the order in which its parts are needed.

Nothing is imported at the top that takes long, so that callers can connect soon after a
start. They wait in the accept queue until the rest is imported.
"""

import sys
import time
from pathlib import Path
from typing import TYPE_CHECKING

from ..node.signal_inbox import SignalInbox
from .listen import listening_early

if TYPE_CHECKING:
    from .settings import PlatformSettings

EXIT_BAD_SETTINGS = 2

SETTINGS_WAIT_S = 2.0
"""Time for which a start waits for a settings file that can be used."""

SETTINGS_POLL_S = 0.05


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
        settings = _settings_when_written(path, signals)
        if settings is None:
            return
        from .process import run

        run(settings, sockets, signals)


def _settings_when_written(
    path: Path | None, signals: SignalInbox
) -> "PlatformSettings | None":
    """Return the settings; wait for a short time while the file can't be used.

    The platform may be about to replace it.

    Returns
    -------
    PlatformSettings or None
        None if the process is to end before there are any.
    """
    from ..exceptions import SettingsError
    from .settings import load_settings

    end_s = time.monotonic() + SETTINGS_WAIT_S
    while time.monotonic() < end_s:
        try:
            return load_settings(path)
        except SettingsError:
            if signals.is_stop_received:
                return None
            time.sleep(SETTINGS_POLL_S)
    return check_settings(path)


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
