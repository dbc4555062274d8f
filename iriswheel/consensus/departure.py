"""Whether a core machine that leaves may stop: not before the others can go on without it."""

from __future__ import annotations

import typing

from iriswheel.consensus import decisions
from iriswheel.transport import message

if typing.TYPE_CHECKING:
    from iriswheel.consensus import acceptor, peer_heartbeats


def is_still_needed(view_acceptor: acceptor.Acceptor, heartbeats: peer_heartbeats.PeerHeartbeats) -> bool:
    """Whether this machine should stay while it leaves.

    It should until there is a chain without it, of which as many replicas as make a majority of
    the voters have shown that they are synced: before that it may hold the only synced copy, or be
    the voter without whom nothing can be agreed. Where all voters leave, the whole fleet
    stops, and nobody is left to take over.
    """
    view = view_acceptor.view
    if view is None:
        return False
    own_id = view_acceptor.own_voter.id
    is_replica = message.ChainReplica(own_id, view_acceptor.runtime.incarnation) in view.chain
    if not is_replica and not view_acceptor.record.synced_view:
        return False
    other_ids = [voter.id for voter in view.voters if voter.id != own_id]
    others = [
        heartbeats.received[identifier].heartbeat for identifier in other_ids if identifier in heartbeats.received
    ]
    if len([heartbeat for heartbeat in others if heartbeat.leaving]) == len(other_ids):
        return False
    replica_ids = {replica.id for replica in view.chain}
    alive = heartbeats.alive()
    synced = [
        heartbeat
        for heartbeat in others
        if heartbeat.id in replica_ids and heartbeat.synced_view == view.number and heartbeat.id in alive
    ]
    return is_replica or len(synced) < decisions.majority(len(view.voters))


def holds_only_copy(view_acceptor: acceptor.Acceptor, heartbeats: peer_heartbeats.PeerHeartbeats) -> bool:
    """Whether others go on, and none of them is known to hold what this machine's copy holds."""
    view = view_acceptor.view
    if view is None or not view_acceptor.is_synced():
        return False
    others = set(heartbeats.alive()) - {view_acceptor.own_voter.id}
    replica_ids = {replica.id for replica in view.chain}
    return bool(others) and not others & replica_ids & heartbeats.known_synced(view)
