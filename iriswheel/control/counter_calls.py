"""Parsing and validation of clients' requests to the replicated counters."""

from __future__ import annotations

import typing
import urllib.parse

from iriswheel import errors
from iriswheel.replicated_counters import counter_state

MAX_NAME_CHARACTERS = 256
MAX_ID_CHARACTERS = 128
MAX_AMOUNT = 1 << 53  # larger integers lose precision in JSON parsers that use doubles
ADD_FIELDS = ("id", "amount")


class AddCall(typing.NamedTuple):
    """A client's request to add an amount to a counter."""

    call_id: counter_state.CallId
    amount: int


def parse_name(quoted: str) -> str:
    """Parse the name of a counter from the path segment that holds it.

    Raises:
        errors.ServiceError: `bad_request`, if it is not a valid name.

    >>> parse_name("a%20b")
    'a b'
    """
    try:
        name = urllib.parse.unquote(quoted, errors="strict")
    except UnicodeDecodeError:
        raise errors.ServiceError("bad_request", "The counter's name is not UTF-8.", field="path") from None
    if not 0 < len(name) <= MAX_NAME_CHARACTERS:
        raise errors.ServiceError(
            "bad_request", "The counter's name is empty or exceeds the maximum length.", field="path"
        )
    return name


def make_add(quoted_name: str, identifier: object, amount: object, amount_field: str = "amount") -> AddCall:
    """Validate the values of an add request, which may have any type.

    Raises:
        errors.ServiceError: `bad_request`, if a value is invalid.

    >>> make_add("n", "x", 4)
    AddCall(call_id=CallId(name='n', id='x'), amount=4)
    """
    if not isinstance(identifier, str) or not 0 < len(identifier) <= MAX_ID_CHARACTERS:
        raise errors.ServiceError(
            "bad_request", "The id must be a string, neither empty nor above the maximum length.", field="id"
        )
    if type(amount) is not int or abs(amount) > MAX_AMOUNT:
        raise errors.ServiceError(
            "bad_request", "The amount must be an integer within the allowed range.", field=amount_field
        )
    return AddCall(counter_state.CallId(parse_name(quoted_name), identifier), amount)


def parse_add(quoted_name: str, document: typing.Any) -> AddCall:  # noqa: ANN401 - any JSON value
    """Parse the body of an add request.

    Raises:
        errors.ServiceError: `bad_request`, if the body is not a valid add request.

    >>> parse_add("n", {"id": "x", "amount": 4}).amount
    4
    """
    if type(document) is not dict:
        raise errors.ServiceError("bad_request", "An add request must be an object with id and amount.", field="body")
    for field in document:
        if field not in ADD_FIELDS:
            raise errors.ServiceError("bad_request", "Unknown field.", field=field)
    return make_add(quoted_name, document.get("id"), document.get("amount"))
