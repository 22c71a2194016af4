"""Tests of parsing, merging, validating and explaining intent files."""

from __future__ import annotations

import pathlib

import hypothesis
from hypothesis import strategies
import testscenarios
import testtools

from cyclamendale import ids
from cyclamendale.intents import explain
from cyclamendale.intents import folder
from cyclamendale.intents import keys
from cyclamendale.intents import kinds
from cyclamendale.intents import merge
from cyclamendale.intents import model
from cyclamendale.intents import parse

_ROOT = pathlib.Path(__file__).resolve().parent.parent
_DIGEST = "a" * 64
_GOOD = {
    "10-shop.toml": 'kind = "service"\nname = "shop"\n',
    "20-route.toml": (
        'kind = "route"\nname = "buy"\nservice = "shop"\n'
        'path_prefix = "/buy"\ndeadline_s = 2\n'
    ),
    "30-masons.toml": (
        'kind = "customer"\nname = "masons"\nrate_per_s = 5\nburst = 9\n'
    ),
    "40-key.toml": (
        f'kind = "key"\ndigest = "{_DIGEST}"\ncustomer = "masons"\n'
    ),
}


def encoded(files):
    return {name: text.encode() for name, text in files.items()}


def route(*lines):
    return "\n".join(('kind = "route"', 'name = "r"', *lines))


def invalid_file(text, *expected, file="50-x.toml"):
    """Returns a scenario: an added file and its (line, field, problem)s."""
    return {"added": {file: text}, "expected": {(file, *e) for e in expected}}


_INVALID_FILES = {
    "value missing": invalid_file(
        'kind = "key"\ndigest =\n', (2, "", "not-toml")
    ),
    "unterminated string": invalid_file('kind = "key', (1, "", "not-toml")),
    "duplicate field": invalid_file(
        'kind = "key"\nkind = "key"', (2, "", "not-toml")
    ),
    "no kind": invalid_file('name = "x"', (0, "kind", "kind-missing")),
    "unknown kind": invalid_file(
        '\nkind = "tenant"', (2, "kind", "kind-unknown")
    ),
    "kind is not text": invalid_file("kind = [1]", (1, "kind", "kind-unknown")),
    "no name": invalid_file('kind = "service"', (0, "name", "name-missing")),
    "empty name": invalid_file(
        'kind = "service"\nname = ""', (2, "name", "name-empty")
    ),
    "malformed name": invalid_file(
        'kind = "service"\nname = "a b"', (2, "name", "name-malformed")
    ),
    "name is not text": invalid_file(
        'kind = "service"\nname = 3', (2, "name", "type-wrong")
    ),
    "unknown field": invalid_file(
        'kind = "service"\nname = "s"\ncolour = 1',
        (3, "colour", "field-unknown"),
    ),
    "unknown table": invalid_file(
        'kind = "service"\nname = "s"\n[limits]\nslots = 1',
        (3, "limits", "field-unknown"),
    ),
    "other unit": invalid_file(
        'kind = "service"\nname = "s"\nmax_queue_ms = 1',
        (3, "max_queue_ms", "unit-wrong"),
    ),
    "no unit": invalid_file(
        'kind = "customer"\nname = "masons"\nrate = 1',
        (3, "rate", "unit-wrong"),
    ),
    "wrong type": invalid_file(
        'kind = "customer"\nname = "masons"\nburst = "9"',
        (3, "burst", "type-wrong"),
    ),
    "boolean instead of number": invalid_file(
        'kind = "customer"\nname = "masons"\nburst = true',
        (3, "burst", "type-wrong"),
    ),
    "below range": invalid_file(
        'kind = "customer"\nname = "masons"\nrate_per_s = 0',
        (3, "rate_per_s", "out-of-range"),
    ),
    "not a number": invalid_file(
        'kind = "customer"\nname = "masons"\nburst = nan',
        (3, "burst", "out-of-range"),
    ),
    "infinite number": invalid_file(
        'kind = "customer"\nname = "masons"\nburst = inf',
        (3, "burst", "out-of-range"),
    ),
    "share above one": invalid_file(
        'kind = "defaults"\nretained_share = 1.5',
        (2, "retained_share", "out-of-range"),
    ),
    "unknown importance": invalid_file(
        'kind = "route"\nname = "buy"\nimportance = "top"',
        (3, "importance", "out-of-range"),
    ),
    "importance as number": invalid_file(
        'kind = "route"\nname = "buy"\nimportance = 1',
        (3, "importance", "type-wrong"),
    ),
    "missing fields": invalid_file(
        'kind = "customer"\nname = "c"',
        (2, "rate_per_s", "field-missing"),
        (2, "burst", "field-missing"),
    ),
    "dangling service": invalid_file(
        route('service = "gone"', 'path_prefix = "/r"'),
        (3, "service", "name-dangling"),
    ),
    "dangling customer": invalid_file(
        f'kind = "key"\ndigest = "{"b" * 64}"\ncustomer = "who"',
        (3, "customer", "name-dangling"),
    ),
    "same prefix": invalid_file(
        route('service = "shop"', 'path_prefix = "/buy"'),
        (4, "path_prefix", "prefix-duplicate"),
    ),
    "prefix without slash": invalid_file(
        route('service = "shop"', 'path_prefix = "r"'),
        (4, "path_prefix", "name-malformed"),
    ),
    "malformed method": invalid_file(
        route('service = "shop"', 'path_prefix = "/r"', 'methods = ["get"]'),
        (5, "methods", "name-malformed"),
    ),
    "hedged but not idempotent": invalid_file(
        'kind = "route"\nname = "buy"\nhedge = true',
        (3, "hedge", "contradiction"),
    ),
    "once but idempotent": invalid_file(
        'kind = "route"\nname = "buy"\nidempotent = true\nonce = "table"',
        (4, "once", "contradiction"),
    ),
    "short digest": invalid_file(
        'kind = "key"\ndigest = "hush"\ncustomer = "masons"',
        (2, "digest", "digest-malformed"),
    ),
    "key in clear": invalid_file(
        f'kind = "key"\ndigest = "{_DIGEST}"\nkey = "hush"',
        (3, "key", "key-in-clear"),
    ),
    "malformed node id": invalid_file(
        'kind = "gone"\nnode = "10.0.0.1"', (2, "node", "name-malformed")
    ),
    "malformed file name": invalid_file(
        'kind = "service"\nname = "s"',
        (0, "", "file-name-malformed"),
        file="../x.toml",
    ),
    "file too large": invalid_file(
        "#" * (parse.MAX_FILE_BYTES + 1), (0, "", "file-too-large")
    ),
    "several errors in one file": invalid_file(
        'kind = "customer"\nname = "masons"\nburst = 0\nrate_per_s = ""\nx = 1',
        (3, "burst", "out-of-range"),
        (4, "rate_per_s", "type-wrong"),
        (5, "x", "field-unknown"),
    ),
}


class InvalidFileTest(testscenarios.WithScenarios, testtools.TestCase):
    scenarios = list(_INVALID_FILES.items())

    def test_an_error_names_file_line_field_and_problem(self):
        merged = merge.validate(encoded(_GOOD | self.added))
        found = {
            (error.file, error.line, error.field, error.problem.value)
            for error in merged.error.errors
        }
        self.assertEqual(self.expected, found)
        for error in merged.error.errors:
            self.assertNotIn("hush", repr(error))
            self.assertTrue(str(error).startswith(error.file))


class MergeTest(testtools.TestCase):
    def merged(self, **added):
        files = {f"{name}.toml": text for name, text in added.items()}
        return merge.merge(encoded(_GOOD | files), ids.ConfigVersion(7)).ok

    def test_errors_of_several_files_are_reported_together(self):
        files = {"a.toml": "kind =", "b.toml": "x = 1", "c.toml": "\xff"}
        data = encoded(files) | {"c.toml": b"\xff"}
        problems = [e.problem.value for e in merge.validate(data).error.errors]
        self.assertEqual(["not-toml", "kind-missing", "not-text"], problems)

    def test_too_many_files_are_rejected_without_parsing(self):
        files = {f"{n}.toml": b"" for n in range(merge.MAX_FILES + 1)}
        errors = merge.validate(files).error.errors
        self.assertEqual(["too-many-files"], [e.problem.value for e in errors])

    def test_a_later_file_overrides_only_the_fields_it_states(self):
        configuration = self.merged(
            z='kind = "customer"\nname = "masons"\nburst = 99'
        )
        customer = configuration.customers["masons"]
        self.assertEqual((5.0, 99.0), (customer.rate_per_s, customer.burst))

    def test_every_stated_field_names_its_file(self):
        configuration = self.merged(
            z='kind = "customer"\nname = "masons"\nburst = 99'
        )

        def file_of(field):
            return str(configuration.decider("customer", "masons", field))

        self.assertEqual("30-masons.toml@7", file_of("rate_per_s"))
        self.assertEqual("z.toml@7", file_of("burst"))
        self.assertEqual("z.toml@7", file_of(None))

    def test_a_withdrawal_is_valid_without_the_file_that_granted_the_key(self):
        digest = "c" * 64
        configuration = self.merged(
            z=f'kind = "key"\ndigest = "{digest}"\nstate = "withdrawn"'
        )
        self.assertIs(
            model.KeyState.WITHDRAWN, configuration.keys[digest].state
        )

    def test_one_prefix_may_serve_different_methods(self):
        get = 'service = "shop"\npath_prefix = "/m"\nmethods = ["GET"]'
        configuration = self.merged(
            y=f'kind = "route"\nname = "g"\n{get}',
            z=f'kind = "route"\nname = "p"\n{get.replace("GET", "PUT")}',
        )
        self.assertIn("p", configuration.routes)

    def test_an_explanation_lists_defaults_without_a_file(self):
        entries = explain.explain_entries(self.merged())
        files = {
            (entry.kind, entry.name, field.name): field.file
            for entry in entries
            for field in entry.fields
        }
        self.assertIsNone(files["route", "buy", "once"])
        self.assertEqual("20-route.toml", files["route", "buy", "deadline_s"])
        self.assertIsNone(files["defaults", "defaults", "max_depth"])

    @hypothesis.given(
        strategies.permutations(sorted(_GOOD)),
        strategies.lists(
            strategies.tuples(
                strategies.sampled_from("abcdef"), strategies.integers(1, 50)
            ),
            unique_by=lambda pair: pair[0],
        ),
    )
    def test_the_last_name_decides_whatever_the_order_of_reading(
        self, order, overrides
    ):
        good = {name: _GOOD[name].encode() for name in order}
        text = 'kind = "customer"\nname = "masons"\nburst = {}'
        added = {
            f"50-{name}.toml": text.format(burst).encode()
            for name, burst in overrides
        }
        configuration = merge.validate(added | good).ok
        expected = max(overrides, default=("", 9))[1]
        self.assertEqual(expected, configuration.customers["masons"].burst)


_TEXTS = [
    *_GOOD.values(),
    'kind = "customer"\nname = "masons"\nburst = 3',
    'kind = "customer"\nname = "masons"\nweight = 0',
    'kind = "customer"\nname = "masons"\nrate_per_s = 1\nburst = 1',
    f'kind = "key"\ndigest = "{_DIGEST}"\nstate = "withdrawn"',
    'kind = "route"\nname = "b"\nservice = "shop"\npath_prefix = "/buy"',
    'kind = "customer"\nname = "incomplete"',
    'kind = "defaults"\nmax_depth = 3',
    'kind = "defaults"\nretry_budget = 1',
    "kind =",
]


class MergerTest(testtools.TestCase):
    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.sampled_from("abcdef"),
                strategies.sampled_from([None, *_TEXTS]),
            ),
            max_size=25,
        )
    )
    def test_merging_again_equals_a_fresh_merge(self, edits):
        merger, files = merge.make_merger(), encoded(_GOOD)
        for version, (name, text) in enumerate(edits):
            files = {k: v for k, v in files.items() if k != f"{name}.toml"}
            if text is not None:
                files[f"{name}.toml"] = text.encode()
            again = merger.merge(files, version)
            self.assertEqual(merge.merge(files, version), again)

    def test_only_changed_files_are_parsed_again(self):
        read = []
        parse_file = parse.parse_file
        self.patch(
            parse,
            "parse_file",
            lambda *file: read.append(file) or parse_file(*file),
        )
        merger, files = merge.make_merger(), encoded(_GOOD)
        merger.merge(files, 1)
        read.clear()
        merger.merge(files | {"90.toml": b'kind = "defaults"'}, 2)
        self.assertEqual(["90.toml"], [file for file, _ in read])

    def test_a_returned_configuration_does_not_change(self):
        merger, files = merge.make_merger(), encoded(_GOOD)
        before = merger.merge(files, 1).ok
        merger.merge(encoded({"a.toml": 'kind = "defaults"'}), 2)
        self.assertEqual(merge.merge(files, 1).ok, before)


class FolderTest(testscenarios.WithScenarios, testtools.TestCase):
    scenarios = [
        (name, {"name": name})
        for name in ("quickstart", "sappaya", "cooperative")
    ]

    def test_an_example_folder_is_valid(self):
        files = folder.read([_ROOT / "examples" / self.name]).ok
        configuration = merge.validate(files).ok
        for customer in configuration.customers:
            digest = keys.digest_of(f"{customer}-key")
            self.assertEqual(customer, configuration.keys[digest].customer)


class PageTest(testtools.TestCase):
    def test_the_operators_page_describes_every_field_and_default(self):
        page = (_ROOT / "docs/operators/intents.md").read_text()
        for kind, spec in kinds.SPECS.items():
            section = page.partition(f"## `{kind.value}`\n")[2]
            section = section.partition("\n## ")[0]
            for field in kinds.FIELDS[kind].values():
                with self.subTest(kind=kind, field=field.name):
                    row = section.partition(f"\n| `{field.name}` |")[2]
                    row = row.partition("\n")[0]
                    self.assertNotEqual("", row)
                    default = kinds.to_file_value(field.default)
                    if not field.required:
                        self.assertIn(f"`{_shown(default)}`", row)
                    if field.name in spec.ranges:
                        self.assertIn(str(spec.ranges[field.name]), row)


def _shown(value):
    if isinstance(value, bool):
        return str(value).lower()
    return f'"{value}"' if isinstance(value, str) else str(value)
