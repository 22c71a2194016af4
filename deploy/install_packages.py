"""Installs the required packages in `target/deps`.

A folder that was carried over from another kind of machine, or was made for
another interpreter or other requirements, is replaced.
"""

import hashlib
import os
import pathlib
import platform
import shutil
import subprocess
import sys
import sysconfig

_ROOT = pathlib.Path(__file__).resolve().parent.parent
_REQUIREMENTS = _ROOT / "requirements-run.txt"
_RESULT = _ROOT / "target" / "deps"
_MARKER = "made-for.txt"


def main() -> None:
    """Replaces the folder unless it was made for this machine."""
    identity = _describe()
    if _read(_RESULT / _MARKER) == identity:
        return
    new = _RESULT.with_name(f"deps.{os.getpid()}")
    new.mkdir(parents=True)
    command = [sys.executable, "-m", "pip", "install", "-q", "--target", new]
    subprocess.run([*command, "-r", _REQUIREMENTS], check=True)
    # At last: it vouches for the rest.
    (new / _MARKER).write_text(identity)
    old = _RESULT.with_name(f"{new.name}.old")
    if os.path.lexists(_RESULT):
        _RESULT.rename(old)
    new.rename(_RESULT)
    shutil.rmtree(old, ignore_errors=True)


def _describe() -> str:
    """Returns what the compiled and the chosen packages depend on."""
    requirements = hashlib.sha256(_REQUIREMENTS.read_bytes()).hexdigest()
    version = ".".join(map(str, sys.version_info[:2]))
    library = " ".join(platform.libc_ver())
    return (
        f"machine {platform.machine()}\n"
        f"interpreter {sysconfig.get_config_var('SOABI')} {version}\n"
        f"library {library}\n"
        f"requirements {requirements}\n"
    )


def _read(path: pathlib.Path) -> str | None:
    try:
        return path.read_text()
    except (OSError, UnicodeDecodeError):
        return None


if __name__ == "__main__":
    main()
