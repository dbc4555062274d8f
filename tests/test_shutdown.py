"""The time from which a node that stops refuses new requests."""

import types
from typing import Any

from twisted.internet import task

from iriswheel.node import shutdown
from iriswheel.runtime import scheduler, units

GRACE_US = 8_100 * units.MILLISECOND_US


def busy_node(clock: task.Clock) -> Any:  # noqa: ANN401 - a stand-in for a node
    """Return a stand-in for a node with one open request, whose platform has not noticed the drain."""
    return types.SimpleNamespace(
        runtime=scheduler.Runtime(clock, now=lambda: round(clock.seconds() * units.SECOND_US)),
        gateway=types.SimpleNamespace(open_requests=1, request_ended=scheduler.Signal()),
        options=types.SimpleNamespace(grace_us=GRACE_US, notice_us=units.SECOND_US),
        follower=types.SimpleNamespace(session=types.SimpleNamespace(tell=lambda _notice: None)),
        member=types.SimpleNamespace(id="n1-1"),
        drain_noticed_at_us=None,
        draining=False,
        refusing_requests=False,
        stopped=False,
    )


def test_a_draining_node_refuses_requests_exactly_from_three_seconds_on() -> None:
    clock = task.Clock()
    node = busy_node(clock)
    node.runtime.spawn(shutdown.stop_gracefully(node))
    clock.pump([0.07] * 42)
    assert not node.refusing_requests
    clock.pump([0.035] * 2)
    assert node.refusing_requests
