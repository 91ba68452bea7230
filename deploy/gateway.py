"""Start a gateway from a checkout, with the dependencies that the build installed.

Neither needs what `site` adds to the path, so the interpreter may start with ``-S``.
"""

import sys
from contextlib import nullcontext
from pathlib import Path

CHECKOUT = Path(__file__).resolve().parents[1]
sys.path[:0] = [str(CHECKOUT / "src"), str(CHECKOUT / "target" / "deps")]

from sorrelhoist.platform.listen import listening_early  # noqa: E402

# Arguments may name another settings file, or ask only for a check.
has_arguments = len(sys.argv) > 1
with nullcontext() if has_arguments else listening_early() as sockets:
    from sorrelhoist.platform.main import gateway

    gateway(obj=sockets)
