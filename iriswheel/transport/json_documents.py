"""Decoding of JSON documents that anyone may send, with bounds on what their values may hold."""

from __future__ import annotations

import typing

import msgspec

MAX_DEPTH = 100  # levels of nesting; code that later reads the value recursively has less of the stack left
MAX_CONTAINERS = 100_000  # lists and objects in one document, each of which takes many times its bytes in the body


def parse(raw: bytes) -> typing.Any:  # noqa: ANN401 - any JSON value
    """Decode JSON that can be stored and sent on as msgpack; raises ValueError for all other bytes.

    JSON is refused too if it has an integer beyond 64 bits, an infinity or NaN, a lone surrogate, more than
    MAX_DEPTH nested lists and objects, or more than MAX_CONTAINERS brackets or braces that open.

    >>> parse(b'{"a": [1.5]}')
    {'a': [1.5]}
    >>> parse(b"[" * 101 + b"]" * 101)
    Traceback (most recent call last):
    ...
    ValueError: nested more than 100 deep
    """
    if raw.count(b"{") + raw.count(b"[") > MAX_CONTAINERS:
        raise ValueError(f"more than {MAX_CONTAINERS} lists and objects")
    try:
        document = msgspec.json.decode(raw)
        msgspec.msgpack.encode(document)
    except (msgspec.MsgspecError, RecursionError, OverflowError) as error:
        raise ValueError(str(error)) from error
    level = [document]
    for _ in range(MAX_DEPTH + 1):
        containers = [value for value in level if isinstance(value, dict | list)]
        if not containers:
            return document
        level = [
            value
            for container in containers
            for value in (container.values() if isinstance(container, dict) else container)
        ]
    raise ValueError(f"nested more than {MAX_DEPTH} deep")
