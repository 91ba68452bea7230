"""Start of a gateway, until it imports what it needs to run."""

import os
import subprocess
import sys


def test_nothing_but_the_settings_is_imported_before_callers_can_connect():
    script = (
        "import sys, sorrelhoist.platform.start;"
        "print(*{name.partition('.')[0] for name in sys.modules})"
    )
    path = os.pathsep.join(filter(None, sys.path))
    result = subprocess.run(
        [sys.executable, "-S", "-c", script],
        env=os.environ | {"PYTHONPATH": path},
        capture_output=True,
        text=True,
        check=True,
    )
    assert not {"attr", "click", "tornado", "asyncio"} & set(result.stdout.split())
