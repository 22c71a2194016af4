"""Publishes an operator's change and reports its rollout."""

from __future__ import annotations

import secrets

from expression import Error
from expression import Ok
from expression import Result
import msgspec
from twisted.internet import defer

from cyclamendale import clocks
from cyclamendale import ids
from cyclamendale import timeline
from cyclamendale.cli import faults
from cyclamendale.cli import reports
from cyclamendale.cli import services
from cyclamendale.configuration import changes
from cyclamendale.configuration import publisher as publishers
from cyclamendale.intents import folder
from cyclamendale.intents import kinds
from cyclamendale.intents import model
from cyclamendale.intents import parse
from cyclamendale.store import load_limit

STATUS_POLL_INTERVAL_S = 0.25
CHANGE_ID_BYTES = 12


class ChangeOptions(msgspec.Struct, frozen=True):
    """Options that all commands that publish a change share.

    Attributes:
        platform_url: Platform to publish to.
        node_url: Node to query for the rollout of the change, if any.
        wait_s: Longest wait until the change is in force everywhere.
        writer: Name of the operator.
        change_id: Id of an earlier change, if that one is repeated.
        base_version: Version that the operator read, if given.
    """

    platform_url: str
    node_url: str | None
    wait_s: int
    writer: str
    change_id: ids.ChangeId | None
    base_version: ids.ConfigVersion | None


class ChangePublisher:
    """Publishes one change."""

    def __init__(
        self, command_services: services.Services, options: ChangeOptions
    ) -> None:
        self._clock = command_services.clock
        self._publisher = command_services.publisher(options.platform_url)
        self._node = (
            None
            if options.node_url is None
            else command_services.node(options.node_url)
        )
        self._options = options
        self._change_id = options.change_id or ids.ChangeId(
            secrets.token_hex(CHANGE_ID_BYTES)
        )

    async def read(self) -> Result[publishers.PublishedFolder, faults.Fault]:
        """Returns the files in force."""
        read = await self._publisher.read()
        return read.map_error(lambda error: make_publish_fault(error))

    async def put(
        self, files: folder.Files, prune: bool
    ) -> Result[reports.Report, faults.Fault]:
        """Publishes the files that differ from those in force.

        Args:
            files: The files.
            prune: Whether to remove all other files in force. Files that
                withdraw a key stay, since the operator's folder may be
                older than the withdrawal.
        """
        read = await self.read()
        if read.is_error():
            return Error(read.error)
        in_force = read.ok.files
        puts = {
            file: data
            for file, data in files.items()
            if in_force.get(file) != data
        }
        other_files = in_force.keys() - files.keys() if prune else set()
        kept = tuple(
            sorted(
                name
                for name in other_files
                if _withdraws_key(name, in_force[name])
            )
        )
        removes = frozenset(other_files.difference(kept))
        if not puts and not removes:
            unchanged = reports.ChangeReport(
                read.ok.version, changed=False, kept=kept
            )
            return Ok(await self._wait_for_rollout(unchanged))
        return await self.publish(read.ok.version, puts, removes, kept)

    async def remove(
        self, files: frozenset[ids.IntentFileName]
    ) -> Result[reports.Report, faults.Fault]:
        """Removes files that are in force."""
        read = await self.read()
        if read.is_error():
            return Error(read.error)
        return await self.publish(read.ok.version, {}, files)

    async def publish(
        self,
        version_read: ids.ConfigVersion,
        puts: folder.Files,
        removes: frozenset[ids.IntentFileName],
        kept: tuple[ids.IntentFileName, ...] = (),
    ) -> Result[reports.Report, faults.Fault]:
        """Publishes a change unless it conflicts with another one.

        Args:
            version_read: Version read just before; the base version unless
                the operator gave an earlier one.
            puts: Files to write.
            removes: Files to remove.
            kept: Files to report as not removed.
        """
        base_version = self._options.base_version
        if base_version is None:
            base_version = version_read
        change = changes.Change(
            base_version, puts, removes, self._options.writer, self._change_id
        )
        published = await self._publisher.publish(change)
        if published.is_error():
            return Error(make_publish_fault(published.error, change))
        report = reports.ChangeReport(
            published.ok.version,
            changed=True,
            puts=tuple(sorted(puts)),
            removes=tuple(sorted(removes)),
            kept=kept,
            change_id=self._change_id,
        )
        return Ok(await self._wait_for_rollout(report))

    async def _wait_for_rollout(
        self, report: reports.ChangeReport
    ) -> reports.ChangeReport:
        if self._node is None:
            return report
        until_s = self._clock.now_s() + self._options.wait_s
        while True:
            status = await self._node.status(report.version)
            updated = _add_status(report, status)
            remaining_s = until_s - self._clock.now_s()
            if updated.exit_code == 0 or remaining_s <= 0:
                return updated
            await _pause(self._clock, min(STATUS_POLL_INTERVAL_S, remaining_s))


def _pause(clock: clocks.Clock, delay_s: float) -> defer.Deferred[None]:
    return load_limit.sleep(clock, delay_s)


def _withdraws_key(name: ids.IntentFileName, data: bytes) -> bool:
    statement = parse.parse_file(name, data).statement
    if statement is None or statement.kind is not kinds.Kind.KEY:
        return False
    state = statement.fields.get("state")
    return state is not None and state.value is model.KeyState.WITHDRAWN


def _add_status(
    report: reports.ChangeReport,
    status: Result[timeline.FleetStatus, faults.NodeFailed],
) -> reports.ChangeReport:
    if status.is_error():
        return msgspec.structs.replace(report, spread_error=status.error)
    domains = tuple(status.ok.failure_domains)
    return msgspec.structs.replace(report, spread=domains)


def make_publish_fault(
    error: changes.PublishError, change: changes.Change | None = None
) -> faults.Fault:
    """Converts an error of the publisher to the fault of a command."""
    if error.kind is changes.PublishErrorKind.INVALID:
        return faults.InvalidIntents(error.invalid.errors)
    return faults.NotPublished(
        error.kind,
        None if change is None else change.change_id,
        None if change is None else change.base_version,
        error.file,
        error.conflicting,
    )
