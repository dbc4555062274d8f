"""Memory that a process has freed goes back to the system, also between blocks that stay."""

import subprocess
import sys

import pytest

PROGRAM = """
import pathlib
from iriswheel.runtime import allocator

def resident_bytes():
    return int(pathlib.Path("/proc/self/statm").read_text().split()[1]) * 4096

if {is_set}:
    allocator.return_large_blocks()
del (blocks := [bytearray(16 << 20) for _ in range(2)])[:]  # raises the size from which glibc maps blocks
before = resident_bytes()
blocks, kept = [], []
for _ in range(100):
    blocks.append(bytearray(b"x") * (1 << 20))
    kept.append(bytearray(b"x") * 5000)
del blocks[:]
print(resident_bytes() - before)
"""


@pytest.mark.skipif(sys.platform != "linux", reason="reads the resident memory from /proc")
def test_freed_blocks_go_back_to_the_system() -> None:
    result = subprocess.run([sys.executable, "-c", PROGRAM.format(is_set=True)], capture_output=True, check=True)
    assert int(result.stdout) < 10 << 20
