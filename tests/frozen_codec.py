"""The messages of an earlier version, commit e746a15, as types built from tests/data/messages-e746a15.json.

They share no code with the program's present messages, only the encoding. Fields are identified by position alone.
"""

import collections
import types
import typing

import msgspec

from tests import recorded

SCALARS = {"int": int, "str": str, "bool": bool, "bytes": bytes, "any": typing.Any, "none": None}


class MismatchError(Exception):
    """A frame that the messages of e746a15 can't decode, or encode to other bytes."""


class FrozenCodec:
    """Decodes and encodes frames as the program of commit e746a15 did.

    >>> FrozenCodec().repeat(bytes.fromhex("93000092a548656c6c6f03")).hex()
    '93000092a548656c6c6f03'
    """

    def __init__(self) -> None:
        schema = recorded.load("messages-e746a15.json")
        self.types: dict[str, type] = {}
        for tag, fields in schema["messages"].items():  # sorted: a message follows the messages that it contains
            self.types[tag] = self._struct(tag, fields)
        sent = self._type(["union", *(["message", tag] for tag in schema["sent"])])
        frame = msgspec.defstruct("Frame", [("a", int), ("b", int), ("c", sent)], array_like=True)
        self.decoder: msgspec.msgpack.Decoder[typing.Any] = msgspec.msgpack.Decoder(frame)
        self.seen: collections.Counter[str] = collections.Counter()  # tag -> frames
        self.failures: list[str] = []

    def _struct(self, tag: str, fields: list[dict[str, typing.Any]]) -> type:
        made: list[typing.Any] = []
        for place, field in enumerate(fields):
            hint = self._type(field["type"])
            default = (msgspec.convert(field["default"], hint),) if "default" in field else ()
            made.append((f"field_{place}", hint, *default))
        return msgspec.defstruct(f"Frozen{tag}", made, tag=tag, array_like=True, frozen=True)

    def _type(self, description: typing.Any) -> typing.Any:  # noqa: ANN401 - JSON; a type expression
        match description:
            case str():
                return SCALARS[description]
            case ["message", tag]:
                return self.types[tag]
            case ["list", item]:
                return types.GenericAlias(list, self._type(item))
            case ["dict", key, value]:
                return types.GenericAlias(dict, (self._type(key), self._type(value)))
            case ["tuple", *items]:
                return types.GenericAlias(tuple, tuple(self._type(item) for item in items))
            case ["union", *items]:
                return typing.Union[tuple(self._type(item) for item in items)]  # noqa: UP007
        raise TypeError(f"no type is described by {description}")

    def repeat(self, raw: bytes) -> bytes:
        """Decode a frame and encode it again; raises MismatchError if the result differs.

        >>> FrozenCodec().repeat(b"nonsense")
        Traceback (most recent call last):
        ...
        tests.frozen_codec.MismatchError: ...
        """
        try:
            frame = self.decoder.decode(raw)
        except msgspec.MsgspecError as error:
            raise MismatchError(f"{raw[:60]!r} can't be decoded by the messages of e746a15: {error}") from error
        again = msgspec.msgpack.encode(frame)
        if again != raw:
            raise MismatchError(f"{raw[:60]!r} is encoded as {again[:60]!r} by the messages of e746a15")
        self.seen[frame.c.__struct_config__.tag] += 1
        return again

    def passes(self, raw: bytes) -> bool:
        """Return whether a frame is unchanged by the messages of e746a15; if not, add the reason to `failures`.

        >>> FrozenCodec().passes(b"")
        False
        """
        try:
            return self.repeat(raw) == raw
        except MismatchError as error:
            self.failures.append(str(error))
            return False
