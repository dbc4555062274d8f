"""The contents of a core machine's data folder that are read at the start.

These are the format, the identity, the addresses of the first start and the consensus record.
"""

from __future__ import annotations

import msgspec

from iriswheel.consensus import acceptor, decisions
from iriswheel.runtime import scheduler, storage
from iriswheel.transport import peers

FORMAT = 3  # version of the data folder's format

IDENTITY_KEY = b"identity"
INITIAL_ADDRESSES_KEY = b"founding"
FORMAT_KEY = b"format"


def load(
    runtime: scheduler.Runtime, disk: storage.DataFolder, initial_addresses: list[peers.Address]
) -> dict[bytes, bytes]:
    """Read all keys of the data folder; a new folder gets an identity, and an older one is marked as format FORMAT.

    Args:
        runtime: Source of random numbers.
        disk: The data folder.
        initial_addresses: The addresses of all core machines, where the whole system may be starting for the first
            time; a new folder keeps them, so that a process that is restarted before the first view still makes it.

    Raises:
        storage.DiskError: The folder has a newer format than this program supports, or the disk failed.
    """
    state = disk.read()
    found = int(state.get(FORMAT_KEY, b"0"))
    if found > FORMAT:
        raise storage.DiskError(f"The data folder has format {found}, which is newer than this program supports.")
    if IDENTITY_KEY not in state:
        state[IDENTITY_KEY] = runtime.rng.getrandbits(64).to_bytes(8, "big").hex().encode()
        state[INITIAL_ADDRESSES_KEY] = msgspec.msgpack.encode(initial_addresses)
        written = (IDENTITY_KEY, INITIAL_ADDRESSES_KEY)
        disk.write([*((key, state[key]) for key in written), (FORMAT_KEY, b"%d" % FORMAT)])
    elif found < FORMAT:
        disk.write([(FORMAT_KEY, b"%d" % FORMAT)])
    return state


def identity(state: dict[bytes, bytes]) -> str:
    """The identity of the core machine, which is kept as long as its data folder.

    >>> identity({b"identity": b"c0ffee"})
    'c0ffee'
    """
    return state[IDENTITY_KEY].decode()


def initial_addresses(state: dict[bytes, bytes]) -> list[peers.Address]:
    """The addresses of all core machines at the first start; empty if this machine joined a running system.

    >>> initial_addresses({}), initial_addresses({b"founding": msgspec.msgpack.encode([("10.0.0.1", 7001)])})
    ([], [('10.0.0.1', 7001)])
    """
    raw = state.get(INITIAL_ADDRESSES_KEY)
    return [] if raw is None else msgspec.msgpack.decode(raw, type=list[peers.Address])


def consensus_record(state: dict[bytes, bytes]) -> decisions.Record:
    """The consensus acceptor's record; an empty one if none is stored yet.

    >>> consensus_record({}) == decisions.Record()
    True
    """
    if acceptor.RECORD_KEY not in state:
        return decisions.Record()
    return msgspec.msgpack.decode(state[acceptor.RECORD_KEY], type=decisions.Record)
