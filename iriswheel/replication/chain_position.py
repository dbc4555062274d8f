"""The position of this replica in the chain of the newest view, according to view consensus."""

from __future__ import annotations

import typing

from iriswheel.consensus import decisions

if typing.TYPE_CHECKING:
    from iriswheel.consensus import view_consensus
    from iriswheel.transport import message


class ChainPosition:
    """The position of this replica in the chain; `consensus` is assigned once, before the first view is installed."""

    consensus: view_consensus.ViewConsensus

    def is_synced(self) -> bool:
        """Whether this replica holds every entry that was acknowledged before the newest view."""
        return decisions.is_synced(self.consensus.record)

    def index_in(self, view_number: int) -> int | None:
        """This replica's index in the chain of a view, 0 at the head; None if it does not serve in that view."""
        view = self.consensus.view
        if view is None or not self.consensus.is_serving(view_number):
            return None
        return [replica.id for replica in view.chain].index(self.consensus.own_voter.id)

    def has_predecessor_in(self, view_number: int) -> bool:
        """Whether this replica serves in a view and is not its head."""
        return bool(self.index_in(view_number))

    def serves_in(self, view_number: int) -> bool:
        """Whether this replica serves in a view: it is in its chain, and the view is the newest and not sealed."""
        return self.index_in(view_number) is not None

    def is_tail_of(self, view_number: int) -> bool:
        """Whether this replica is the tail of a view's chain."""
        view = self.consensus.view
        return view is not None and self.index_in(view_number) == len(view.chain) - 1

    def successor_in(self, view: message.View) -> message.Voter | None:
        """The next replica towards the tail; None if this replica is the tail or does not serve in the view."""
        index = self.index_in(view.number)
        if index is None or index == len(view.chain) - 1:
            return None
        return self.consensus.voter(view.chain[index + 1].id)

    def has_enough_copies(self, view: message.View) -> bool:
        """Whether the chain of a view has as many replicas as must hold a change before it is acknowledged."""
        return len(view.chain) >= self.consensus.required_copies
