"""Who votes in the next view and who stands in its chain, as pure functions of what a majority promised.

A proposer calls these between the promises and its proposal; `decisions` has what an acceptor answers.
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
    """The voters of the next view: a newcomer takes a replaceable voter, else a new one up to `size`.

    `joining_members` are live machines that do not vote, in the order in which they are served; `states`
    says of each other voter what this proposer, `identifier`, knows of it. A newcomer at the address of a voter
    waits until that voter is silent.

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
    """Put a newcomer into the place of the first voter that it may replace, else at the end while there is room."""
    for index, voter in enumerate(voters):
        state = candidates.get(voter.id)
        if state is None:
            continue
        is_same_address = (voter.host, voter.port) == (joining.host, joining.port)
        if is_same_address and not state.silent:
            return  # its last heartbeat may be an old one
        if state.replaceable or is_same_address:
            voters[index] = joining
            return
    if len(voters) < size:
        voters.append(joining)


def next_chain(
    view: message.View, promises: dict[str, message.Promise], alive: decisions.Incarnations
) -> list[message.ChainReplica] | None:
    """The chain that view.number + 1 should have, or None where no copy can be trusted.

    Members that were synced in the view come first, in their old order: each of them
    holds all that was acknowledged. Where none of the old members that answer was synced,
    nothing was acknowledged in the view, and of those that were synced in the view before the
    one with the newest entry leads.

    A member that was synced but can't go on (its disk is bad, or it leaves) still shows that
    something may have been acknowledged: where it is the only synced one, there is no chain
    without it.

    A member holds all that those behind it hold. One that holds less came back with an older
    disk, and counts as a newcomer.

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
    able = [identifier for identifier in old if identifier in promises and identifier in alive]
    lead = _synced_in_order(view, promises, able)
    if not lead:
        answered = [promises[identifier].synced_view for identifier in old if identifier in promises]
        if not answered or view.number in answered:
            return None
        lead = _newest_of_view_before(view, promises, alive)
    if not lead:
        return None
    rest = [identifier for identifier in able if identifier not in lead]
    newcomers = [identifier for identifier in sorted(alive) if identifier not in old and identifier not in lead]
    return [message.ChainReplica(identifier, alive[identifier]) for identifier in lead + rest + newcomers]


def _synced_in_order(view: message.View, promises: dict[str, message.Promise], able: list[str]) -> list[str]:
    """Of the old members that can go on, those that are synced and hold all that those behind them hold."""
    synced = [identifier for identifier in able if promises[identifier].synced_view == view.number]
    return [
        identifier
        for index, identifier in enumerate(synced)
        if all(promises[behind].last_entry <= promises[identifier].last_entry for behind in synced[index + 1 :])
    ]


def _newest_of_view_before(
    view: message.View, promises: dict[str, message.Promise], alive: decisions.Incarnations
) -> list[str]:
    """The machine with the newest entry of those that were synced in the view before, if there is one."""
    synced = [
        identifier
        for identifier in sorted(promises)
        if promises[identifier].synced_view == view.number - 1 and identifier in alive
    ]
    return sorted(synced, key=lambda identifier: promises[identifier].last_entry, reverse=True)[:1]


def is_handing_over(
    view: message.View, alive: decisions.Incarnations, leaving: decisions.Incarnations, synced: set[str]
) -> bool:
    """Whether the only synced members of the chain are about to leave, and must bring another up to date first.

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
    """The view to propose after a majority promised, or None where no synced copy can lead it.

    A view that may have been agreed already is proposed again. `alive` are the live machines with their
    incarnations, but for those in `leaving`; what a promise says of a machine goes before it. Where none but a
    machine that leaves can lead, it stays for one more view, with the voters as they are, to bring the others up
    to date.

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
    taken = [answer.accepted for answer in promises.values() if answer.accepted is not None]
    if taken:
        return max(taken, key=lambda accepted: accepted[0])[1]
    for candidates, machines in ((voters, alive), (view.voters, alive | leaving)):
        chain = next_chain(view, promises, members_of(candidates, machines, promises))
        if chain is not None:
            return message.View(view.number + 1, candidates, chain)
    return None


def members_of(
    voters: list[message.Voter], machines: decisions.Incarnations, promises: dict[str, message.Promise]
) -> decisions.Incarnations:
    """The machines that may be members of a chain, with the incarnations that they last reported.

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
