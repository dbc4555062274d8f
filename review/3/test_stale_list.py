"""Plays case 3 as a test, which fails as long as the fault is there; the default test run leaves it out."""

from __future__ import annotations

import pathlib
import subprocess


def test_a_draining_worker_gets_no_more_requests() -> None:
    """Nodes that reach the platform notice that a worker drains, though the reader does not."""
    script = pathlib.Path(__file__).with_name("run.sh")
    assert subprocess.run(["/bin/sh", str(script)], check=False).returncode == 0
