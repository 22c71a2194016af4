"""Withdraws a key with an intent file that overrides all others."""

from __future__ import annotations

from collections.abc import Mapping

from expression import Error
from expression import Ok
from expression import Result

from cyclamendale import ids
from cyclamendale.cli import change_publisher
from cyclamendale.cli import faults
from cyclamendale.cli import reports
from cyclamendale.intents import kinds
from cyclamendale.intents import merge
from cyclamendale.intents import model
from cyclamendale.intents import parse

FILE_NAME_DIGEST_CHARS = 16
_FILE_PREFIX = "99"
_LATER_PREFIX = "z"


async def withdraw(
    publisher: change_publisher.ChangePublisher, digest: ids.KeyDigest
) -> Result[reports.Report, faults.Fault]:
    """Withdraws a key and verifies that it is withdrawn.

    Args:
        publisher: Publishes the change.
        digest: Digest of the key.
    """
    read = await publisher.read()
    if read.is_error():
        return Error(read.error)
    defining_files = tuple(_find_files_defining(read.ok.files, digest))
    if not defining_files:
        return Error(faults.NotFound(faults.Sought.KEY, digest))
    if _check_withdrawn(read.ok.files, digest).is_ok():
        return Ok(reports.ChangeReport(read.ok.version, changed=False))
    file = file_name_after(max(defining_files), digest)
    puts = {file: withdrawal_text(digest).encode()}
    published = await publisher.publish(read.ok.version, puts, frozenset())
    # A failed publication may still have withdrawn the key: another operator
    # published the same withdrawal first, or only the answer was lost. A
    # concurrent change may also have added a later file that grants the key.
    read = await publisher.read()
    if read.is_error():
        return published
    withdrawn = _check_withdrawn(read.ok.files, digest)
    if withdrawn.is_error():
        return published if published.is_error() else Error(withdrawn.error)
    if published.is_error():
        return Ok(reports.ChangeReport(read.ok.version, changed=False))
    return published


def withdrawal_text(digest: ids.KeyDigest) -> str:
    """Returns the content of a file that withdraws a key."""
    state = model.KeyState.WITHDRAWN.value
    return (
        f'kind = "{kinds.Kind.KEY.value}"\n'
        f'digest = "{digest}"\n'
        f'state = "{state}"\n'
    )


def file_name_after(
    last: ids.IntentFileName, digest: ids.KeyDigest
) -> ids.IntentFileName:
    """Returns a name for the withdrawal that does not sort before `last`."""
    prefix = _FILE_PREFIX
    while True:
        name = f"{prefix}-withdraw-{digest[:FILE_NAME_DIGEST_CHARS]}.toml"
        if name >= last:
            return ids.IntentFileName(name)
        prefix = (
            _LATER_PREFIX if prefix == _FILE_PREFIX else prefix + _LATER_PREFIX
        )


def _find_files_defining(
    files: Mapping[ids.IntentFileName, bytes], digest: ids.KeyDigest
) -> list[ids.IntentFileName]:
    return [
        name
        for name, data in files.items()
        if _defines_key(parse.parse_file(name, data), digest)
    ]


def _defines_key(parsed: parse.ParsedFile, digest: ids.KeyDigest) -> bool:
    statement = parsed.statement
    return (
        statement is not None
        and statement.kind is kinds.Kind.KEY
        and statement.name == digest
    )


def _check_withdrawn(
    files: Mapping[ids.IntentFileName, bytes], digest: ids.KeyDigest
) -> Result[None, faults.StillGranted]:
    merged = merge.validate(files)
    if merged.is_error():
        # An invalid configuration must not count as a withdrawal.
        return Error(faults.StillGranted(digest, None))
    key = merged.ok.keys.get(digest)
    if key is None or key.state is model.KeyState.WITHDRAWN:
        return Ok(None)
    decider = merged.ok.decider(kinds.Kind.KEY.value, digest, "state")
    return Error(faults.StillGranted(digest, decider.file if decider else None))
