"""Tests that deltas between versions yield the published snapshots."""

from __future__ import annotations

from unittest import mock

from hypothesis import given
from hypothesis import strategies as st
import testtools

from cyclamendale.configuration import changes
from cyclamendale.configuration import documents
from cyclamendale.configuration import snapshot
from cyclamendale.configuration import store

names = st.sampled_from("abcde")
puts = st.dictionaries(names, st.binary(max_size=2))
SMALL_MAX_TOMBSTONES = 2


def snapshots_of(steps):
    """Returns the snapshots of the versions that `steps` create."""
    made = [snapshot.make_empty()]
    contents = {}
    for written, removed in steps:
        version, manifest = made[-1].version, made[-1].folder.manifest
        removes = removed & manifest.files.keys() - written.keys()
        if not written and not removes:
            continue
        change = changes.Change(
            version, written, frozenset(removes), "ann", f"change-{version}"
        )
        head = mock.Mock(version=version)
        manifest = changes.apply_change(head, manifest, change).ok
        for data in written.values():
            contents[documents.digest_of(data)] = data
        digest = documents.digest_of(documents.encode(manifest))
        kept = {s.digest: contents[s.digest] for s in manifest.files.values()}
        folder = store.Folder(manifest, kept)
        made.append(snapshot.Snapshot(version + 1, digest, folder))
    return made


def delta_between(old, new):
    return snapshot.Delta(
        new.version,
        new.digest,
        new.has_pruned_tombstones(old.version),
        new.folder.manifest.removals_since,
        tuple(new.changes_since(old.version)),
    )


class DeltaTest(testtools.TestCase):
    @given(st.lists(st.tuples(puts, st.sets(names)), min_size=1, max_size=9))
    def test_every_version_leads_to_every_later_one(self, steps):
        with mock.patch.object(changes, "MAX_TOMBSTONES", SMALL_MAX_TOMBSTONES):
            made = snapshots_of(steps)
        for index, old in enumerate(made):
            for new in made[index + 1 :]:
                applied = old.apply(delta_between(old, new))
                self.assertEqual(new, applied.ok)

    def test_a_delta_applied_to_another_base_is_rejected(self):
        steps = [({"a": b"1"}, set()), ({"b": b"1"}, set())]
        _, _, new = snapshots_of(steps)
        only_last = delta_between(snapshots_of(steps)[1], new)
        result = snapshot.make_empty().apply(only_last)
        self.assertTrue(result.is_error())
