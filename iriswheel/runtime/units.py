"""Durations in whole microseconds, the unit of all times in iriswheel."""

MILLISECOND_US = 1_000
SECOND_US = 1_000 * MILLISECOND_US
