"""Plays case 3 as a test, which fails as long as the fault is there; the default test run leaves it out."""

from __future__ import annotations

import pathlib
import subprocess


def test_a_refused_configuration_is_nowhere_in_force() -> None:
    """No node serves a route that only a refused configuration has."""
    script = pathlib.Path(__file__).with_name("run.sh")
    assert subprocess.run(["/bin/sh", str(script)], check=False).returncode == 0
