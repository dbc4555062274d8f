"""The decisions of the view agreement, as pure functions.

A view (who votes, and the order of the chain) is agreed by single-decree Paxos among the voters of the view
before it. Each function here takes the state of one acceptor and a typed message, and returns the new state
with the typed answer. Disk, clock and network belong to the caller: `acceptor.Acceptor` syncs a changed state before
it sends the answer, and `simulation.state_search.explore` searches the interleavings of the same functions.
"""

from __future__ import annotations

import typing

import msgspec

from iriswheel.transport import message

Ballot: typing.TypeAlias = tuple[int, str]  # a round, and the machine that proposes in it
Incarnations: typing.TypeAlias = dict[str, str]  # of machines, by id

NO_BALLOT: Ballot = (0, "")
UNKNOWN_HOLDER = ""  # after a restart: a grant that was given before may stand


class Record(msgspec.Struct, array_like=True, frozen=True):
    """What an acceptor keeps on disk; its copy holds all that was acknowledged in the views up to `synced_view`."""

    view: message.View | None = None
    promised: Ballot = NO_BALLOT
    accepted: tuple[Ballot, message.View] | None = None
    synced_view: int = 0


class ReplicaIncarnation(typing.NamedTuple):
    """A replica of the chain in one of its incarnations; a restarted machine is another replica."""

    id: str
    incarnation: str


class LastEntry(typing.NamedTuple):
    """The newest log entry of a copy; of two copies, the one whose last entry compares higher is ahead."""

    view: int  # that made the entry
    index: int  # type: ignore[assignment]  # hides tuple.index, which has no use here


NO_ENTRY = LastEntry(0, 0)


class Replica(typing.NamedTuple):
    """What an acceptor tells of itself in a promise: identity, incarnation, disk, last log entry."""

    id: str
    incarnation: str
    disk_ok: bool
    last_entry: LastEntry = NO_ENTRY


class VoterState(typing.NamedTuple):
    """What a proposer knows of one voter: whether it may be replaced, and at what address it still answers."""

    replaceable: bool  # it was silent for long, or says that it leaves
    silent: bool  # silent for long enough to be replaced by a newcomer at its own address


def chain_incarnations(view: message.View) -> list[ReplicaIncarnation]:
    """The replicas of a view's chain in their incarnations, from head to tail.

    >>> [tuple(replica) for replica in chain_incarnations(message.View(4, [], [message.ChainReplica("a", "x")]))]
    [('a', 'x')]
    """
    return [ReplicaIncarnation(replica.id, replica.incarnation) for replica in view.chain]


def majority(count: int) -> int:
    """How many of `count` voters make a majority.

    >>> majority(3), majority(4)
    (2, 3)
    """
    return count // 2 + 1


def is_sealed(record: Record) -> bool:
    """Whether a promise or an acceptance has closed the record's view.

    >>> is_sealed(Record()), is_sealed(Record(promised=(1, "a")))
    (False, True)
    """
    return record.promised != NO_BALLOT


def is_voter(record: Record, identifier: str) -> bool:
    """Whether a machine votes on the successor of the record's view.

    >>> is_voter(Record(), "a")
    False
    """
    return record.view is not None and any(voter.id == identifier for voter in record.view.voters)


def is_synced(record: Record) -> bool:
    """Whether the copy holds all that was acknowledged before the record's view.

    >>> is_synced(Record(message.View(2, [], []), synced_view=2))
    True
    """
    return record.view is not None and record.synced_view == record.view.number


def is_serving(record: Record, identifier: str, incarnation: str) -> bool:
    """Whether this incarnation of a machine is a member of the record's chain, and the view is not sealed.

    >>> is_serving(Record(message.View(2, [], [message.ChainReplica("a", "1")])), "a", "2")
    False
    """
    if record.view is None or is_sealed(record):
        return False
    return message.ChainReplica(identifier, incarnation) in record.view.chain


def is_tail(record: Record, identifier: str, incarnation: str) -> bool:
    """Whether this incarnation of a machine serves as the tail of the record's chain.

    >>> is_tail(Record(message.View(2, [], [message.ChainReplica("a", "1")])), "a", "1")
    True
    """
    if record.view is None or not is_serving(record, identifier, incarnation):
        return False
    return record.view.chain[-1].id == identifier


def may_request_read_lease(record: Record, identifier: str, incarnation: str) -> bool:
    """Whether a machine may ask for the read lease, and serve reads while it holds it.

    >>> may_request_read_lease(Record(message.View(2, [], [message.ChainReplica("a", "1")]), synced_view=1), "a", "1")
    False
    """
    return is_tail(record, identifier, incarnation) and is_synced(record)


def may_commit(record: Record, identifier: str, incarnation: str, copies: int) -> bool:
    """Whether all that is synced on this machine is committed: it is the synced tail of a chain of enough copies.

    >>> may_commit(Record(message.View(2, [], [message.ChainReplica("a", "1")]), synced_view=2), "a", "1", copies=2)
    False
    """
    if record.view is None or not may_request_read_lease(record, identifier, incarnation):
        return False
    return len(record.view.chain) >= copies


def newer_view(record: Record, number: int) -> message.View | None:
    """The record's view where it is as new as the one that a proposer works on, or None.

    >>> newer_view(Record(message.View(2, [], [])), 3) is None
    True
    """
    return record.view if record.view is not None and record.view.number >= number else None


def refuse_promise(record: Record, replica: Replica, number: int) -> message.Promise:
    """The answer to a Prepare that is refused.

    >>> refuse_promise(Record(), Replica("a", "1", True), 3).ok
    False
    """
    return message.Promise(
        ok=False,
        ballot=record.promised,
        accepted=None,
        newer=newer_view(record, number),
        id=replica.id,
        incarnation=replica.incarnation,
        synced_view=record.synced_view,
        disk_ok=replica.disk_ok,
    )


def is_valid_proposal(record: Record, identifier: str, number: int, sender: str) -> bool:
    """Whether a proposal is for the next view, from one voter to another.

    >>> voters = [message.Voter(i, "host", 1, "zone") for i in "ab"]
    >>> is_valid_proposal(Record(message.View(2, voters, [])), "a", 3, "b")
    True
    """
    follows = record.view is not None and record.view.number + 1 == number
    return follows and is_voter(record, identifier) and is_voter(record, sender)


def promise(
    record: Record, replica: Replica, holder: str | None, prepare: message.Prepare
) -> tuple[Record, message.Promise]:
    """Answer a Prepare; `holder` is who has an unexpired read lease from this acceptor, or None.

    A higher ballot than any before is promised, unless somebody else holds a lease.

    >>> voters = [message.Voter(i, "host", 1, "zone") for i in "ab"]
    >>> record, answer = promise(
    ...     Record(message.View(2, voters, [])), Replica("a", "1", True), None, message.Prepare(3, (1, "b"), "b"))
    >>> record.promised, answer.ok
    ((1, 'b'), True)
    """
    if not is_valid_proposal(record, replica.id, prepare.number, prepare.sender) or prepare.ballot <= record.promised:
        return record, refuse_promise(record, replica, prepare.number)
    if is_lease_of_another(holder, prepare.sender):
        return record, refuse_promise(record, replica, prepare.number)
    promised = msgspec.structs.replace(record, promised=prepare.ballot)
    answer = message.Promise(
        ok=True,
        ballot=prepare.ballot,
        accepted=record.accepted,
        newer=None,
        id=replica.id,
        incarnation=replica.incarnation,
        synced_view=record.synced_view,
        disk_ok=replica.disk_ok,
        last_entry=replica.last_entry,
    )
    return promised, answer


def is_lease_of_another(holder: str | None, sender: str) -> bool:
    """Whether an unexpired lease forbids a promise to the sender.

    >>> is_lease_of_another(None, "a"), is_lease_of_another("a", "a"), is_lease_of_another(UNKNOWN_HOLDER, "a")
    (False, False, True)
    """
    return holder is not None and holder != sender


def is_grant_void(record: Record, holder: str, tail_incarnation: str | None) -> bool:
    """Whether a grant that may stand from before a restart binds this acceptor no longer.

    It went to the tail of the view that the record had then. Where that is still the record's view, it is void once
    its tail is seen in another incarnation, in which that machine holds nothing. Where a newer view's write was lost,
    the record allows promises for that view alone, which is agreed already (docs/notes/recovery.md).

    Args:
        record: The acceptor's record.
        holder: Who has the grant.
        tail_incarnation: In which incarnation the tail was seen since the restart; None where it was not.

    >>> record = Record(message.View(2, [], [message.ChainReplica("a", "1")]))
    >>> [is_grant_void(record, UNKNOWN_HOLDER, incarnation) for incarnation in (None, "1", "2")]
    [False, False, True]
    >>> is_grant_void(record, "a", "2")
    False
    """
    if holder != UNKNOWN_HOLDER or record.view is None or tail_incarnation is None:
        return False
    return tail_incarnation != record.view.chain[-1].incarnation


def accept(record: Record, identifier: str, request: message.Accept) -> tuple[Record, message.Accepted]:
    """Answer an Accept: taken unless a higher ballot was promised.

    >>> voters = [message.Voter(i, "host", 1, "zone") for i in "ab"]
    >>> old, new = message.View(2, voters, []), message.View(3, voters, [])
    >>> accept(Record(old, (2, "b")), "a", message.Accept((1, "a"), new, "a"))[1].ok
    False
    """
    number = request.view.number
    if not is_valid_proposal(record, identifier, number, request.sender) or request.ballot < record.promised:
        return record, message.Accepted(False, newer_view(record, number))
    accepted = msgspec.structs.replace(record, promised=request.ballot, accepted=(request.ballot, request.view))
    return accepted, message.Accepted(True, None)


def adopt(record: Record, identifier: str, view: message.View) -> Record:
    """The state after a view was agreed, or the same state where it knows one as new.

    The head of a view is synced in it by construction.

    >>> adopt(Record(), "a", message.View(1, [], [message.ChainReplica("a", "1")])).synced_view
    1
    """
    if newer_view(record, view.number) is not None:
        return record
    synced_view = view.number if view.chain[0].id == identifier else complete_through(record, identifier)
    return Record(view, NO_BALLOT, None, synced_view)


def complete_through(record: Record, identifier: str) -> int:
    """The last view of which a copy holds all that was acknowledged, once the record's view is over.

    A chain acknowledges nothing while one of its members is not synced. So a member that held all of the view
    before, and was not synced in this one, holds all of this one too.

    >>> view = message.View(3, [], [message.ChainReplica("a", "1"), message.ChainReplica("b", "1")])
    >>> complete_through(Record(view, synced_view=2), "b"), complete_through(Record(view, synced_view=1), "b")
    (3, 1)
    >>> complete_through(Record(view, synced_view=2), "c")
    2
    """
    if record.view is None or record.synced_view != record.view.number - 1:
        return record.synced_view
    is_member = any(member.id == identifier for member in record.view.chain)
    return record.view.number if is_member else record.synced_view


def become_synced(record: Record, number: int) -> Record:
    """The state once the copy holds all that was acknowledged before the numbered view, unless that is over.

    >>> records = [Record(message.View(number, [], [])) for number in (2, 3)]
    >>> tuple(become_synced(record, 2).synced_view for record in records)
    (2, 0)
    """
    if record.view is None or record.view.number != number or is_sealed(record) or record.synced_view >= number:
        return record
    return msgspec.structs.replace(record, synced_view=number)


def may_restore(record: Record, synced_entry: int, snapshot_entry: int) -> bool:
    """Whether a snapshot may replace the copy: always before the copy is synced, then only where it is not older.

    A snapshot may arrive after others that were sent later, when it was held up in an old connection.

    >>> may_restore(Record(message.View(2, [], []), synced_view=2), synced_entry=17, snapshot_entry=12)
    False
    """
    return not is_synced(record) or snapshot_entry >= synced_entry


def grant_lease(record: Record, identifier: str, request: message.LeaseRequest) -> message.LeaseResponse:
    """Answer a LeaseRequest: given to the tail of an unsealed view.

    >>> grant_lease(Record(), "a", message.LeaseRequest(1, "b")).ok
    False
    """
    view = record.view
    newer = newer_view(record, request.view + 1)
    if view is None or view.number != request.view or is_sealed(record):
        return message.LeaseResponse(False, newer)
    is_granted = is_voter(record, identifier) and view.chain[-1].id == request.tail
    return message.LeaseResponse(is_granted, newer)
