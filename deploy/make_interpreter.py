"""Makes `target/python3`, an interpreter that stands signals at its start.

Signals end the process until the program has started, and `python3` may be a
wrapper of a version manager, which takes long. Where no compiler or no library
of the interpreter is there, `target/python3` is a link to it.
"""

from collections.abc import Iterator
import os
import pathlib
import shlex
import shutil
import subprocess
import sys
import sysconfig

_ROOT = pathlib.Path(__file__).resolve().parent.parent
_RESULT = _ROOT / "target" / "python3"
_CHECK = "import sys; print(sys.version, sys.prefix)"
_COMPILERS = ("cc", "gcc", "clang")


def main() -> None:
    """Replaces the file in one step, as processes may start meanwhile."""
    _RESULT.parent.mkdir(exist_ok=True)
    temporary = _RESULT.with_name(f"python3.{os.getpid()}")
    if not any(_compile(temporary, options) for options in _options()):
        temporary.unlink(missing_ok=True)
        temporary.symlink_to(os.path.realpath(sys.executable))
        sys.stderr.write(f"{_RESULT} is a link: no compiler or library\n")
    temporary.replace(_RESULT)


def _options() -> Iterator[list[str]]:
    """Yields the compiler's options for each library of the interpreter."""
    shared = _join("LIBDIR", "INSTSONAME")
    # Systems split the library from the interpreter that names it.
    if sysconfig.get_config_var("Py_ENABLE_SHARED") and shared.exists():
        yield [f'-DLIBRARY="{shared}"', "-ldl"]
    archive = _join("LIBPL", "LIBRARY")
    if archive.exists():
        names = ("LINKFORSHARED", "LIBS", "MODLIBS", "SYSLIBS")
        values = (sysconfig.get_config_var(name) or "" for name in names)
        # Distributions make the archive of objects with fixed addresses.
        yield ["-no-pie", str(archive), *shlex.split(" ".join(values))]


def _join(folder: str, name: str) -> pathlib.Path:
    parts = (sysconfig.get_config_var(part) or "" for part in (folder, name))
    return pathlib.Path("/", *parts)


def _compile(result: pathlib.Path, options: list[str]) -> bool:
    source = _ROOT / "deploy" / "interpreter.c"
    compiler = next(filter(shutil.which, _COMPILERS), _COMPILERS[0])
    command = [compiler, "-O2", "-o", result, source, *options]
    expected = f"{sys.version} {sys.base_prefix}\n"
    try:
        subprocess.run(command, check=True)
        output = subprocess.check_output([result, "-S", "-c", _CHECK])
    except (OSError, subprocess.CalledProcessError):
        return False
    return output.decode() == expected


if __name__ == "__main__":
    main()
