"""The package builds into one executable file that starts no child process."""

import json
import os
import subprocess
import sys
from pathlib import Path

import psutil
import pytest

REPOSITORY = Path(__file__).parent.parent
BUILD_TIMEOUT_S = 600


@pytest.mark.process
def test_binary_runs_without_a_child_process(tmp_path):
    binary = tmp_path / "sorrelhoist"
    constraints = str(REPOSITORY / "constraints.txt")
    build = [sys.executable, "-m", "pex", str(REPOSITORY), "-c", "sorrelhoist"]
    subprocess.run(
        [*build, "--constraints", constraints, "-o", str(binary)],
        check=True,
        timeout=BUILD_TIMEOUT_S,
    )
    environment = os.environ | {"PEX_ROOT": str(tmp_path / "cache")}
    process = subprocess.Popen(
        [str(binary), "standin", "platform"],
        env=environment,
        stdout=subprocess.PIPE,
    )
    try:
        assert process.stdout is not None
        assert json.loads(process.stdout.readline())["listening"] > 0
        assert psutil.Process(process.pid).children(recursive=True) == []
    finally:
        process.terminate()
        assert process.wait(timeout=BUILD_TIMEOUT_S) == 0
