"""The build of the deploy file, from a clean or a carried-over checkout."""

from __future__ import annotations

import os
import pathlib
import shutil
import subprocess
import sys
import sysconfig
import tempfile
import tomllib
import zipfile

import testtools

from tests.support import daemon_process

DEPLOY = tomllib.loads(
    (daemon_process.ROOT / "deploy" / "system.toml").read_text()
)
INTERPRETER = DEPLOY["roles"]["node"]["run"].split(" ")[0]
SET_VARIABLES = """
import runpy, sysconfig
get, values = sysconfig.get_config_var, {values!r}
sysconfig.get_config_var = lambda name: values.get(name, get(name))
runpy.run_path("deploy/make_interpreter.py", run_name="__main__")
"""
PRINT_STATE = (
    "import _signal, sys; print(sys.executable); print(sys.version);"
    " print(_signal.getsignal(1) == _signal.SIG_IGN)"
)


class BuildCase(testtools.TestCase):
    """Builds a checkout whose only requirement is made by the test."""

    def setUp(self):
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)
        self.root = self.folder / "checkout"
        self.root.mkdir()
        shutil.copytree(daemon_process.ROOT / "deploy", self.root / "deploy")
        self.deps = self.root / "target" / "deps"
        for version in ("1.0", "2.0"):
            self.make_wheel(version)
        self.require("1.0")

    def require(self, version):
        path = self.root / "requirements-run.txt"
        path.write_text(f"soap=={version}\n")
        # As in a checkout that is older than the folder carried over.
        os.utime(path, (0, 0))

    def make_wheel(self, version):
        info = f"soap-{version}.dist-info"
        name = f"soap-{version}-py3-none-any.whl"
        with zipfile.ZipFile(self.folder / name, "w") as file:
            file.writestr("soap.py", f"VERSION = {version!r}\n")
            file.writestr(
                f"{info}/METADATA",
                f"Metadata-Version: 2.1\nName: soap\nVersion: {version}\n",
            )
            file.writestr(
                f"{info}/WHEEL",
                "Wheel-Version: 1.0\nGenerator: test\n"
                "Root-Is-Purelib: true\nTag: py3-none-any\n",
            )
            file.writestr(f"{info}/RECORD", "")

    def build(self, **environment):
        return subprocess.run(
            DEPLOY["build"],
            shell=True,
            cwd=self.root,
            env={
                **os.environ,
                "PIP_NO_INDEX": "1",
                "PIP_FIND_LINKS": str(self.folder),
                **environment,
            },
            check=True,
            capture_output=True,
            text=True,
        )

    def run_interpreter(self, program):
        return subprocess.run(
            [INTERPRETER, "-S", "-c", program],
            cwd=self.root,
            capture_output=True,
            text=True,
        )

    def check_interpreter(self, stands_signals):
        output = self.run_interpreter(PRINT_STATE).stdout.splitlines()
        self.assertEqual(str(self.root / INTERPRETER), output[0])
        self.assertEqual("3.11", output[1][:4])
        self.assertEqual(str(stands_signals), output[2])
        stop = self.run_interpreter("import os; os.kill(os.getpid(), 15)")
        self.assertEqual(0 if stands_signals else -15, stop.returncode)
        # A script in its place would be a wrapper.
        content = (self.root / INTERPRETER).read_bytes()
        self.assertEqual(b"\x7fELF", content[:4])


class InterpreterTest(BuildCase):
    """A wrapper of the interpreter made the time before the program longer."""

    def test_the_build_makes_an_interpreter_that_stands_signals(self):
        for _ in range(2):
            self.build()
        can_compile = shutil.which("cc") and sysconfig.get_config_var(
            "Py_ENABLE_SHARED"
        )
        self.check_interpreter(bool(can_compile))

    def test_a_machine_without_a_compiler_gets_a_link_to_the_interpreter(self):
        # The wrapper of a version manager would be ten times as slow.
        bin_folder = self.folder / "bin"
        bin_folder.mkdir()
        real = os.path.realpath(sys.executable)
        (bin_folder / "python3").symlink_to(real)
        output = self.build(PATH=str(bin_folder)).stderr
        self.assertIn("is a link", output)
        self.assertEqual(real, os.path.realpath(self.root / INTERPRETER))
        self.check_interpreter(False)


class OddInterpreterTest(BuildCase):
    """Without a shared library the interpreter didn't stand early signals.

    One that was named and absent made each start run `python3` of the path.
    """

    scenarios = [
        ("built without", {"values": {"Py_ENABLE_SHARED": 0}}),
        ("not installed", {"values": {"LIBDIR": "/nonexistent"}}),
    ]

    def test_the_archive_is_linked_in(self):
        archive = pathlib.Path(
            sysconfig.get_config_var("LIBPL"),
            sysconfig.get_config_var("LIBRARY"),
        )
        can_link = bool(shutil.which("cc")) and archive.exists()
        self.make_interpreter(self.values)
        self.check_interpreter(can_link)

    def test_without_the_archive_it_is_a_link(self):
        self.make_interpreter(self.values | {"LIBPL": "/nonexistent"})
        self.assertEqual(
            os.path.realpath(sys.executable),
            os.path.realpath(self.root / INTERPRETER),
        )
        self.check_interpreter(False)

    def make_interpreter(self, values):
        program = SET_VARIABLES.format(values=values)
        subprocess.run(
            [sys.executable, "-c", program],
            cwd=self.root,
            check=True,
            capture_output=True,
        )


class CarriedOverPackagesTest(BuildCase):
    """Packages for another kind of machine were kept if they were newer."""

    scenarios = [
        ("machine", {"old": "machine ", "new": "machine other-"}),
        ("interpreter", {"old": "interpreter ", "new": "interpreter other-"}),
        ("system library", {"old": "library ", "new": "library other-"}),
    ]

    def test_packages_of_another_kind_are_replaced(self):
        self.build()
        marker = self.deps / "made-for.txt"
        text = marker.read_text()
        self.assertIn(self.old, text)
        marker.write_text(text.replace(self.old, self.new))
        (self.deps / "soap.py").write_text("raise ImportError('wrong ELF')")
        (self.deps / "left.py").touch()
        self.build()
        self.check_package("1.0")
        self.assertFalse((self.deps / "left.py").exists())
        self.assertEqual(
            {"deps", "python3"},
            {path.name for path in self.deps.parent.iterdir()},
        )

    def check_package(self, version):
        self.assertEqual(
            f"{version}\n",
            self.run_interpreter(
                "import sys; sys.path.insert(0, 'target/deps');"
                " import soap; print(soap.VERSION)"
            ).stdout,
        )


class PackagesFolderTest(BuildCase):
    check_package = CarriedOverPackagesTest.check_package

    def test_packages_without_a_marker_are_replaced(self):
        self.deps.mkdir(parents=True)
        (self.deps / "soap.py").write_text("raise ImportError('wrong ELF')")
        self.build()
        self.check_package("1.0")

    def test_changed_requirements_replace_them(self):
        # A checkout may give the file an older time than the folder has.
        self.build()
        self.require("2.0")
        self.build()
        self.check_package("2.0")

    def test_packages_of_this_machine_are_kept_without_an_index(self):
        self.build()
        self.build(PIP_FIND_LINKS="")
        self.check_package("1.0")

    def test_an_installation_that_failed_is_done_again(self):
        self.require("3.0")
        self.assertRaises(subprocess.CalledProcessError, self.build)
        self.assertFalse(self.deps.exists())
        self.require("2.0")
        self.build()
        self.check_package("2.0")
