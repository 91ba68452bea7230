import re
import subprocess
import sys
from pathlib import Path

CONFTEST = Path(__file__).with_name("conftest.py")
FAILING = """
import gc
import logging

def test_fails():
    logging.getLogger("store").warning("lost", extra={"reason": "timed out"})
    held = [[] for _ in range(300_000)]
    gc.collect()
    assert False
"""

LEAVING = """
import weakref

class Node:
    def __init__(self):
        self.itself = self

left = []

def test_leaves_a_fleet():
    fleet = [Node() for _ in range(100_000)]
    left.append(weakref.ref(fleet[0]))

def test_does_not_pay_for_it():
    assert left[0]() is None
"""

IMPORTING = """
import gc

imported = [[] for _ in range(200_000)]

def test_does_not_pay_for_imports():
    assert not any(one is imported for one in gc.get_objects())
"""


def run(folder, text):
    (folder / "conftest.py").write_text(CONFTEST.read_text())
    (folder / "test_inner.py").write_text(text)
    command = [sys.executable, "-m", "pytest", "-q", str(folder)]
    return subprocess.run(command, capture_output=True, text=True, cwd=folder)


def test_what_a_virtual_fleet_leaves_does_not_stop_the_loop_of_a_later_test(tmp_path):
    assert run(tmp_path, LEAVING).returncode == 0


def test_what_is_imported_does_not_stop_the_loop_of_a_test(tmp_path):
    assert run(tmp_path, IMPORTING).returncode == 0


def test_a_failure_that_is_seen_once_can_be_traced(tmp_path):
    shown = run(tmp_path, FAILING).stdout
    assert '"reason": "timed out"' in shown
    found = re.search(r"longest run of the garbage collector (\S+) s", shown)
    assert float(found[1]) > 0.0
