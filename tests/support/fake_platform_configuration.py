"""In-memory platform and its operators, for tests of configuration."""

from __future__ import annotations

import itertools
import random

from expression import Error
from expression import Ok
from twisted.internet import task

from cyclamendale import clocks
from cyclamendale import ids
from cyclamendale.configuration import changes
from cyclamendale.configuration import publisher
from cyclamendale.intents import model
from cyclamendale.store import faults
from cyclamendale.store import memory
from cyclamendale.store import state as states

EXCLUSIVE = b"exclusive"
"""Content that at most one file of a valid folder may have."""

LATENCY_S = 0.01
TIMEOUT_S = 1.0


def validate(files):
    """Accepts a folder if at most one of its files is `EXCLUSIVE`."""
    exclusive = sorted(f for f, data in files.items() if data == EXCLUSIVE)
    return Error(exclusive) if len(exclusive) > 1 else Ok(files)


def merge(files, version):
    """Returns a configuration whose sources list its files."""
    validated = validate(files)
    return validated.map(
        lambda _: model.Configuration(
            version=version, sources={(f,): f for f in sorted(files)}
        )
    )


class SharedPlatform:
    """Platform shared by several operators and nodes.

    Attributes:
        rows: State of the table.
        objects: State of the object store.
    """

    def __init__(self):
        self.task_clock = task.Clock()
        self.clock = clocks.ReactorClock(self.task_clock)
        self.rows = states.TableState()
        self.objects = states.ObjectState()
        self._change_ids = itertools.count(1)

    def open_stores(self, injector=None):
        """Returns a table and an object store with their own faults."""
        injector = injector or faults.FaultInjector()
        return (
            memory.make_memory_table(
                self.clock, injector, self.rows, LATENCY_S, TIMEOUT_S
            ),
            memory.make_memory_object_store(
                self.clock, injector, self.objects, LATENCY_S, TIMEOUT_S
            ),
        )

    def operator(self, injector=None):
        """Returns the publisher of an operator."""
        return publisher.make_publisher(
            *self.open_stores(injector), self.clock, random.Random(1), validate
        )

    def change(self, base=0, puts=None, removes=(), writer="ann"):
        """Returns a change with a new id."""
        return changes.Change(
            ids.ConfigVersion(base),
            {ids.IntentFileName(f): d for f, d in (puts or {}).items()},
            frozenset(removes),
            writer,
            ids.ChangeId(f"change-{next(self._change_ids)}"),
        )

    def result(self, answer, limit_s=60.0):
        """Advances the clock until `answer` fires; returns its result."""
        end_s = self.clock.now_s() + limit_s
        while not answer.called and self.clock.now_s() < end_s:
            self.task_clock.advance(LATENCY_S)
        return answer.result

    def publish(self, *args, **kwargs):
        """Publishes a new change without faults; returns the result."""
        change = self.change(*args, **kwargs)
        return self.result(self.operator().publish(change))

    def folder(self):
        """Returns the version in force and its files."""
        read = self.result(self.operator().read()).ok
        return read.version, dict(read.files)
