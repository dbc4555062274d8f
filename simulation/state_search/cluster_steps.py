"""The transitions of the state search: messages, leases, chain replication, and faults within the tolerance.

The transitions call `iriswheel.consensus.decisions` and `view_formation`, which the real core runs too; only disk,
network and clock are modelled. A message stays in flight until its view is obsolete, so it may arrive late, twice, in
any order or never. There is no clock: a lease may expire in any state, and a voter's grant only after the lease that
it is part of.
"""

from __future__ import annotations

import collections.abc
import itertools

import msgspec

from iriswheel.consensus import decisions, view_formation
from iriswheel.transport import message
from simulation.state_search import cluster_model

replace = msgspec.structs.replace

Transitions = collections.abc.Iterator[
    tuple[str, cluster_model.World]
]  # (description of a transition, the state after it)


def receive_prepare(
    world: cluster_model.World, core: cluster_model.Core, request: message.Prepare
) -> cluster_model.World:
    """Let an acceptor receive a Prepare; a promise is put in flight."""
    replica = decisions.Replica(core.identifier, core.incarnation, True, decisions.LastEntry(*core.last_entry))
    record, answer = decisions.promise(core.record, replica, core.holder, request)
    if not answer.ok:
        return world
    world = cluster_model.with_core(world, replace(core, record=record, supporters=()))
    return replace(world, promises=cluster_model.with_item(world.promises, (request.number, answer)))


def receive_accept(
    world: cluster_model.World, core: cluster_model.Core, request: message.Accept
) -> cluster_model.World:
    """Let an acceptor receive an Accept.

    Raises:
        ViolationError: The view is chosen by this, and so is another view of the same number.
    """
    record, answer = decisions.accept(core.record, core.identifier, request)
    if not answer.ok:
        return world
    world = cluster_model.with_core(world, replace(core, record=record))
    world = replace(
        world, accepted=cluster_model.with_item(world.accepted, (request.ballot, request.view.number, core.identifier))
    )
    check_chosen(world, core.view, request)
    return world


def check_chosen(world: cluster_model.World, old: message.View, request: message.Accept) -> None:
    """Raise ViolationError if this request's view is chosen, and another view of its number is chosen or adopted."""
    number = request.view.number
    if not is_chosen(world, old, request.ballot):
        return
    accepts = [other for other in world.requests if isinstance(other, message.Accept)]
    rivals = [other.view for other in accepts if is_chosen(world, old, other.ballot)]
    for other in (*rivals, *world.views):
        if other.number == number and other != request.view:
            raise cluster_model.ViolationError(
                f"two views {number}: {cluster_model.describe(other)} and {cluster_model.describe(request.view)}"
            )


def is_chosen(world: cluster_model.World, old: message.View, ballot: tuple[int, str]) -> bool:
    """Whether a majority of a view's voters accepted the successor view that was proposed under a ballot."""
    voters = [identifier for made, number, identifier in world.accepted if (made, number) == (ballot, old.number + 1)]
    return len(voters) >= decisions.majority(len(old.voters))


def adopt(world: cluster_model.World, core: cluster_model.Core, view: message.View) -> cluster_model.World:
    """Let a core adopt an agreed view.

    Raises:
        ViolationError: Another view of the same number was adopted before.
    """
    for other in world.views:
        if other.number == view.number and other != view:
            raise cluster_model.ViolationError(
                f"two views {view.number}: {cluster_model.describe(other)} and {cluster_model.describe(view)}"
            )
    record = decisions.adopt(core.record, core.identifier, view)
    if record is core.record:
        return world
    world = cluster_model.with_core(world, replace(core, record=record, supporters=(), proposal=None))
    return replace(world, views=cluster_model.with_item(world.views, view))


def proposing(world: cluster_model.World) -> Transitions:
    """Each core that has to propose a new view starts a proposal."""
    for core in world.cores:
        used = cluster_model.consume_limit(world, "proposals")
        if used is None or not cluster_model.is_due(world, core):
            continue
        ballot = (max(core.ballot, core.record.promised[0]) + 1, core.identifier)
        proposal = cluster_model.Proposal(ballot, cluster_model.wanted_voters(world, core))
        yield f"{core.identifier} proposes {ballot}", _propose(used, core, proposal)


def suspecting(world: cluster_model.World) -> Transitions:
    """A voter proposes though nothing has failed, as it receives no heartbeats; any cores may answer its proposal."""
    for core in world.cores:
        used = cluster_model.consume_limit(world, "proposals")
        if used is None or not core.reachable or not decisions.is_voter(core.record, core.identifier):
            continue
        if cluster_model.is_due(world, core):
            continue
        ballot = (max(core.ballot, core.record.promised[0]) + 1, core.identifier)
        proposal = cluster_model.Proposal(ballot, core.view.voters)
        yield f"{core.identifier} receives no heartbeats and proposes {ballot}", _propose(used, core, proposal)


def _propose(
    world: cluster_model.World, core: cluster_model.Core, proposal: cluster_model.Proposal
) -> cluster_model.World:
    """Let a core send a Prepare, and receive its own Prepare at once."""
    proposer = replace(core, ballot=proposal.ballot[0], proposal=proposal)
    request = message.Prepare(core.view.number + 1, proposal.ballot, core.identifier)
    after = replace(cluster_model.with_core(world, proposer), requests=cluster_model.with_item(world.requests, request))
    return receive_prepare(after, proposer, request)


def delivering(world: cluster_model.World) -> Transitions:
    """Any Prepare or Accept in flight arrives at any reachable core."""
    for request, core in itertools.product(world.requests, world.cores):
        if not core.reachable:
            continue
        match request:
            case message.Prepare():
                after = receive_prepare(world, core, request)
                label = f"{core.identifier} promises {request.ballot}"
            case message.Accept():
                after = receive_accept(world, core, request)
                label = f"{core.identifier} accepts {request.ballot}: {cluster_model.describe(request.view)}"
        if after is not world:
            yield label, after


def choosing(world: cluster_model.World) -> Transitions:
    """A proposer ends the prepare phase with any majority of the promises for its ballot."""
    for core in world.cores:
        proposal = core.proposal
        if not core.up or proposal is None or proposal.view is not None:
            continue
        old = core.view
        answers = [
            answer for number, answer in world.promises if number == old.number + 1 and answer.ballot == proposal.ballot
        ]
        for count in range(decisions.majority(len(old.voters)), len(answers) + 1):
            for chosen in itertools.combinations(answers, count):
                yield from proposed_views(world, core, proposal, {answer.id: answer for answer in chosen})


def proposed_views(
    world: cluster_model.World,
    core: cluster_model.Core,
    proposal: cluster_model.Proposal,
    promises: dict[str, message.Promise],
) -> Transitions:
    """A proposer sends an Accept for a view of all live machines, or for one of the machines that promised."""
    seen: list[message.View] = []
    live_cores = cluster_model.live_cores(world)
    promised = {identifier: promise.incarnation for identifier, promise in promises.items() if identifier in live_cores}
    for alive in (live_cores, promised):
        view = view_formation.next_view(
            core.view, promises, proposal.voters, alive, cluster_model.departing_cores(world)
        )
        if view is None or view in seen:
            continue
        seen.append(view)
        request = message.Accept(proposal.ballot, view, core.identifier)
        proposer = replace(core, proposal=replace(proposal, view=view))
        after = replace(
            cluster_model.with_core(world, proposer), requests=cluster_model.with_item(world.requests, request)
        )
        after = receive_accept(after, proposer, request)
        yield (
            f"{core.identifier} asks to accept {proposal.ballot} after {'+'.join(promises)}: "
            f"{cluster_model.describe(view)}",
            after,
        )


def deciding(world: cluster_model.World) -> Transitions:
    """A proposer adopts its view once a majority has accepted it."""
    for core in world.cores:
        proposal = core.proposal
        if not core.up or proposal is None or proposal.view is None:
            continue
        if is_chosen(world, core.view, proposal.ballot):
            yield f"{core.identifier} adopts view {proposal.view.number}", adopt(world, core, proposal.view)


def learning(world: cluster_model.World) -> Transitions:
    """A core learns of a newer view that another core has adopted."""
    for core, view in itertools.product(world.cores, world.views):
        if core.reachable and decisions.newer_view(core.record, view.number) is None:
            yield f"{core.identifier} learns view {view.number}", adopt(world, core, view)


def leasing(world: cluster_model.World) -> Transitions:
    """A voter grants the tail its read lease; leases and grants expire, and grants become void.

    A grant expires only when no lease counts on it any more. It becomes void when its voter sees a new incarnation of
    the tail.
    """
    tails = [
        core
        for core in world.cores
        if core.reachable and decisions.may_request_read_lease(core.record, core.identifier, core.incarnation)
    ]
    for tail, core in itertools.product(tails, world.cores):
        used = cluster_model.consume_limit(world, "leases")
        if used is None or not core.reachable or core.identifier in tail.supporters:
            continue
        answer = decisions.grant_lease(
            core.record, core.identifier, message.LeaseRequest(tail.view.number, tail.identifier)
        )
        if answer.ok:
            after = cluster_model.with_core(used, replace(core, holder=tail.identifier))
            tail_after = after.cores[tail.index]
            after = cluster_model.with_core(
                after, replace(tail_after, supporters=cluster_model.with_item(tail_after.supporters, core.identifier))
            )
            yield f"{core.identifier} grants {tail.identifier} a lease", after
    counted = set().union(*(core.supporters for core in world.cores))
    for core in world.cores:
        if core.supporters:
            yield (
                f"the lease of {core.identifier} runs out",
                cluster_model.with_core(world, replace(core, supporters=())),
            )
        if core.holder is not None and core.identifier not in counted:
            yield f"the grant of {core.identifier} runs out", cluster_model.with_core(world, replace(core, holder=None))
        elif core.holder is not None and core.reachable and core.record.view is not None:
            holder = cluster_model.core_by_identifier(world, core.view.chain[-1].id)
            seen = holder.incarnation if holder is not None and holder.reachable else None
            if decisions.is_grant_void(core.record, core.holder, seen):
                yield (
                    f"{core.identifier} sees a new incarnation of {core.view.chain[-1].id}, and its grant is void",
                    cluster_model.with_core(world, replace(core, holder=None)),
                )


def writing(world: cluster_model.World, setting: cluster_model.Setting) -> Transitions:
    """The head appends a change to its log and syncs it to disk."""
    for core in world.cores:
        used = cluster_model.consume_limit(world, "changes")
        if used is None or not core.reachable or not cluster_model.serves(core) or not decisions.is_synced(core.record):
            continue
        view = core.view
        if view.chain[0].id == core.identifier and len(view.chain) >= setting.copies:
            entry = (view.number, core.last_entry[1] + 1)
            yield (
                f"head {core.identifier} syncs change {entry}",
                cluster_model.with_core(used, replace(core, log=(*core.log, entry))),
            )


def replicating(world: cluster_model.World) -> Transitions:
    """A synced chain member sends its log to its successor, which is synced after that."""
    for core in world.cores:
        if not core.reachable or not cluster_model.serves(core) or not decisions.is_synced(core.record):
            continue
        members = [member.id for member in core.view.chain]
        position = members.index(core.identifier) + 1
        following = cluster_model.core_by_identifier(world, members[position]) if position < len(members) else None
        if following is None or not following.reachable or not cluster_model.serves(following):
            continue
        if following.view.number != core.view.number:
            continue
        record = decisions.become_synced(following.record, core.view.number)
        if record is following.record and following.log == core.log:
            continue
        after = cluster_model.with_core(
            world, replace(following, record=record, log=core.log, stale_disk=core.stale_disk)
        )
        if record is not following.record and world.limits.late_snapshots:
            snapshot = cluster_model.DelayedSnapshot(following.view.number, following.identifier, core.log)
            after = replace(after, delayed_snapshots=cluster_model.with_item(after.delayed_snapshots, snapshot))
        yield f"{core.identifier} brings {following.identifier} up to date", after


def delivering_late_snapshots(world: cluster_model.World) -> Transitions:
    """A delayed duplicate of a snapshot arrives."""
    for snapshot in world.delayed_snapshots:
        used, core = (
            cluster_model.consume_limit(world, "late_snapshots"),
            cluster_model.core_by_identifier(world, snapshot.receiver),
        )
        if used is None or core is None or not core.reachable or not cluster_model.serves(core):
            continue
        last = snapshot.log[-1][1] if snapshot.log else 0
        if core.view.number == snapshot.view and decisions.may_restore(core.record, core.last_entry[1], last):
            after = replace(core, log=snapshot.log, record=decisions.become_synced(core.record, snapshot.view))
            yield f"a late snapshot {snapshot.log} reaches {core.identifier}", cluster_model.with_core(used, after)


def acknowledge(world: cluster_model.World, setting: cluster_model.Setting) -> cluster_model.World:
    """Acknowledge all entries in the log of a synced tail.

    Raises:
        ViolationError: The tail's view is sealed.
    """
    for core in world.cores:
        if core.up and decisions.may_commit(core.record, core.identifier, core.incarnation, setting.copies):
            known = {entry for _, entry in world.acknowledged}
            for entry in core.log:
                if entry not in known:
                    if core.record.promised != decisions.NO_BALLOT:
                        raise cluster_model.ViolationError(
                            f"{core.identifier} acknowledges {entry} in the sealed view {core.view.number}"
                        )
                    marked = cluster_model.with_item(world.acknowledged, (core.view.number, entry))
                    world = replace(world, acknowledged=marked)
    return world


def may_lose_another(world: cluster_model.World, core: cluster_model.Core, setting: cluster_model.Setting) -> bool:
    """Whether this machine may be lost without exceeding the tolerance."""
    lost = [other for other in world.cores if other.lost and other.index != core.index]
    return len(lost) < setting.tolerance


def stopped(core: cluster_model.Core) -> cluster_model.Core:
    """Return the core after it went down, without the content of its memory."""
    return replace(core, up=False, settled=False, holder=None, supporters=(), ballot=0, proposal=None)


def restarted(core: cluster_model.Core) -> cluster_model.Core:
    """Return the core after a restart with its disk; a lease that it granted before may be unexpired."""
    return replace(
        stopped(core),
        up=True,
        incarnation_number=core.incarnation_number + 1,
        leaving=False,
        holder=decisions.UNKNOWN_HOLDER,
    )


def wiped(core: cluster_model.Core, setting: cluster_model.Setting) -> cluster_model.Core:
    """Return the core after a restart with an empty disk; it gets a new identity, unless the setting forbids that."""
    identities = core.identities + 1
    identifier = core.identifier if setting.keep_identity else f"{core.identifier[0]}{identities}"
    record = decisions.Record(core.record.view) if setting.keep_identity else decisions.Record()
    return cluster_model.Core(
        identifier, core.index, identities, core.incarnation_number + 1, settled=False, record=record
    )


def failing(world: cluster_model.World, setting: cluster_model.Setting) -> Transitions:
    """Faults within the tolerance, restarts, and ends of faults."""
    for core in world.cores:
        may_fail = may_lose_another(world, core, setting)
        if core.up:
            if may_fail or core.leaving:
                yield from fault_within_limits(world, "crashes", f"{core.identifier} goes down", stopped(core))
            if may_fail and not core.cut:
                yield from fault_within_limits(
                    world, "wipes", f"{core.identifier} loses its disk", wiped(core, setting)
                )
                yield from fault_within_limits(
                    world, "cuts", f"{core.identifier} is cut off", replace(core, cut=True, settled=False)
                )
                yield from fault_within_limits(
                    world, "leaves", f"{core.identifier} leaves", replace(core, leaving=True)
                )
        else:
            yield f"{core.identifier} comes back", cluster_model.with_core(world, restarted(core))
            yield from fault_within_limits(world, "wipes", f"{core.identifier} comes back empty", wiped(core, setting))
            if core.log:
                stale = replace(restarted(core), log=core.log[:-1], stale_disk=True)
                yield from fault_within_limits(
                    world, "stale_disks", f"{core.identifier} comes back with an older disk", stale
                )
        if core.cut:
            yield f"{core.identifier} is connected again", cluster_model.with_core(world, replace(core, cut=False))
        if core.reachable and not core.settled and is_synced_in_newest_view(world, core):
            yield (
                f"{core.identifier} no longer counts as lost",
                cluster_model.with_core(world, replace(core, settled=True)),
            )
    yield from power_cycling(world, setting)


def fault_within_limits(world: cluster_model.World, kind: str, label: str, core: cluster_model.Core) -> Transitions:
    """Yield a fault if the limit of its kind is not used up."""
    used = cluster_model.consume_limit(world, kind)
    if used is not None:
        yield label, cluster_model.with_core(used, core)


def is_synced_in_newest_view(world: cluster_model.World, core: cluster_model.Core) -> bool:
    """Whether a core serves in the chain of the newest view and is synced in it."""
    newest = max(view.number for view in world.views)
    return (
        core.record.view is not None
        and core.view.number == newest
        and (cluster_model.serves(core) and decisions.is_synced(core.record))
    )


def power_cycling(world: cluster_model.World, setting: cluster_model.Setting) -> Transitions:
    """All machines restart at once, and any of them, up to the tolerance, lose their disks."""
    used = cluster_model.consume_limit(world, "power_cycles")
    if used is None or any(core.lost for core in world.cores):
        return
    for empty in range(min(setting.tolerance, world.limits.wipes) + 1):
        for indices in itertools.combinations(range(len(world.cores)), empty):
            cores = tuple(wiped(core, setting) if core.index in indices else restarted(core) for core in world.cores)
            limits = replace(used.limits, wipes=used.limits.wipes - empty)
            yield f"all restart, {list(indices)} empty", replace(used, cores=cores, limits=limits)


def steps(world: cluster_model.World, setting: cluster_model.Setting) -> Transitions:
    """Return all transitions out of a state, as pairs of a description and the next state.

    >>> first = cluster_model.start(3, cluster_model.Limits(proposals=0))
    >>> [label for label, _ in steps(first, cluster_model.Setting(1, 2))]
    ['head a syncs change (1, 1)']
    """
    moves = (
        proposing(world),
        suspecting(world),
        delivering(world),
        choosing(world),
        deciding(world),
        learning(world),
        leasing(world),
        writing(world, setting),
        replicating(world),
        delivering_late_snapshots(world),
        failing(world, setting),
    )
    return itertools.chain(*moves)


def without_obsolete_messages(world: cluster_model.World) -> cluster_model.World:
    """Return the state without messages about views that all cores have reached already."""
    views = [core.record.view for core in world.cores if core.record.view is not None]
    oldest = min((view.number for view in views), default=0)
    requests = tuple(request for request in world.requests if view_number_of(request) > oldest)
    promises = tuple((number, answer) for number, answer in world.promises if number > oldest)
    accepted = tuple(vote for vote in world.accepted if vote[1] > oldest)
    return replace(world, requests=requests, promises=promises, accepted=accepted)


def view_number_of(request: message.Accept | message.Prepare) -> int:
    """Return the number of the view that a request proposes."""
    match request:
        case message.Prepare(number=number):
            return number
        case message.Accept(view=view):
            return view.number
