"""The queries by which a node that has lost the core learns from its peers whether and where the core serves."""

import types
from typing import Any

from twisted.internet import task

from iriswheel.node import peer_status
from iriswheel.runtime import scheduler
from iriswheel.transport import message

CORE = ("10.1.0.2", 7300)


def follower_whose_peer_answers(response: message.CoreStatusResponse) -> Any:  # noqa: ANN401 - a stand-in for a follower
    """Return a stand-in for the follower of a node with one peer."""

    async def call(_host: str, _port: int, _query: message.Message, _timeout_us: int) -> message.CoreStatusResponse:
        return response

    return types.SimpleNamespace(
        runtime=scheduler.Runtime(task.Clock(), now=lambda: 5),
        options=types.SimpleNamespace(serve_on=False),
        membership=message.Membership((1, 1), [], [], [], []),
        node=types.SimpleNamespace(peers=types.SimpleNamespace(call=call)),
        session=types.SimpleNamespace(address_hint=None),
        peers=lambda: [message.Member("n2-1", "n2", "a", "10.2.0.2", 7301, 8263)],
        apply_membership=lambda _membership: None,
    )


def test_a_peer_in_contact_with_the_core_gives_its_core_machine_as_address_hint() -> None:
    follower = follower_whose_peer_answers(message.CoreStatusResponse(True, None, CORE, 3))
    peer_status.PeerStatus(follower).query()
    assert follower.session.address_hint == CORE


def test_a_peer_that_has_lost_the_core_gives_no_address_hint() -> None:
    follower = follower_whose_peer_answers(message.CoreStatusResponse(False, None, None, 3))
    status = peer_status.PeerStatus(follower)
    status.query()
    assert follower.session.address_hint is None
    assert status.without_core(3) == {"n2-1"}
