"""What a core machine takes from the tail's heartbeats."""

import types
from typing import Any
from unittest import mock

import pytest

from iriswheel.consensus import decisions
from iriswheel.control import tail_contact
from iriswheel.membership import lease
from iriswheel.transport import message

SECOND = 1_000_000
BEFORE_THE_REBOOT = 900 * SECOND  # on a clock that has begun anew since


class Consensus:
    """The agreed view, and whether this incarnation is a replica of its chain."""

    def __init__(self, incarnation: str) -> None:
        self.view = message.View(4, [], [message.ChainReplica("a", "old"), message.ChainReplica("b", "x")])
        self.incarnation = incarnation

    def is_replica(self) -> bool:
        """Whether the machine "a" runs in the incarnation that the view names."""
        return decisions.is_replica(decisions.Record(self.view), "a", self.incarnation)


def contact_of(incarnation: str) -> tail_contact.TailContact:
    """The contact of the machine "a" with the tail, 5 s after the machine booted."""
    parts: Any = types.SimpleNamespace(
        runtime=types.SimpleNamespace(now=lambda: 5 * SECOND),
        consensus=Consensus(incarnation),
        lease=lease.CoreLease(2 * SECOND),
        node_reports=mock.Mock(),
        membership=mock.Mock(),
        chain=mock.Mock(),
    )
    return tail_contact.TailContact(parts, lambda: None)


def heartbeat(echo: int) -> message.TailHeartbeat:
    """A heartbeat of the tail of view 4 with the time of the newest report that it has from "a"."""
    return message.TailHeartbeat(
        view=4, index=7, applied_by_all=7, sessions=1, membership=None, listing_unchanged=None, echo=echo
    )


# A machine that had rebooted believed that the tail had answered it, far in the future of its new clock: it would have
# granted leases to nodes that the tail did not wait for.
def test_an_echo_of_a_report_from_before_the_restart_renews_no_lease() -> None:
    contact = contact_of("new")
    contact.receive(heartbeat(BEFORE_THE_REBOOT))
    assert (contact.parts.lease.expires_at_us, contact.has_recent_answer()) == (0, False)


def test_committed_entries_are_still_learned_from_such_a_heartbeat() -> None:
    contact = contact_of("new")
    contact.receive(heartbeat(BEFORE_THE_REBOOT))
    chain: Any = contact.parts.chain
    chain.commit.assert_called_once_with(7)
    assert contact.applied_by_all == 7


@pytest.mark.parametrize(("echo", "expires_at_us"), [(4 * SECOND, 6 * SECOND), (0, 0)])
def test_an_echo_of_this_incarnations_report_renews_the_lease(echo: int, expires_at_us: int) -> None:
    contact = contact_of("old")
    contact.receive(heartbeat(echo))
    assert (contact.parts.lease.expires_at_us, contact.has_recent_answer()) == (expires_at_us, bool(echo))
