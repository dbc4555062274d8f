"""Waiting, before the reactor runs, for something that the start of a process needs and that is not available yet."""

from __future__ import annotations

import collections.abc
import time
import typing

import loguru

from iriswheel.runtime import scheduler, units

Result = typing.TypeVar("Result")

RETRY_INTERVAL_US = 100 * units.MILLISECOND_US
LOG_INTERVAL_US = 10 * units.SECOND_US  # between two log lines about one wait

log = loguru.logger.bind(part="main")


def wait_for(
    attempt: collections.abc.Callable[[], Result],
    error_type: type[Exception],
    timeout_us: int,
    *,
    now: collections.abc.Callable[[], int] = scheduler.boottime,
    sleep: collections.abc.Callable[[float], object] = time.sleep,
) -> Result:
    """Call a function until it succeeds, and return its result; blocks the calling thread.

    Args:
        attempt: Called every RETRY_INTERVAL_US. After an error it must have released all that it had acquired.
        error_type: The error by which it reports that something is not available.
        timeout_us: The time after which its error is raised, in microseconds.
        now: The clock, in microseconds.
        sleep: Sleeps for some seconds.

    Raises:
        Exception: The last error, of error_type; errors of other types are raised at once.

    >>> results = [OSError("taken"), OSError("taken"), None]
    >>> def bind():
    ...     error = results.pop(0)
    ...     if error:
    ...         raise error
    ...     return "bound"
    >>> wait_for(bind, OSError, 1_000_000, now=lambda: 0, sleep=lambda seconds: None)
    'bound'
    """
    begun_at = now()
    logged_at: int | None = None
    while True:
        try:
            result = attempt()
        except error_type as error:
            waited_us = now() - begun_at
            if waited_us >= timeout_us:
                raise
            if logged_at is None or now() - logged_at >= LOG_INTERVAL_US:
                logged_at = now()
                log.warning("The process waits to start, for {} s so far: {}", waited_us // units.SECOND_US, error)
        else:
            if logged_at is not None:
                log.info("The process goes on with its start after {} ms.", (now() - begun_at) // units.MILLISECOND_US)
            return result
        sleep(RETRY_INTERVAL_US / units.SECOND_US)
