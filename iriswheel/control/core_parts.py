"""The shared parts of a core machine, which most other parts depend on."""

from __future__ import annotations

import typing

if typing.TYPE_CHECKING:
    import iriswheel.transport.peers as peers_module
    from iriswheel.consensus import view_consensus
    from iriswheel.control import reports
    from iriswheel.membership import lease, membership_manager
    from iriswheel.replication import chain
    from iriswheel.runtime import scheduler
    from iriswheel.transport import message


class CoreParts(typing.NamedTuple):
    """References to the shared parts; each part owns its state."""

    runtime: scheduler.Runtime
    peers: peers_module.Peers
    chain: chain.Chain
    consensus: view_consensus.ViewConsensus
    membership: membership_manager.MembershipManager
    lease: lease.CoreLease  # granted by the tail; the base of the leases granted to nodes
    node_reports: reports.NodeReports

    def voters(self) -> list[message.Voter]:
        """The core machines that are voters of the newest known view."""
        view = self.consensus.view
        return list(view.voters) if view is not None else []

    def voter_of(self, replica: message.ChainReplica) -> message.Voter:
        """The voter, with its address, that runs a replica of the current chain."""
        voter = self.consensus.voter(replica.id)
        assert voter is not None  # all replicas of a chain are voters of its view
        return voter
