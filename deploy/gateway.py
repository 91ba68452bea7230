"""Start a gateway from a checkout, with the dependencies that the build installed.

Neither needs what `site` adds to the path, so the interpreter may start with ``-S``.
"""

import sys
from pathlib import Path

CHECKOUT = Path(__file__).resolve().parents[1]
sys.path[:0] = [str(CHECKOUT / "src"), str(CHECKOUT / "target" / "deps")]

if len(sys.argv) > 1:
    from sorrelhoist.platform.main import gateway

    gateway()
else:
    # Without arguments the parser isn't imported: callers wait for the start.
    from sorrelhoist.platform.start import start

    start()
