"""No test was lost in the move to pytest: pytest still collects the replacements of every former test."""

import pathlib
import subprocess
import sys
import tomllib

import pytest

TABLE = pathlib.Path(__file__).parent / "data" / "test-names.toml"


def test_every_replacement_of_a_former_test_is_collected(pytestconfig: pytest.Config) -> None:
    command = [sys.executable, "-m", "pytest", "--collect-only", "--quiet", "-n", "0"]
    listing = subprocess.run(command, cwd=pytestconfig.rootpath, capture_output=True, text=True, check=True).stdout
    collected = set(listing.splitlines())
    for old, new in tomllib.loads(TABLE.read_text()).items():
        assert new, old
        assert set(new) <= collected, old
