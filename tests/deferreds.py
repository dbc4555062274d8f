"""Typed access to the results of Twisted's deferreds."""

from typing import TypeVar, cast

from twisted.internet import defer

Result = TypeVar("Result")


def result_of(deferred: defer.Deferred[Result]) -> Result:
    """The result of a deferred, which must have fired already.

    >>> result_of(defer.succeed(7))
    7
    """
    assert deferred.called
    return cast(Result, deferred.result)
