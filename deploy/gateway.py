"""Start a gateway from a checkout, with the dependencies that the build installed."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "src"))

from sorrelhoist.platform.main import gateway

gateway()
