"""Intervals, timeouts and lease times that the modules of view consensus share, in microseconds."""

from __future__ import annotations

from iriswheel.runtime import units

LEASE_US = 1_500 * units.MILLISECOND_US
"""How long a voter's grant of the read lease binds that voter, on its own clock."""

CLOCK_DRIFT_US = 150 * units.MILLISECOND_US
"""How much earlier than the voters' grants the tail ends its lease, since clocks do not run at the same rate."""

LEASE_RENEWAL_INTERVAL_US = 300 * units.MILLISECOND_US

HEARTBEAT_INTERVAL_US = 250 * units.MILLISECOND_US

PEER_TIMEOUT_US = 1_300 * units.MILLISECOND_US
"""A core machine that was not heard for this time counts as dead."""

VOTER_REPLACEMENT_US = 1_500 * units.MILLISECOND_US
"""A machine that is not a voter yet may replace a voter that was not heard for this time."""

PROPOSER_RANK_DELAY_US = 300 * units.MILLISECOND_US
"""How much longer each live voter waits before it proposes than the one listed before it, so that proposals rarely
collide."""

VIEW_CHECK_INTERVAL_US = 200 * units.MILLISECOND_US

VIEW_CHECK_JITTER_US = 50 * units.MILLISECOND_US
"""Upper limit of the random time that is added to VIEW_CHECK_INTERVAL_US."""

FIRST_VIEW_TIMEOUT_US = 1 * units.SECOND_US
"""Time without a first view after which the machine that makes it is told of the first start, again and again."""

CALL_TIMEOUT_US = 1 * units.SECOND_US

LEASE_CALL_TIMEOUT_US = 500 * units.MILLISECOND_US

DEAD_PEER_CALL_TIMEOUT_US = 150 * units.MILLISECOND_US
"""Timeout of a call to a machine that counts as dead: it is called since it may be back, but must not hold up the
others."""
