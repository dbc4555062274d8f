"""The callers' calls to replicated counters, read and checked."""

from __future__ import annotations

import typing
import urllib.parse

from iriswheel import errors
from iriswheel.replicated_counters import counter_state

MAX_NAME_CHARACTERS = 256
MAX_ID_CHARACTERS = 128
MAX_AMOUNT = 1 << 53  # beyond it JSON's numbers are not exact everywhere
ADD_FIELDS = ("id", "amount")


class AddCall(typing.NamedTuple):
    """A caller's add to a counter."""

    call_id: counter_state.CallId
    amount: int


def parse_name(quoted: str) -> str:
    """The name of a counter, from its part of the path.

    Raises:
        errors.ServiceError: `bad_request`, where it can't be a name.

    >>> parse_name("a%20b")
    'a b'
    """
    try:
        name = urllib.parse.unquote(quoted, errors="strict")
    except UnicodeDecodeError:
        raise errors.ServiceError("bad_request", "The counter's name is not UTF-8.", field="path") from None
    if not 0 < len(name) <= MAX_NAME_CHARACTERS:
        raise errors.ServiceError("bad_request", "The counter's name is empty or too long.", field="path")
    return name


def make_add(quoted_name: str, identifier: object, amount: object, amount_field: str = "amount") -> AddCall:
    """An add out of a call's values, of whatever type they are.

    Raises:
        errors.ServiceError: `bad_request`, where they make no add.

    >>> make_add("n", "x", 4)
    AddCall(call_id=CallId(name='n', id='x'), amount=4)
    """
    if not isinstance(identifier, str) or not 0 < len(identifier) <= MAX_ID_CHARACTERS:
        raise errors.ServiceError("bad_request", "The id is no text, empty or too long.", field="id")
    if type(amount) is not int or abs(amount) > MAX_AMOUNT:
        raise errors.ServiceError("bad_request", "The amount is not a whole number.", field=amount_field)
    return AddCall(counter_state.CallId(parse_name(quoted_name), identifier), amount)


def parse_add(quoted_name: str, document: typing.Any) -> AddCall:  # noqa: ANN401 - any JSON value
    """Parse an add.

    Raises:
        errors.ServiceError: `bad_request`, where the body is something else.

    >>> parse_add("n", {"id": "x", "amount": 4}).amount
    4
    """
    if type(document) is not dict:
        raise errors.ServiceError("bad_request", "An add wants id and amount.", field="body")
    for field in document:
        if field not in ADD_FIELDS:
            raise errors.ServiceError("bad_request", "Unknown field.", field=field)
    return make_add(quoted_name, document.get("id"), document.get("amount"))
