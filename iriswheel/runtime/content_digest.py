"""A digest of all records of a database, kept among them and changed with each write.

The digest is the combination of one for each record, in any order, so that a write changes it by the records that it
replaces. A record whose bytes have changed on the disk, or that is gone, is found by it.
"""

from __future__ import annotations

import hashlib
import typing

import msgspec

if typing.TYPE_CHECKING:
    import collections.abc

DIGEST_BYTES = 16
KEY = b"content-digest"  # of the record that holds the digest of all others


class StoredDigest(msgspec.Struct, array_like=True, frozen=True):
    """The record of the digest.

    A program that does not know of it leaves it as it is; the transaction tells that it is out of date then.
    """

    transaction: int  # lmdb's number of the transaction that wrote it
    digest: bytes


def of_record(key: bytes, value: bytes | None) -> int:
    """Return the part of one record, 0 where there is none.

    >>> of_record(b"a", None), of_record(b"a", b"bc") == of_record(b"ab", b"c")
    (0, False)
    """
    if value is None:
        return 0
    hashed = hashlib.blake2b(len(key).to_bytes(8, "big"), digest_size=DIGEST_BYTES)
    hashed.update(key)
    hashed.update(value)
    return int.from_bytes(hashed.digest(), "big")


def of_records(records: collections.abc.Iterable[tuple[bytes, bytes]]) -> int:
    """Return the digest of records.

    >>> of_records([(b"a", b"1"), (b"b", b"2")]) == of_records([(b"b", b"2"), (b"a", b"1")])
    True
    """
    digest = 0
    for key, value in records:
        digest ^= of_record(key, value)
    return digest


def encode(transaction: int, digest: int) -> bytes:
    """Return the record that a transaction writes."""
    return msgspec.msgpack.encode(StoredDigest(transaction, digest.to_bytes(DIGEST_BYTES, "big")))


def is_contradicted(records: collections.abc.Mapping[bytes, bytes], last_transaction: int) -> bool:
    """Whether the records are others than those that the last transaction left.

    >>> good = {b"a": b"1", KEY: encode(7, of_record(b"a", b"1"))}
    >>> is_contradicted(good, 7), is_contradicted(good | {b"a": b"2"}, 7), is_contradicted(good | {b"a": b"2"}, 8)
    (False, True, False)
    """
    if KEY not in records:
        return False
    try:
        stored = msgspec.msgpack.decode(records[KEY], type=StoredDigest)
    except msgspec.MsgspecError:
        return True
    if stored.transaction != last_transaction:
        return False
    others = ((key, value) for key, value in records.items() if key != KEY)
    return int.from_bytes(stored.digest, "big") != of_records(others)
