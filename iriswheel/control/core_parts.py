"""The parts of a core machine that most of its other parts use."""

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
    """References only: each part owns its state."""

    runtime: scheduler.Runtime
    peers: peers_module.Peers
    chain: chain.Chain
    consensus: view_consensus.ViewConsensus
    membership: membership_manager.MembershipManager
    lease: lease.CoreLease  # from the tail; what it passes on to nodes
    node_reports: reports.NodeReports

    def voters(self) -> list[message.Voter]:
        """The core machines as far as they are known."""
        view = self.consensus.view
        return list(view.voters) if view is not None else []

    def voter_of(self, replica: message.ChainReplica) -> message.Voter:
        """The address of a replica of the present view's chain."""
        voter = self.consensus.voter(replica.id)
        assert voter is not None  # all replicas of a chain are voters of its view
        return voter
