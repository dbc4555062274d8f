"""Results of Twisted's deferreds, with their types."""

from typing import TypeVar, cast

from twisted.internet import defer

Result = TypeVar("Result")


def result_of(deferred: defer.Deferred[Result]) -> Result:
    """The result of a deferred that has fired.

    >>> result_of(defer.succeed(7))
    7
    """
    assert deferred.called
    return cast(Result, deferred.result)
