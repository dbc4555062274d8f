"""The decisions of an acceptor in view consensus, as pure functions.

A view is a numbered configuration of the core machines: the list of voters, and the order of the replicas in the
chain from head to tail. Each view is agreed by single-decree Paxos among the voters of the view before it. A function
that answers a message takes the record of one acceptor and the typed message, and returns the new record with the typed
answer. Disk, clock and network belong to the caller: `acceptor.Acceptor` syncs a changed record to disk before it
sends the answer, and `simulation.state_search.explore` searches the interleavings of the same functions.
"""

from __future__ import annotations

import typing

import msgspec

from iriswheel.transport import message

Ballot: typing.TypeAlias = tuple[int, str]  # round number, and id of the machine that proposes in that round
Incarnations: typing.TypeAlias = dict[str, str]  # machine id -> incarnation

NO_BALLOT: Ballot = (0, "")
UNKNOWN_HOLDER = ""  # holder of the grant that this voter may have made before it restarted


class Record(msgspec.Struct, array_like=True, frozen=True):
    """The state of one acceptor, as it is kept on disk."""

    view: message.View | None = None  # the newest agreed view that this machine knows
    promised: Ballot = NO_BALLOT  # the highest ballot promised or accepted for the next view
    accepted: tuple[Ballot, message.View] | None = None  # the next view as accepted here, with its ballot
    synced_view: int = 0  # number of the last view up to which this copy holds every acknowledged change


class ReplicaIncarnation(typing.NamedTuple):
    """A replica of the chain in one incarnation; a machine that has restarted counts as a different replica."""

    id: str
    incarnation: str


class LastEntry(typing.NamedTuple):
    """The newest log entry of a copy of the log; of two copies, the one whose last entry compares higher is ahead."""

    view: int  # number of the view in which the entry was made
    index: int  # type: ignore[assignment]  # log index; hides the method tuple.index, which is not used


NO_ENTRY = LastEntry(0, 0)


class Replica(typing.NamedTuple):
    """The acceptor's own machine, as its promises describe it: id, incarnation, state of the disk, last log entry."""

    id: str
    incarnation: str
    disk_ok: bool  # False from a failed or stalled write until a later write succeeds
    last_entry: LastEntry = NO_ENTRY


class VoterState(typing.NamedTuple):
    """What a proposer knows of another voter: whether a machine that is no voter yet may take its place."""

    replaceable: bool  # no heartbeat within VOTER_REPLACEMENT_US, or the voter is leaving: any newcomer may replace it
    silent: bool  # no heartbeat within PEER_TIMEOUT_US: a newcomer at the same address may replace it


def chain_incarnations(view: message.View) -> list[ReplicaIncarnation]:
    """The replicas of a view's chain with their incarnations, from head to tail.

    >>> [tuple(replica) for replica in chain_incarnations(message.View(4, [], [message.ChainReplica("a", "x")]))]
    [('a', 'x')]
    """
    return [ReplicaIncarnation(replica.id, replica.incarnation) for replica in view.chain]


def majority(count: int) -> int:
    """The smallest number of votes that is a majority of `count` voters.

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
    """Whether a machine is a voter of the record's view, and so votes on the view after it.

    >>> is_voter(Record(), "a")
    False
    """
    return record.view is not None and any(voter.id == identifier for voter in record.view.voters)


def is_synced(record: Record) -> bool:
    """Whether the copy holds every change that was acknowledged before the record's view.

    >>> is_synced(Record(message.View(2, [], []), synced_view=2))
    True
    """
    return record.view is not None and record.synced_view == record.view.number


def is_replica(record: Record, identifier: str, incarnation: str) -> bool:
    """Whether this incarnation of a machine is a replica of the record's chain, whether or not the view is sealed.

    >>> view = message.View(2, [], [message.ChainReplica("a", "1")])
    >>> is_replica(Record(view), "a", "1"), is_replica(Record(view), "a", "2")
    (True, False)
    """
    return record.view is not None and message.ChainReplica(identifier, incarnation) in record.view.chain


def is_serving(record: Record, identifier: str, incarnation: str) -> bool:
    """Whether this incarnation of a machine is a replica of the record's chain, and the view is not sealed.

    >>> is_serving(Record(message.View(2, [], [message.ChainReplica("a", "1")])), "a", "2")
    False
    """
    return not is_sealed(record) and is_replica(record, identifier, incarnation)


def is_tail(record: Record, identifier: str, incarnation: str) -> bool:
    """Whether this incarnation of a machine serves as the tail of the record's chain.

    >>> is_tail(Record(message.View(2, [], [message.ChainReplica("a", "1")])), "a", "1")
    True
    """
    if record.view is None or not is_serving(record, identifier, incarnation):
        return False
    return record.view.chain[-1].id == identifier


def may_request_read_lease(record: Record, identifier: str, incarnation: str) -> bool:
    """Whether a machine is the synced tail: it may request the read lease, and serve reads while it holds the lease.

    >>> may_request_read_lease(Record(message.View(2, [], [message.ChainReplica("a", "1")]), synced_view=1), "a", "1")
    False
    """
    return is_tail(record, identifier, incarnation) and is_synced(record)


def may_commit(record: Record, identifier: str, incarnation: str, copies: int) -> bool:
    """Whether a log entry counts as committed once this machine has it on disk.

    That is so on the synced tail of a chain of at least `copies` replicas, since every replica before it has the entry.

    >>> may_commit(Record(message.View(2, [], [message.ChainReplica("a", "1")]), synced_view=2), "a", "1", copies=2)
    False
    """
    if record.view is None or not may_request_read_lease(record, identifier, incarnation):
        return False
    return len(record.view.chain) >= copies


def newer_view(record: Record, number: int) -> message.View | None:
    """The record's view if its number is at least `number`, the view that a proposer tries to get agreed; else None.

    >>> newer_view(Record(message.View(2, [], [])), 3) is None
    True
    """
    return record.view if record.view is not None and record.view.number >= number else None


def refuse_promise(record: Record, replica: Replica, number: int) -> message.Promise:
    """The answer that refuses a Prepare; it carries a newer view, if the record has one.

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
    """Whether a proposal is for the view after the record's, and both proposer and acceptor are voters of that record.

    >>> voters = [message.Voter(i, "host", 1, "zone") for i in "ab"]
    >>> is_valid_proposal(Record(message.View(2, voters, [])), "a", 3, "b")
    True
    """
    follows = record.view is not None and record.view.number + 1 == number
    return follows and is_voter(record, identifier) and is_voter(record, sender)


def promise(
    record: Record, replica: Replica, holder: str | None, prepare: message.Prepare
) -> tuple[Record, message.Promise]:
    """Answer a Prepare; `holder` is the machine with an unexpired read lease from this acceptor, or None.

    The ballot is promised if it is higher than every ballot promised before, and no machine but the proposer holds a
    lease from this acceptor.

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
    """Whether an unexpired lease of another machine, or of an unknown one, forbids a promise to the sender.

    >>> is_lease_of_another(None, "a"), is_lease_of_another("a", "a"), is_lease_of_another(UNKNOWN_HOLDER, "a")
    (False, False, True)
    """
    return holder is not None and holder != sender


def is_grant_void(record: Record, holder: str, tail_incarnation: str | None) -> bool:
    """Whether a lease that this acceptor may have granted before it restarted no longer binds it.

    Such a grant went to the tail of the view that the record had at that time. If the record still has that view, the
    grant is void once the tail is seen in another incarnation: a restarted machine holds no lease. If the record had a
    newer view whose write was lost, the record on disk allows promises only for that newer view, and that view is
    agreed already (docs/notes/recovery.md).

    Args:
        record: The acceptor's record.
        holder: The machine that has the grant; UNKNOWN_HOLDER for a grant that may be from before the restart.
        tail_incarnation: The incarnation in which the tail was seen since the restart; None if it was not seen.

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
    """Answer an Accept: the view is accepted unless a higher ballot was promised.

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
    """The record after a view was agreed; the same record if its own view is as new or newer.

    The head of a view is synced in it by construction: proposers put a copy with all acknowledged changes first.

    >>> adopt(Record(), "a", message.View(1, [], [message.ChainReplica("a", "1")])).synced_view
    1
    """
    if newer_view(record, view.number) is not None:
        return record
    synced_view = view.number if view.chain[0].id == identifier else complete_through(record, identifier)
    return Record(view, NO_BALLOT, None, synced_view)


def complete_through(record: Record, identifier: str) -> int:
    """The last view up to which a copy holds every acknowledged change, once the record's view is over.

    A chain acknowledges nothing while one of its replicas is not synced. So a replica that holds every change up to the
    view before the record's, and did not become synced in the record's view, has missed no acknowledged change of the
    record's view either.

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
    """The record once the copy holds all that was acknowledged before view `number`; unchanged if that view is over.

    >>> records = [Record(message.View(number, [], [])) for number in (2, 3)]
    >>> tuple(become_synced(record, 2).synced_view for record in records)
    (2, 0)
    """
    if record.view is None or record.view.number != number or is_sealed(record) or record.synced_view >= number:
        return record
    return msgspec.structs.replace(record, synced_view=number)


def may_restore(record: Record, synced_entry: int, snapshot_entry: int) -> bool:
    """Whether a snapshot may replace the copy: always before the copy is synced, afterwards only if it is not older.

    A snapshot that was delayed in an old connection can arrive after newer ones.

    >>> may_restore(Record(message.View(2, [], []), synced_view=2), synced_entry=17, snapshot_entry=12)
    False
    """
    return not is_synced(record) or snapshot_entry >= synced_entry


def grant_lease(record: Record, identifier: str, request: message.LeaseRequest) -> message.LeaseResponse:
    """Answer a LeaseRequest: a voter grants it to the tail of its own view, as long as that view is not sealed.

    >>> grant_lease(Record(), "a", message.LeaseRequest(1, "b")).ok
    False
    """
    view = record.view
    newer = newer_view(record, request.view + 1)
    if view is None or view.number != request.view or is_sealed(record):
        return message.LeaseResponse(False, newer)
    is_granted = is_voter(record, identifier) and view.chain[-1].id == request.tail
    return message.LeaseResponse(is_granted, newer)
