"""The states of the state search: a few core machines and the messages between them.

A state holds the disk, memory and faults of each machine, the messages in flight, the views that were agreed and the
changes that were acknowledged.
"""

from __future__ import annotations

import typing

import msgspec

from iriswheel.consensus import decisions, view_formation
from iriswheel.transport import message

replace = msgspec.structs.replace

Item = typing.TypeVar("Item")


class ViolationError(Exception):
    """A state violates an invariant."""


class Proposal(msgspec.Struct, frozen=True, array_like=True):
    """A proposal of a new view that is not decided yet."""

    ballot: tuple[int, str]
    voters: list[message.Voter]  # of the proposed view
    view: message.View | None = None  # the proposed view, once a majority has promised


class Core(msgspec.Struct, frozen=True, array_like=True):
    """One core machine: the content of its disk and memory, and the faults it suffers from."""

    identifier: str
    index: int  # in World.cores
    identities: int = 1  # count of identities used so far: a machine gets a new one when it loses its disk
    incarnation_number: int = 1  # incremented at each restart
    up: bool = True
    cut: bool = False  # cut off from all other machines
    leaving: bool = False  # about to be stopped as planned
    settled: bool = True  # False from a fault until the machine is a synced member of the newest chain again
    stale_disk: bool = False  # the log may lack acknowledged entries, as the machine restarted with an older disk
    record: decisions.Record = decisions.Record()
    log: tuple[tuple[int, int], ...] = ()  # (number of the view it was written in, index) of each entry
    holder: str | None = None  # id of the tail that holds this voter's unexpired lease grant
    supporters: tuple[str, ...] = ()  # ids of the voters whose grants make up this tail's lease
    ballot: int = 0
    proposal: Proposal | None = None

    @property
    def view(self) -> message.View:
        """The newest view that the machine knows.

        Raises:
            ValueError: The machine knows no view, as after the loss of its disk.
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
        """The incarnation as a text, as in `message.ChainReplica`."""
        return str(self.incarnation_number)

    @property
    def lost(self) -> bool:
        """Whether the machine counts as lost against the tolerance."""
        return not self.reachable or self.leaving or not self.settled

    @property
    def voter(self) -> message.Voter:
        """The machine as a voter of a view."""
        return message.Voter(self.identifier, f"host{self.index}", 1, "zone")

    @property
    def last_entry(self) -> tuple[int, int]:
        """The newest entry of the log; (0, 0) if the log is empty."""
        return self.log[-1] if self.log else (0, 0)


class Limits(msgspec.Struct, frozen=True, array_like=True):
    """How many times each kind of event may still happen."""

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
    """A snapshot that was sent to a member of a view's chain and may arrive again later."""

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
    views: tuple[message.View, ...] = ()  # every view that a core has adopted
    acknowledged: tuple[
        tuple[int, tuple[int, int]], ...
    ] = ()  # (number of the view in which it was acknowledged, entry)


class Setting(typing.NamedTuple):
    """The parameters that are the same in all states of a search."""

    tolerance: int  # machines that may be lost at once
    copies: int  # chain members that must hold a change before it may be acknowledged
    keep_identity: bool = False  # a machine with a wiped disk keeps its identity, as if this guard were removed


def start(cores: int, limits: Limits) -> World:
    """Return the initial state: all cores are synced members of view 1, and their logs are empty.

    >>> len(start(3, Limits()).cores)
    3
    """
    machines = [Core("abcdefg"[index], index) for index in range(cores)]
    voters = [core.voter for core in machines]
    view = message.View(1, voters, [message.ChainReplica(core.identifier, core.incarnation) for core in machines])
    record = decisions.Record(view, synced_view=1)
    return World(tuple(replace(core, record=record) for core in machines), limits, views=(view,))


def consume_limit(world: World, name: str) -> World | None:
    """Return the state with the limit of one kind of event reduced by one, or None if the limit is used up.

    >>> consume_limit(start(3, Limits(crashes=0)), "crashes") is None
    True
    """
    left = getattr(world.limits, name)
    return replace(world, limits=replace(world.limits, **{name: left - 1})) if left else None


def with_core(world: World, core: Core) -> World:
    """Return the state with the core of the same index replaced."""
    cores = list(world.cores)
    cores[core.index] = core
    return replace(world, cores=tuple(cores))


def with_item(items: tuple[Item, ...], item: Item) -> tuple[Item, ...]:
    """Return the sorted tuple with the item added, unless it contains it already."""
    if item in items:
        return items
    return tuple(sorted((*items, item), key=msgspec.msgpack.encode))


def core_by_identifier(world: World, identifier: str) -> Core | None:
    """Return the core that has an identity now, or None."""
    return next((core for core in world.cores if core.identifier == identifier), None)


def wanted_voters(world: World, proposer: Core) -> list[message.Voter]:
    """Return the voters that a proposer asks for: machines that are down, cut off or leaving may be replaced."""
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
    """Return the incarnations of the cores that can be chain members: reachable and not leaving."""
    return {core.identifier: core.incarnation for core in world.cores if core.reachable and not core.leaving}


def departing_cores(world: World) -> dict[str, str]:
    """Return the incarnations of the cores that are leaving and still reachable."""
    return {core.identifier: core.incarnation for core in world.cores if core.reachable and core.leaving}


def synced_in(world: World, number: int) -> set[str]:
    """Return the ids of the cores that are synced in a view."""
    return {core.identifier for core in world.cores if core.record.synced_view == number}


def is_due(world: World, core: Core) -> bool:
    """Whether a core has to propose a new view, because members, voters or a seal make the present one obsolete."""
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
    """Describe a view's chain and voters for a report."""
    chain = " ".join(member.id for member in view.chain)
    voters = " ".join(voter.id for voter in view.voters)
    return f"chain {chain}, seats {voters}"


def has_lease(core: Core) -> bool:
    """Whether a core holds the read lease, so that it serves reads."""
    leading = core.up and decisions.may_request_read_lease(core.record, core.identifier, core.incarnation)
    return leading and len(core.supporters) >= decisions.majority(len(core.view.voters))


def serves(core: Core) -> bool:
    """Whether a core is running and a member of its view's chain, and the view is not sealed."""
    return core.up and decisions.is_serving(core.record, core.identifier, core.incarnation)
