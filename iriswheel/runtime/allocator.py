"""The C library's memory allocator."""

from __future__ import annotations

import contextlib
import ctypes

M_MMAP_THRESHOLD = -3  # parameter of glibc's mallopt
MAPPED_BYTES = 128 << 10


def return_large_blocks() -> None:
    """Have blocks of MAPPED_BYTES and more mapped one by one, so that the system gets each back when it is freed.

    By default glibc raises this size up to 32 MiB as such blocks are freed. Later ones then lie in the heap, of which
    it returns only the end. Other C libraries have no such call and keep their ways.
    """
    with contextlib.suppress(AttributeError, OSError):
        ctypes.CDLL(None).mallopt(M_MMAP_THRESHOLD, MAPPED_BYTES)
