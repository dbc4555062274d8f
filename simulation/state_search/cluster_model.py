"""The state of a few core machines, as the search of their interleavings sees it.

Disk, memory and faults of each machine, messages in flight, and what was agreed and acknowledged so far.
"""

from __future__ import annotations

import typing

import msgspec

from iriswheel.consensus import decisions, view_formation
from iriswheel.transport import message

replace = msgspec.structs.replace

Item = typing.TypeVar("Item")


class ViolationError(Exception):
    """A state that breaks an invariant."""


class Proposal(msgspec.Struct, frozen=True, array_like=True):
    """A proposal under way: its ballot, the voters it wants, and the view once promises were enough."""

    ballot: tuple[int, str]
    voters: list[message.Voter]
    view: message.View | None = None


class Core(msgspec.Struct, frozen=True, array_like=True):
    """One core machine: what is on its disk, what is in its memory, and what a fault did to it."""

    identifier: str
    index: int  # in the world's tuple of cores
    identities: int = 1
    incarnation_number: int = 1
    up: bool = True
    cut: bool = False
    leaving: bool = False
    settled: bool = True
    stale_disk: bool = False
    record: decisions.Record = decisions.Record()
    log: tuple[tuple[int, int], ...] = ()  # (view it was made in, number) of each entry
    holder: str | None = None  # who has this voter's unexpired grant
    supporters: tuple[str, ...] = ()  # whose grants this tail counts on
    ballot: int = 0
    proposal: Proposal | None = None

    @property
    def view(self) -> message.View:
        """The newest view that the machine knows.

        Raises:
            ValueError: it knows none, as after the loss of its disk.
        """
        if self.record.view is None:
            raise ValueError(f"{self.identifier} knows no view")
        return self.record.view

    @property
    def reachable(self) -> bool:
        """Whether the machine runs and is not cut off."""
        return self.up and not self.cut

    @property
    def incarnation(self) -> str:
        """The incarnation as chain members carry it."""
        return str(self.incarnation_number)

    @property
    def lost(self) -> bool:
        """Whether the machine counts as lost."""
        return not self.reachable or self.leaving or not self.settled

    @property
    def voter(self) -> message.Voter:
        """The machine's voter."""
        return message.Voter(self.identifier, f"host{self.index}", 1, "zone")

    @property
    def last_entry(self) -> tuple[int, int]:
        """The newest entry of the log."""
        return self.log[-1] if self.log else (0, 0)


class Limits(msgspec.Struct, frozen=True, array_like=True):
    """How often each event may still happen."""

    proposals: int = 2
    changes: int = 1
    crashes: int = 0
    wipes: int = 0
    cuts: int = 0
    leaves: int = 0
    power_cycles: int = 0
    stale_disks: int = 0
    leases: int = 0
    late_snapshots: int = 0


class DelayedSnapshot(msgspec.Struct, frozen=True, array_like=True):
    """A snapshot on its way to a member of a view's chain."""

    view: int
    receiver: str
    log: tuple[tuple[int, int], ...]


class World(msgspec.Struct, frozen=True, array_like=True):
    """One state of the search."""

    cores: tuple[Core, ...]
    limits: Limits
    requests: tuple[message.Prepare | message.Accept, ...] = ()
    promises: tuple[tuple[int, message.Promise], ...] = ()
    accepted: tuple[tuple[tuple[int, str], int, str], ...] = ()  # ballot, view number, acceptor
    delayed_snapshots: tuple[DelayedSnapshot, ...] = ()
    views: tuple[message.View, ...] = ()  # all that were adopted
    acknowledged: tuple[tuple[int, tuple[int, int]], ...] = ()  # view of the acknowledgement, entry


class Setting(typing.NamedTuple):
    """What stays the same over a search."""

    tolerance: int
    copies: int
    keep_identity: bool = False  # the guard on identities taken out: a wiped disk goes on under its old name


def start(cores: int, limits: Limits) -> World:
    """The first state: view 1 with all cores in it, synced and empty.

    >>> len(start(3, Limits()).cores)
    3
    """
    machines = [Core("abcdefg"[index], index) for index in range(cores)]
    voters = [core.voter for core in machines]
    view = message.View(1, voters, [message.ChainReplica(core.identifier, core.incarnation) for core in machines])
    record = decisions.Record(view, synced_view=1)
    return World(tuple(replace(core, record=record) for core in machines), limits, views=(view,))


def consume_limit(world: World, name: str) -> World | None:
    """The state with one event of a kind used up, or None where none is left.

    >>> consume_limit(start(3, Limits(crashes=0)), "crashes") is None
    True
    """
    left = getattr(world.limits, name)
    return replace(world, limits=replace(world.limits, **{name: left - 1})) if left else None


def with_core(world: World, core: Core) -> World:
    """The state with one core replaced."""
    cores = list(world.cores)
    cores[core.index] = core
    return replace(world, cores=tuple(cores))


def with_item(items: tuple[Item, ...], item: Item) -> tuple[Item, ...]:
    """A sorted tuple with one more item, kept once."""
    if item in items:
        return items
    return tuple(sorted((*items, item), key=msgspec.msgpack.encode))


def core_by_identifier(world: World, identifier: str) -> Core | None:
    """The core with an identity, or None."""
    return next((core for core in world.cores if core.identifier == identifier), None)


def wanted_voters(world: World, proposer: Core) -> list[message.Voter]:
    """The voters that a proposer wants: machines that are down, cut off or leaving may be replaced."""
    view = proposer.view
    known = {voter.id for voter in view.voters}
    staying = [core for core in world.cores if core.reachable and not core.leaving]
    joining_members = [core.voter for core in staying if core.identifier not in known]
    joining_members.sort(key=lambda voter: voter.id)
    states = {}
    for identifier in known:
        core = core_by_identifier(world, identifier)
        if core is None or not core.reachable:
            states[identifier] = decisions.VoterState(True, True)
        else:
            states[identifier] = decisions.VoterState(core.leaving, False)
    return view_formation.next_voters(
        view,
        proposer.identifier,
        leaving=proposer.leaving,
        joining_members=joining_members,
        states=states,
        size=len(world.cores),
    )


def live_cores(world: World) -> dict[str, str]:
    """The cores that can be members of a chain, with their incarnations."""
    return {core.identifier: core.incarnation for core in world.cores if core.reachable and not core.leaving}


def departing_cores(world: World) -> dict[str, str]:
    """The cores that leave and are not down yet, with their incarnations."""
    return {core.identifier: core.incarnation for core in world.cores if core.reachable and core.leaving}


def synced_in(world: World, number: int) -> set[str]:
    """The cores that are synced in a view."""
    return {core.identifier for core in world.cores if core.record.synced_view == number}


def is_due(world: World, core: Core) -> bool:
    """Whether a core has a reason to propose a view."""
    if not core.reachable or not decisions.is_voter(core.record, core.identifier):
        return False
    view = core.view
    alive, voters = live_cores(world), wanted_voters(world, core)
    if view_formation.is_handing_over(view, alive, departing_cores(world), synced_in(world, view.number)):
        alive, voters = alive | departing_cores(world), view.voters
    voter_ids = [voter.id for voter in view.voters if voter.id in alive]
    if len(voter_ids) < decisions.majority(len(view.voters)):
        return False
    wanted = {(voter.id, alive[voter.id]) for voter in voters if voter.id in alive}
    present = {(member.id, member.incarnation) for member in view.chain}
    return wanted != present or voters != view.voters or decisions.is_sealed(core.record)


def describe(view: message.View) -> str:
    """A view's chain and voters in words."""
    chain = " ".join(member.id for member in view.chain)
    voters = " ".join(voter.id for voter in view.voters)
    return f"chain {chain}, seats {voters}"


def has_lease(core: Core) -> bool:
    """Whether a core serves reads."""
    leading = core.up and decisions.may_request_read_lease(core.record, core.identifier, core.incarnation)
    return leading and len(core.supporters) >= decisions.majority(len(core.view.voters))


def serves(core: Core) -> bool:
    """Whether a core is a member of its view's chain, unsealed."""
    return core.up and decisions.is_serving(core.record, core.identifier, core.incarnation)
