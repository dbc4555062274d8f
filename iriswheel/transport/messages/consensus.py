"""Messages by which the voting core machines agree on the view: heartbeats, and the ballots of the consensus."""

import iriswheel.transport.messages.base as message_base


class Voter(message_base.Message, tag="Seat", frozen=True):
    """A core machine that votes: its identity, address and zone."""

    id: str
    host: str
    port: int
    zone: str


class ChainReplica(message_base.Message, tag="ChainLink", frozen=True):
    """A replica of the chain: a voter and the incarnation of its process."""

    id: str
    incarnation: str


class View(message_base.Message, tag="View", frozen=True):
    """A view: its number, the voters, and the chain of replicas from head to tail."""

    number: int
    voters: list[Voter]
    chain: list[ChainReplica]


class Heartbeat(message_base.Message, tag="Pulse", frozen=True):
    """The heartbeat between core machines, and the answer to one."""

    id: str
    incarnation: str
    zone: str
    host: str
    port: int
    view: View | None  # the newest view that the sender knows
    synced_view: int  # number of the newest view in which the sender's replica was in sync
    disk_ok: bool  # whether the sender's disk accepts writes in time
    leaving: bool = False  # whether the sender is shutting down
    sealed: bool = False  # whether the sender made a promise that ends the view, so it acknowledges nothing in it


class FirstStart(message_base.Message, tag="FirstStart", frozen=True):
    """Tell the machine at the first of these addresses that it makes view 1; the answer is its heartbeat."""

    addresses: list[tuple[str, int]]  # host and port of each core machine of the first start, in order


class Prepare(message_base.Message, tag="Prepare", frozen=True):
    """Ask a voter to promise that it will accept nothing under an older ballot for view `number`."""

    number: int
    ballot: message_base.Ballot
    sender: str


class Promise(message_base.Message, tag="Promise", frozen=True):
    """The answer to `Prepare`: the view that the voter has accepted, and the state of its replica."""

    ok: bool
    ballot: message_base.Ballot
    accepted: tuple[message_base.Ballot, View] | None
    newer: View | None  # a newer view that the voter knows
    id: str
    incarnation: str
    synced_view: int
    disk_ok: bool
    last_entry: tuple[int, int] = (0, 0)  # view and index of its newest log entry


class Accept(message_base.Message, tag="Accept", frozen=True):
    """Ask a voter to accept a view under a ballot."""

    ballot: message_base.Ballot
    view: View
    sender: str


class Accepted(message_base.Message, tag="Accepted", frozen=True):
    """The answer to `Accept`."""

    ok: bool
    newer: View | None  # a newer view that the voter knows


class Decided(message_base.Message, tag="Decided", frozen=True):
    """Announces that a majority of the voters has accepted a view."""

    view: View
