"""Reads intent files from an operator's file system."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
import enum
import pathlib

from expression import Error
from expression import Ok
from expression import Result
import msgspec

from cyclamendale import ids
from cyclamendale.intents import merge
from cyclamendale.intents import parse

SUFFIX = ".toml"


class FolderProblem(enum.Enum):
    """Reason for which a path could not be read."""

    NOT_FOUND = "not-found"
    NOT_READABLE = "not-readable"
    SUBFOLDER = "subfolder"
    EMPTY = "empty"
    TOO_MANY = "too-many"
    SAME_NAME = "same-name"


_MESSAGES = {
    FolderProblem.NOT_FOUND: "does not exist",
    FolderProblem.NOT_READABLE: "cannot be read",
    FolderProblem.SUBFOLDER: "is a subfolder; only files are read",
    FolderProblem.EMPTY: f"contains no {SUFFIX} file",
    FolderProblem.TOO_MANY: f"more than {merge.MAX_FILES} files",
    FolderProblem.SAME_NAME: "has the name of another file of this change",
}


class FolderError(msgspec.Struct, frozen=True):
    """A path that could not be read."""

    path: str
    problem: FolderProblem

    def __str__(self) -> str:
        return f"{self.path}: {_MESSAGES[self.problem]}"


Files = dict[ids.IntentFileName, bytes]


def read(paths: Iterable[pathlib.Path]) -> Result[Files, FolderError]:
    """Reads files, and the `.toml` files of folders.

    Args:
        paths: Files or folders.

    Returns:
        Contents by file name, or the first path that cannot be read.
    """
    files: Files = {}
    for path in paths:
        for found in _expand(path):
            if found.is_error():
                return Error(found.error)
            name = ids.IntentFileName(found.ok.name)
            if name in files:
                return _make_error(found.ok, FolderProblem.SAME_NAME)
            if len(files) == merge.MAX_FILES:
                return _make_error(path, FolderProblem.TOO_MANY)
            try:
                files[name] = _read_bounded(found.ok)
            except OSError:
                return _make_error(found.ok, FolderProblem.NOT_READABLE)
    return Ok(files)


def _make_error(
    path: pathlib.Path, problem: FolderProblem
) -> Result[Files, FolderError]:
    return Error(FolderError(str(path), problem))


def _expand(
    path: pathlib.Path,
) -> Iterator[Result[pathlib.Path, FolderError]]:
    if not path.exists():
        yield Error(FolderError(str(path), FolderProblem.NOT_FOUND))
    elif not path.is_dir():
        yield Ok(path)
    else:
        yield from _expand_folder(path)


def _expand_folder(
    folder: pathlib.Path,
) -> Iterator[Result[pathlib.Path, FolderError]]:
    try:
        children = sorted(folder.iterdir())
    except OSError:
        yield Error(FolderError(str(folder), FolderProblem.NOT_READABLE))
        return
    visible = [path for path in children if not path.name.startswith(".")]
    if not any(path.suffix == SUFFIX for path in visible):
        yield Error(FolderError(str(folder), FolderProblem.EMPTY))
    for path in visible:
        if path.is_dir():
            yield Error(FolderError(str(path), FolderProblem.SUBFOLDER))
        elif path.suffix == SUFFIX:
            yield Ok(path)


def _read_bounded(path: pathlib.Path) -> bytes:
    # One byte above the limit, so that the parser detects a file that is
    # too large.
    with path.open("rb") as file:
        return file.read(parse.MAX_FILE_BYTES + 1)
