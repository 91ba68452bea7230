"""Install the dependencies of a gateway below ``target/``, unless they are there.

A folder that an interrupted build left, or that comes from a machine of another kind,
is replaced: its extension modules can't be imported here.
"""

import compileall
import hashlib
import platform
import shutil
import subprocess
import sys
from collections.abc import Callable
from pathlib import Path

CHECKOUT = Path(__file__).resolve().parents[1]
REQUIREMENTS = "deploy/requirements.txt"
CONSTRAINTS = "constraints.txt"

Install = Callable[[Path, Path], None]


def pip_install(checkout: Path, folder: Path) -> None:
    """Install the requirements of a checkout into a folder.

    Raises
    ------
    subprocess.CalledProcessError
        If pip fails; it prints the reason.
    """
    pip = [sys.executable, "-m", "pip", "install", "-q", "--target", str(folder)]
    files = ["-c", str(checkout / CONSTRAINTS), "-r", str(checkout / REQUIREMENTS)]
    subprocess.run(pip + files, check=True)


def build_key(checkout: Path) -> str:
    """Return what installed dependencies depend on: machine, interpreter, versions."""
    lines = [platform.machine(), platform.libc_ver()[0], sys.version]
    lines += [(checkout / name).read_text() for name in (REQUIREMENTS, CONSTRAINTS)]
    return hashlib.sha256("\n".join(lines).encode()).hexdigest()


def build(checkout: Path, install: Install = pip_install) -> bool:
    """Install the dependencies where they are missing or were built for something else.

    Parameters
    ----------
    checkout : Path
    install : callable
        Takes the checkout and the folder to install into.

    Returns
    -------
    bool
        Whether they were installed.
    """
    folder, stamp = checkout / "target" / "deps", checkout / "target" / "deps.key"
    key = build_key(checkout)
    if folder.is_dir() and stamp.is_file() and stamp.read_text() == key:
        return False
    stamp.unlink(missing_ok=True)
    if folder.exists():
        shutil.rmtree(folder)
    folder.mkdir(parents=True)
    install(checkout, folder)
    stamp.write_text(key)
    return True


if __name__ == "__main__":
    build(CHECKOUT)
    for source in ("src", "deploy"):
        compileall.compile_dir(CHECKOUT / source, quiet=1)
