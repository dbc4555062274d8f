"""What a core machine finds in its data folder at the start: format, identity, the consensus record."""

from __future__ import annotations

import msgspec

from iriswheel.consensus import acceptor, decisions
from iriswheel.runtime import scheduler, storage

FORMAT = 3  # of the data folder

IDENTITY_KEY = b"identity"
FORMAT_KEY = b"format"


def load(runtime: scheduler.Runtime, disk: storage.DataFolder) -> dict[bytes, bytes]:
    """Read all keys of the data folder; a new folder gets an identity, an older one the present format.

    Raises:
        storage.DiskError: A newer program wrote the folder, or the disk does not work.
    """
    state = disk.read()
    found = int(state.get(FORMAT_KEY, b"0"))
    if found > FORMAT:
        raise storage.DiskError(f"The data folder was written by a newer program (format {found}).")
    if IDENTITY_KEY not in state:
        state[IDENTITY_KEY] = runtime.rng.getrandbits(64).to_bytes(8, "big").hex().encode()
        disk.write([(IDENTITY_KEY, state[IDENTITY_KEY]), (FORMAT_KEY, b"%d" % FORMAT)])
    elif found < FORMAT:
        disk.write([(FORMAT_KEY, b"%d" % FORMAT)])
    return state


def identity(state: dict[bytes, bytes]) -> str:
    """The identity of the core machine: it stays as long as the data folder does.

    >>> identity({b"identity": b"c0ffee"})
    'c0ffee'
    """
    return state[IDENTITY_KEY].decode()


def consensus_record(state: dict[bytes, bytes]) -> decisions.Record:
    """The acceptor's record, a blank one where there is none yet.

    >>> consensus_record({}) == decisions.Record()
    True
    """
    if acceptor.RECORD_KEY not in state:
        return decisions.Record()
    return msgspec.msgpack.decode(state[acceptor.RECORD_KEY], type=decisions.Record)
