"""The voters and the chain of the next view, as pure functions of the promises of a majority and of the live machines.

A proposer calls these after it has the promises and before it sends its proposal. The answers of acceptors are in
`decisions`.
"""

from __future__ import annotations

from iriswheel.consensus import decisions
from iriswheel.transport import message


def next_voters(
    view: message.View,
    identifier: str,
    *,
    leaving: bool,
    joining_members: list[message.Voter],
    states: dict[str, decisions.VoterState],
    size: int,
) -> list[message.Voter]:
    """The voters of the next view: each newcomer replaces a replaceable voter, or is added as long as there is room.

    Args:
        view: The present view.
        identifier: The id of this machine, the proposer.
        leaving: Whether this machine is leaving, so that it may be replaced too.
        joining_members: Live machines that are not voters, in the order in which they are considered.
        states: The state of each other voter, as far as this machine knows it. A newcomer that has the address of a
            voter waits until that voter is silent.
        size: The number of voters up to which newcomers are added.

    >>> a, b, c = [message.Voter(i, i, 1, "zone") for i in "abc"]
    >>> states = {"b": decisions.VoterState(True, True)}
    >>> view = message.View(1, [a, b], [])
    >>> voters = next_voters(view, "a", leaving=False, joining_members=[c], states=states, size=2)
    >>> [voter.id for voter in voters]
    ['a', 'c']
    """
    known = {voter.id for voter in view.voters}
    candidates = {key: state for key, state in states.items() if key in known and key != identifier}
    if leaving:
        candidates[identifier] = decisions.VoterState(replaceable=True, silent=True)
    voters = list(view.voters)
    for joining in joining_members:
        _place_newcomer(joining, voters, candidates, size)
    return voters


def _place_newcomer(
    joining: message.Voter, voters: list[message.Voter], candidates: dict[str, decisions.VoterState], size: int
) -> None:
    """Replace the first voter that the newcomer may replace; if there is none, append it while there is room."""
    for index, voter in enumerate(voters):
        state = candidates.get(voter.id)
        if state is None:
            continue
        is_same_address = (voter.host, voter.port) == (joining.host, joining.port)
        if is_same_address and not state.silent:
            return  # both sent heartbeats from this address lately, and one of these may be old
        if state.replaceable or is_same_address:
            voters[index] = joining
            return
    if len(voters) < size:
        voters.append(joining)


def next_chain(
    view: message.View, promises: dict[str, message.Promise], alive: decisions.Incarnations
) -> list[message.ChainReplica] | None:
    """The chain of view `view.number + 1`, from head to tail, or None if no copy is known to have all changes.

    Old replicas that were synced in the view come first, in their old order: each of them holds every acknowledged
    change. If none of the old replicas that answered was synced, nothing was acknowledged in the view; then the head
    is the copy with the newest entry among those that were synced in the view before.

    A replica that was synced but can't continue (its disk fails, or it is leaving) still shows that changes may have
    been acknowledged: if it is the only synced one, no chain can be formed without it.

    In a chain, each replica holds everything that the replicas behind it hold. One that holds less has come back with
    an older state of its disk, and counts as a newcomer.

    >>> a, b, c = [message.ChainReplica(i, "x") for i in "abc"]
    >>> v = message.View(4, [], [a, b, c])
    >>> promises_by_id = {i: message.Promise(True, (1, "b"), None, None, i, "x", w, True)
    ...         for i, w in (("b", 4), ("c", 4))}
    >>> [l.id for l in next_chain(v, promises_by_id, {"b": "x", "c": "y", "d": "z"})]
    ['b', 'c', 'd']
    >>> next_chain(v, {"d": promises_by_id["b"]}, {"d": "z"}) is None
    True
    >>> promises_by_id["c"] = message.Promise(True, (1, "b"), None, None, "c", "x", 4, True, (4, 17))
    >>> [l.id for l in next_chain(v, promises_by_id, {"b": "x", "c": "y"})]
    ['c', 'b']
    """
    old = [member.id for member in view.chain]
    available = [identifier for identifier in old if identifier in promises and identifier in alive]
    leading = _synced_in_order(view, promises, available)
    if not leading:
        answered = [promises[identifier].synced_view for identifier in old if identifier in promises]
        if not answered or view.number in answered:
            return None
        leading = _newest_of_view_before(view, promises, alive)
    if not leading:
        return None
    rest = [identifier for identifier in available if identifier not in leading]
    newcomers = [identifier for identifier in sorted(alive) if identifier not in old and identifier not in leading]
    return [message.ChainReplica(identifier, alive[identifier]) for identifier in leading + rest + newcomers]


def _synced_in_order(view: message.View, promises: dict[str, message.Promise], available: list[str]) -> list[str]:
    """Of the old replicas in `available`, the synced ones that hold everything that synced ones behind them hold."""
    synced = [identifier for identifier in available if promises[identifier].synced_view == view.number]
    return [
        identifier
        for index, identifier in enumerate(synced)
        if all(promises[behind].last_entry <= promises[identifier].last_entry for behind in synced[index + 1 :])
    ]


def _newest_of_view_before(
    view: message.View, promises: dict[str, message.Promise], alive: decisions.Incarnations
) -> list[str]:
    """The machine with the newest entry among those synced in the view before `view`, as a list of at most one id."""
    synced = [
        identifier
        for identifier in sorted(promises)
        if promises[identifier].synced_view == view.number - 1 and identifier in alive
    ]
    return sorted(synced, key=lambda identifier: promises[identifier].last_entry, reverse=True)[:1]


def is_handing_over(
    view: message.View, alive: decisions.Incarnations, leaving: decisions.Incarnations, synced: set[str]
) -> bool:
    """Whether all live synced replicas of the chain are leaving, so that one must first bring another machine in sync.

    >>> chain = [message.ChainReplica("a", "1"), message.ChainReplica("b", "1")]
    >>> view = message.View(4, [], chain)
    >>> is_handing_over(view, {"b": "1"}, {"a": "1"}, {"a"}), is_handing_over(view, {"b": "1"}, {"a": "1"}, {"a", "b"})
    (True, False)
    """
    members = {member.id for member in view.chain} & synced
    return not members & alive.keys() and bool(members & leaving.keys())


def next_view(
    view: message.View,
    promises: dict[str, message.Promise],
    voters: list[message.Voter],
    alive: decisions.Incarnations,
    leaving: decisions.Incarnations,
) -> message.View | None:
    """The view to propose after a majority has promised, or None if no synced copy can be its head.

    If voters have accepted a view already, it may have been agreed: the accepted view with the highest ballot is
    proposed again. If only a leaving machine can be the head, it stays in the chain for one more view, with unchanged
    voters, so that the others can catch up from it.

    Args:
        view: The present view.
        promises: The promises of a majority of its voters, by voter id.
        voters: The voters that the next view should have.
        alive: The live machines that are not leaving, or are still needed, with their incarnations. Where a promise
            gives another incarnation, that one is used.
        leaving: The live machines that are leaving, with their incarnations.

    >>> a, b = message.ChainReplica("a", "1"), message.ChainReplica("b", "1")
    >>> old = message.View(4, [message.Voter(i, i, 1, "zone") for i in "ab"], [a, b])
    >>> promises_by_id = {
    ...     i: message.Promise(True, (1, "a"), None, None, i, "1", synced_view, True)
    ...     for i, synced_view in (("a", 4), ("b", 3))}
    >>> [member.id for member in next_view(old, promises_by_id, old.voters, {"a": "1", "b": "1"}, {}).chain]
    ['a', 'b']
    >>> [member.id for member in next_view(old, promises_by_id, old.voters, {"b": "1"}, {"a": "1"}).chain]
    ['a', 'b']
    >>> next_view(old, promises_by_id, old.voters, {"b": "1"}, {}) is None
    True
    """
    accepted_views = [answer.accepted for answer in promises.values() if answer.accepted is not None]
    if accepted_views:
        return max(accepted_views, key=lambda accepted: accepted[0])[1]
    for candidates, machines in ((voters, alive), (view.voters, alive | leaving)):
        chain = next_chain(view, promises, members_of(candidates, machines, promises))
        if chain is not None:
            return message.View(view.number + 1, candidates, chain)
    return None


def members_of(
    voters: list[message.Voter], machines: decisions.Incarnations, promises: dict[str, message.Promise]
) -> decisions.Incarnations:
    """The `machines` that are voters and may be in a chain: their incarnations, taken from a promise if there is one.

    A machine whose promise says that its disk fails is left out.

    >>> promises_by_id = {"a": message.Promise(True, (1, "a"), None, None, "a", "2", 4, True)}
    >>> members_of([message.Voter("a", "a", 1, "zone")], {"a": "1", "b": "1"}, promises_by_id)
    {'a': '2'}
    """
    voter_ids = {voter.id for voter in voters}
    members = {identifier: incarnation for identifier, incarnation in machines.items() if identifier in voter_ids}
    for identifier, answer in promises.items():
        if identifier in members:
            members[identifier] = answer.incarnation
        if not answer.disk_ok:
            members.pop(identifier, None)
    return members
