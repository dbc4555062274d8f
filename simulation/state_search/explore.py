"""Search every interleaving of view consensus, chain replication and read leases, up to a given depth.

python -m simulation.state_search.explore --cores 3 --depth 7
python -m simulation.state_search.explore --scenario replacement --depth 12

The transitions are those of `simulation.state_search.cluster_steps`. The search is breadth-first; states are
identified by a hash of their encoding, and each is expanded once. In each state the invariants must hold, and the
machines that are reachable in it must be able to recover.
"""

from __future__ import annotations

import collections
import hashlib
import sys
import time
import typing

import defopt
import msgspec

from iriswheel.consensus import decisions, view_formation
from iriswheel.transport import message
from simulation.state_search import cluster_model, cluster_steps

replace = msgspec.structs.replace

RECOVERY_ROUNDS = 8  # views that may be agreed before a recovery counts as failed


class Scenario(typing.NamedTuple):
    """A named search: the limits on events, and the number of cores."""

    limits: cluster_model.Limits
    cores: int = 3


SCENARIOS = {
    "ballots": Scenario(cluster_model.Limits(proposals=2, changes=0)),
    "changes": Scenario(cluster_model.Limits(proposals=2, changes=1)),
    "leases": Scenario(cluster_model.Limits(proposals=1, changes=0, leases=3)),
    "crash": Scenario(cluster_model.Limits(proposals=2, changes=1, crashes=2)),
    "replacement": Scenario(cluster_model.Limits(proposals=3, changes=1, crashes=2, wipes=2)),
    "second_loss": Scenario(cluster_model.Limits(proposals=3, changes=1, wipes=2, cuts=1)),
    "leave": Scenario(cluster_model.Limits(proposals=2, changes=1, crashes=1, leaves=1)),
    "power": Scenario(cluster_model.Limits(proposals=2, changes=1, wipes=1, power_cycles=1)),
    "late_refill": Scenario(cluster_model.Limits(proposals=1, changes=1, late_snapshots=1)),
    "stale_disk": Scenario(cluster_model.Limits(proposals=1, changes=1, crashes=1, stale_disks=1)),
    "five": Scenario(cluster_model.Limits(proposals=2, changes=1, crashes=1, wipes=2), cores=5),
    "all": Scenario(cluster_model.Limits(2, 1, 1, 1, 1, 1, 1, 0, 2)),
}


class SearchResult(typing.NamedTuple):
    """The result of a search; a violation comes with the steps that lead to it."""

    states: int
    depth: int
    complete: bool  # every state within the limits was searched
    violation: str = ""
    trace: tuple[str, ...] = ()


class BrokenInvariant(typing.NamedTuple):
    """A violated invariant, and the steps that lead to the state that violates it."""

    violation: str
    trace: tuple[str, ...]


def check_invariants(world: cluster_model.World) -> None:
    """Check that at most one tail serves reads, and that synced cores and the newest head hold what was acknowledged.

    Raises:
        ViolationError: The state violates one of these invariants.
    """
    readers = [core.identifier for core in world.cores if cluster_model.has_lease(core)]
    if len(readers) > 1:
        raise cluster_model.ViolationError(f"two tails serve reads: {' '.join(readers)}")
    for core in world.cores:
        for view, entry in world.acknowledged:
            if view <= core.record.synced_view and entry not in core.log and not core.stale_disk:
                raise cluster_model.ViolationError(
                    f"{core.identifier} is synced in view {core.record.synced_view} without acknowledged {entry}"
                )
    newest = max(world.views, key=lambda view: view.number)
    head = cluster_model.core_by_identifier(world, newest.chain[0].id)
    if head is not None and head.record.synced_view == newest.number:
        for view, entry in world.acknowledged:
            if view < newest.number and entry not in head.log:
                raise cluster_model.ViolationError(
                    f"head {head.identifier} of view {newest.number} is without acknowledged {entry}"
                )


def recover(world: cluster_model.World) -> None:
    """Check that the reachable machines can form a chain that holds all acknowledged entries.

    From this state on nothing fails any more: leases expire, messages arrive, and proposals do not compete.

    Raises:
        ViolationError: No such chain is formed within `RECOVERY_ROUNDS` views.
    """
    cores = tuple(replace(core, holder=None, supporters=()) for core in world.cores)
    world = replace(world, cores=cores)
    for _ in range(RECOVERY_ROUNDS):
        world = spread_newest_view(world)
        if is_recovered(world):
            return
        world = agree_on_next_view(world)
    raise cluster_model.ViolationError(
        "the reachable machines agreed on view after view, but none with a synced chain of all live cores"
    )


def spread_newest_view(world: cluster_model.World) -> cluster_model.World:
    """Let all reachable cores adopt the newest view that one of them knows, and replicate the log along its chain."""
    known = [core.record.view for core in world.cores if core.reachable and core.record.view is not None]
    newest = max(known, key=lambda view: view.number)
    for index in range(len(world.cores)):
        if world.cores[index].reachable:
            world = cluster_steps.adopt(world, world.cores[index], newest)
    moved = True
    while moved:
        moved = False
        for _, after in cluster_steps.replicating(world):
            world, moved = after, True
            break
    check_invariants(world)
    return world


def is_recovered(world: cluster_model.World) -> bool:
    """Whether the newest view's chain consists of exactly the live cores, and all of them are synced."""
    known = [core.record.view for core in world.cores if core.reachable and core.record.view is not None]
    view = max(known, key=lambda view: view.number)
    members = {(member.id, member.incarnation) for member in view.chain}
    if members != set(cluster_model.live_cores(world).items()):
        return False
    return all(
        cluster_model.serves(core) and decisions.is_synced(core.record)
        for core in world.cores
        if (core.identifier, core.incarnation) in members
    )


def agree_on_next_view(world: cluster_model.World) -> cluster_model.World:
    """Let the first reachable voter of the newest view complete a proposal that nothing competes with.

    Raises:
        ViolationError: No majority of voters is left, or no synced core that could head the chain.
    """
    known = [core for core in world.cores if core.reachable and decisions.is_voter(core.record, core.identifier)]
    if not known:
        raise cluster_model.ViolationError("no voter is left")
    proposer = max(known, key=lambda core: core.view.number)
    old, voters = proposer.view, cluster_model.wanted_voters(world, proposer)
    ballot = (max(core.record.promised[0] for core in known) + 1, proposer.identifier)
    before = world
    request = message.Prepare(old.number + 1, ballot, proposer.identifier)
    for index in range(len(world.cores)):
        if world.cores[index].reachable:
            world = cluster_steps.receive_prepare(world, world.cores[index], request)
    given = [answer for number, answer in world.promises if answer.ballot == ballot and number == request.number]
    given = [answer for answer in given if (request.number, answer) not in before.promises]
    if len(given) < decisions.majority(len(old.voters)):
        raise cluster_model.ViolationError(f"no majority is left of view {old.number}: {cluster_model.describe(old)}")
    view = view_formation.next_view(
        old,
        {answer.id: answer for answer in given},
        voters,
        cluster_model.live_cores(world),
        cluster_model.departing_cores(world),
    )
    if view is None:
        raise cluster_model.ViolationError(
            f"no synced copy is left that could lead after view {old.number}: {cluster_model.describe(old)}"
        )
    return cluster_steps.adopt(world, world.cores[proposer.index], view)


def state_key(world: cluster_model.World) -> bytes:
    """Return a hash that identifies a state."""
    return hashlib.blake2b(msgspec.msgpack.encode(world), digest_size=12).digest()


def recovery_key(world: cluster_model.World) -> bytes:
    """Return a hash of those parts of a state that a recovery depends on."""
    kept = [replace(core, holder=None, supporters=(), ballot=0, proposal=None, settled=True) for core in world.cores]
    return hashlib.blake2b(msgspec.msgpack.encode([kept, world.views, world.acknowledged]), digest_size=12).digest()


class Origin(typing.NamedTuple):
    """The transition by which a state was first reached."""

    before: bytes  # key of the previous state; empty for the initial state
    step: str  # description of the transition; empty for the initial state


class StateSearch:
    """A breadth-first search in progress: the states reached so far, and the queue of those not expanded yet.

    Args:
        first: The initial state.
        setting: The parameters of the search.
        recovery: Whether to check also that the machines can recover from each state.
    """

    def __init__(self, first: cluster_model.World, setting: cluster_model.Setting, recovery: bool) -> None:
        self.setting, self.recovery = setting, recovery
        self.origins = {state_key(first): Origin(b"", "")}
        self.recovered: set[bytes] = set()  # recovery keys of the states that were checked for recovery
        self.queue = collections.deque([(first, 0)])  # each state with its depth

    def run(self, depth: int, most_states: int) -> SearchResult:
        """Search up to a depth, until a number of states is reached, or until an invariant is violated."""
        level = 0
        while self.queue:
            world, level = self.queue.popleft()
            if level == depth or len(self.origins) >= most_states:
                return SearchResult(len(self.origins), level, complete=False)
            broken = self.expand(world, level)
            if broken is not None:
                return SearchResult(len(self.origins), level + 1, False, broken.violation, broken.trace)
        return SearchResult(len(self.origins), level, complete=True)

    def expand(self, world: cluster_model.World, level: int) -> BrokenInvariant | None:
        """Take all transitions out of a state; return the first violated invariant, or None."""
        here = state_key(world)
        unfinished_step: tuple[
            str, ...
        ] = ()  # the step whose next state is being visited; empty while a step is computed
        try:
            for step, after in cluster_steps.steps(world, self.setting):
                unfinished_step = (step,)
                self.visit(after, Origin(here, step), level + 1)
                unfinished_step = ()
        except cluster_model.ViolationError as violation:
            return BrokenInvariant(str(violation), (*self.steps_to(here), *unfinished_step))
        return None

    def visit(self, world: cluster_model.World, origin: Origin, level: int) -> None:
        """Check a state that a transition leads to, and queue it; a state that was visited before is skipped."""
        world = cluster_steps.without_obsolete_messages(cluster_steps.acknowledge(world, self.setting))
        key = state_key(world)
        if key in self.origins:
            return
        self.origins[key] = origin
        check_invariants(world)
        if self.recovery:
            self.check_recovery(world)
        self.queue.append((world, level))

    def check_recovery(self, world: cluster_model.World) -> None:
        """Check that the machines recover from a state, unless a state with the same recovery key was checked."""
        key = recovery_key(world)
        if key not in self.recovered:
            self.recovered.add(key)
            recover(world)

    def steps_to(self, key: bytes) -> tuple[str, ...]:
        """Return the steps from the initial state to a state."""
        steps = []
        while self.origins[key].step:
            key, step = self.origins[key]
            steps.append(step)
        return tuple(reversed(steps))


def search(
    cores: int,
    limits: cluster_model.Limits,
    depth: int,
    *,
    most_states: int = 10**9,
    keep_identity: bool = False,
    recovery: bool = True,
    first: cluster_model.World | None = None,
) -> SearchResult:
    """Search all states within the limits up to a depth, breadth-first.

    Args:
        cores: The number of cores.
        limits: How many times each kind of event may happen.
        depth: The maximum number of steps from the initial state.
        most_states: The number of states after which the search ends.
        keep_identity: Whether a machine with a wiped disk keeps its identity, as if this guard were removed.
        recovery: Whether to check also that the machines can recover from each state.
        first: The initial state; all cores in view 1 where None.

    Returns:
        The result; the first violated invariant ends the search.

    >>> search(3, cluster_model.Limits(proposals=0, changes=1), 9).complete
    True
    """
    tolerance = (cores - 1) // 2
    setting = cluster_model.Setting(tolerance, tolerance + 1, keep_identity)
    return StateSearch(first or cluster_model.start(cores, limits), setting, recovery).run(depth, most_states)


def main(*, scenario: str = "all", cores: int = 0, depth: int = 7, most_states: int = 10**9) -> None:
    """Search a scenario and print the number of states; a violation is printed with its steps, and the exit code is 1.

    :param scenario: the scenario, which limits the events that may happen
    :param cores: number of cores; 0 for that of the scenario
    :param depth: maximum number of steps from the initial state
    :param most_states: stop after this number of states
    """
    if scenario not in SCENARIOS:
        print(f"explore: unknown scenario; the scenarios are {' '.join(SCENARIOS)}", file=sys.stderr)
        sys.exit(2)
    chosen = SCENARIOS[scenario]
    started_at = time.monotonic()
    found = search(cores or chosen.cores, chosen.limits, depth, most_states=most_states)
    scope = "all states within the limits" if found.complete else f"depth {found.depth} reached"
    print(
        f"{scenario}, {cores or chosen.cores} cores: {found.states} states, {scope}, "
        f"{time.monotonic() - started_at:.0f} s"
    )
    if found.violation:
        print(f"broken: {found.violation}", *found.trace, sep="\n  ")
        sys.exit(1)


if __name__ == "__main__":
    defopt.run(main)
