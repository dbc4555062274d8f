"""The contents of a core machine's data folder that are read at the start: format, identity, consensus record."""

from __future__ import annotations

import msgspec

from iriswheel.consensus import acceptor, decisions
from iriswheel.runtime import scheduler, storage

FORMAT = 3  # version of the data folder's format

IDENTITY_KEY = b"identity"
FORMAT_KEY = b"format"


def load(runtime: scheduler.Runtime, disk: storage.DataFolder) -> dict[bytes, bytes]:
    """Read all keys of the data folder; a new folder gets an identity, and an older one is marked as format FORMAT.

    Raises:
        storage.DiskError: The folder has a newer format than this program supports, or the disk failed.
    """
    state = disk.read()
    found = int(state.get(FORMAT_KEY, b"0"))
    if found > FORMAT:
        raise storage.DiskError(f"The data folder has format {found}, which is newer than this program supports.")
    if IDENTITY_KEY not in state:
        state[IDENTITY_KEY] = runtime.rng.getrandbits(64).to_bytes(8, "big").hex().encode()
        disk.write([(IDENTITY_KEY, state[IDENTITY_KEY]), (FORMAT_KEY, b"%d" % FORMAT)])
    elif found < FORMAT:
        disk.write([(FORMAT_KEY, b"%d" % FORMAT)])
    return state


def identity(state: dict[bytes, bytes]) -> str:
    """The identity of the core machine, which is kept as long as its data folder.

    >>> identity({b"identity": b"c0ffee"})
    'c0ffee'
    """
    return state[IDENTITY_KEY].decode()


def consensus_record(state: dict[bytes, bytes]) -> decisions.Record:
    """The consensus acceptor's record; an empty one if none is stored yet.

    >>> consensus_record({}) == decisions.Record()
    True
    """
    if acceptor.RECORD_KEY not in state:
        return decisions.Record()
    return msgspec.msgpack.decode(state[acceptor.RECORD_KEY], type=decisions.Record)
