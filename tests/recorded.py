"""Recorded bytes of messages and records: reading the recordings, and building values by tag and position.

Nothing here names a message class or a field: messages are found by their tag on the wire, fields by their position,
so that a renamed class or field needs no change here.
"""

import json
import pathlib
import typing

import msgspec

Struct = typing.TypeVar("Struct", bound=msgspec.Struct)

DATA = pathlib.Path(__file__).parent / "data"


def to_plain(value: object) -> object:
    """Convert untyped msgpack content to JSON values; bytes become {"hex": ...}.

    >>> to_plain([b"ab", {"a": b""}])
    [{'hex': '6162'}, {'a': {'hex': ''}}]
    """
    match value:
        case bytes():
            return {"hex": value.hex()}
        case list() | tuple():
            return [to_plain(item) for item in value]
        case dict():
            return {key: to_plain(item) for key, item in value.items()}
    return value


def from_plain(value: object) -> typing.Any:  # noqa: ANN401 - nested JSON values
    """Convert JSON values back to msgpack content: the inverse of `to_plain`.

    >>> from_plain([{"hex": "6162"}, 7])
    [b'ab', 7]
    """
    match value:
        case {"hex": str(text), **rest} if not rest:
            return bytes.fromhex(text)
        case list():
            return [from_plain(item) for item in value]
        case dict():
            return {key: from_plain(item) for key, item in value.items()}
    return value


def load(name: str) -> typing.Any:  # noqa: ANN401 - nested JSON values
    """Read a recording from the data folder."""
    return json.loads((DATA / name).read_text())


def save(name: str, sections: dict[str, typing.Any]) -> None:
    """Write a recording, with one record per line."""
    parts = []
    for section, records in sections.items():
        lines = ",\n".join(f"  {json.dumps(key)}: {json.dumps(record)}" for key, record in sorted(records.items()))
        parts.append(f" {json.dumps(section)}: {{\n{lines}\n }}")
    (DATA / name).write_text("{\n" + ",\n".join(parts) + "\n}\n")


def struct_types(root: object) -> dict[str, msgspec.inspect.StructType]:
    """Return all tagged structs that a type contains, at any depth, by their tag."""
    found: dict[str, msgspec.inspect.StructType] = {}
    _collect(msgspec.inspect.type_info(root), found, set())
    return found


def _collect(info: msgspec.inspect.Type, found: dict[str, msgspec.inspect.StructType], seen: set[type]) -> None:
    if isinstance(info, msgspec.inspect.StructType):
        if info.cls in seen:
            return
        seen.add(info.cls)
        if isinstance(info.tag, str):
            found[info.tag] = info
        for field in info.fields:
            _collect(field.type, found, seen)
    for name in ("item_type", "key_type", "value_type"):
        if hasattr(info, name):
            _collect(getattr(info, name), found, seen)
    for name in ("types", "item_types"):
        for inner in getattr(info, name, ()):
            _collect(inner, found, seen)


def build(cls: type[Struct], values: list[typing.Any]) -> Struct:
    """Build a struct from plain values by position; the fields after the last value get their defaults.

    A struct without a tag is encoded as the array of its values, which a field of type `Raw` can only be decoded from.
    """
    if cls.__struct_config__.array_like and cls.__struct_config__.tag is None:
        return msgspec.msgpack.decode(msgspec.msgpack.encode(values), type=cls)
    hints = [field.type for field in msgspec.structs.fields(cls)]
    return cls(*(msgspec.convert(value, hint) for value, hint in zip(values, hints, strict=False)))


class Sampler:
    """Makes a sample value for every field of a struct, different from the default and from the other values.

    >>> class Example(msgspec.Struct, array_like=True):
    ...     name: str
    ...     parts: list[int]
    >>> Sampler().plain(msgspec.inspect.type_info(Example))
    ['text 1', [502, 70002]]
    """

    INTEGERS = (1, 500, 70_000, 5_000_000_000)  # one for each encoded size of msgpack

    def __init__(self) -> None:
        self.count = 0

    def plain(self, info: msgspec.inspect.Type) -> typing.Any:  # noqa: ANN401, PLR0911 - a return for each kind of type
        """Return a sample value of a type, as plain data.

        >>> Sampler().plain(msgspec.inspect.type_info(dict[str, int]))
        {'text 1': 502}
        """
        inspect = msgspec.inspect
        self.count += 1
        match info:
            case inspect.StructType():
                self.count -= 1
                tag = [info.tag] if info.tag is not None else []
                return tag + [self.field(field) for field in info.fields]
            case inspect.NamedTupleType():
                self.count -= 1
                return [self.field(field) for field in info.fields]
            case inspect.UnionType():
                self.count -= 1
                return self.plain(next(inner for inner in info.types if not isinstance(inner, inspect.NoneType)))
            case inspect.ListType():
                self.count -= 1
                return [self.plain(info.item_type), self.plain(info.item_type)]
            case inspect.TupleType():
                self.count -= 1
                return [self.plain(inner) for inner in info.item_types]
            case inspect.DictType():
                self.count -= 1
                return {self.plain(info.key_type): self.plain(info.value_type)}
        return self._scalar(info)

    def _scalar(self, info: msgspec.inspect.Type) -> object:
        inspect = msgspec.inspect
        match info:
            case inspect.IntType():
                return self.INTEGERS[(self.count - 1) % len(self.INTEGERS)] + self.count - self.count % 2
            case inspect.StrType():
                return f"text {self.count}"
            case inspect.BoolType():
                return True
            case inspect.BytesType():
                return bytes([0, 255, self.count % 256])
            case inspect.AnyType():
                return {"any": [self.count, None, "text", True, 0.5, {}]}
        raise TypeError(f"no sample for {info}")

    def field(self, field: msgspec.inspect.Field) -> object:
        """Return a sample value of a field, as plain data; False for a field that is True by default."""
        return False if field.default is True else self.plain(field.type)
