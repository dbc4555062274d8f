"""This replica's place in the chain of the newest view, as view consensus has it."""

from __future__ import annotations

import typing

from iriswheel.consensus import decisions

if typing.TYPE_CHECKING:
    from iriswheel.consensus import view_consensus
    from iriswheel.transport import message


class ChainPosition:
    """Where this replica is in the chain; `consensus` is set once, before the first view."""

    consensus: view_consensus.ViewConsensus

    def is_synced(self) -> bool:
        """Whether this copy holds all that was acknowledged before the newest view."""
        return decisions.is_synced(self.consensus.record)

    def index_in(self, view_number: int) -> int | None:
        """This replica's place in the numbered view's chain, 0 at the head; None where it does not serve in it."""
        view = self.consensus.view
        if view is None or not self.consensus.is_serving(view_number):
            return None
        return [replica.id for replica in view.chain].index(self.consensus.own_voter.id)

    def has_predecessor_in(self, view_number: int) -> bool:
        """Whether this replica serves in the numbered view behind another one: it is not the head."""
        return bool(self.index_in(view_number))

    def serves_in(self, view_number: int) -> bool:
        """Whether this replica serves in the numbered view."""
        return self.index_in(view_number) is not None

    def is_tail_of(self, view_number: int) -> bool:
        """Whether this replica is the tail of the numbered view's chain."""
        view = self.consensus.view
        return view is not None and self.index_in(view_number) == len(view.chain) - 1

    def successor_in(self, view: message.View) -> message.Voter | None:
        """The next replica towards the tail, or None at the tail or outside the chain."""
        index = self.index_in(view.number)
        if index is None or index == len(view.chain) - 1:
            return None
        return self.consensus.voter(view.chain[index + 1].id)

    def has_enough_copies(self, view: message.View) -> bool:
        """Whether a chain is long enough to acknowledge changes."""
        return len(view.chain) >= self.consensus.required_copies
