"""Decides when a core machine that is leaving may stop: not before the other machines can continue without it."""

from __future__ import annotations

import typing

from iriswheel.consensus import decisions
from iriswheel.transport import message

if typing.TYPE_CHECKING:
    from iriswheel.consensus import acceptor, peer_heartbeats


def is_still_needed(view_acceptor: acceptor.Acceptor, heartbeats: peer_heartbeats.PeerHeartbeats) -> bool:
    """Whether this machine, which is leaving, must keep running for now.

    It must until the chain no longer contains it, and enough replicas of that chain to make a majority of the voters
    have reported that they are synced. Before that, this machine may hold the only synced copy, or may be the voter
    without which there is no majority. If all other voters are leaving too, the whole fleet is stopping and no
    machine is left to take over, so it need not stay.
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
    """Whether this copy is synced and, as far as this machine has heard, no other live replica's copy is.

    False if no other machine is alive, since there is none to hand the copy over to.
    """
    view = view_acceptor.view
    if view is None or not view_acceptor.is_synced():
        return False
    others = set(heartbeats.alive()) - {view_acceptor.own_voter.id}
    replica_ids = {replica.id for replica in view.chain}
    return bool(others) and not others & replica_ids & heartbeats.known_synced(view)
