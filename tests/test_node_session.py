"""Updates of the configuration that a core machine sends on one of several sessions of a node."""

import types
from typing import Any

import pytest

from iriswheel.configuration import configuration
from iriswheel.control import node_session, slices
from iriswheel.replication import replicated_state
from iriswheel.transport import message

NODE = message.Member("n1", "n1", "north", "h", 1, 2)
Change = tuple[str, dict[str, Any] | None]

ROUTES = {name: {"path": f"/{name}", "pool": "p"} for name in ("kept", "short-lived", "last")}


def route(name: str) -> Change:
    """A change that adds a route."""
    return (f"routes/{name}", ROUTES[name])


def removed(name: str) -> Change:
    """A change that removes a route."""
    return (f"routes/{name}", None)


class Connection:
    """Keeps the messages that a core machine sends."""

    def __init__(self) -> None:
        self.sent: list[message.Message] = []

    def tell(self, sent: message.Message) -> None:
        """Keep a message."""
        self.sent.append(sent)


class CoreMachine:
    """The parts of a core machine that a session uses, and the states that it commits."""

    def __init__(self) -> None:
        self.chain = types.SimpleNamespace(history={}, committed_state=replicated_state.ReplicatedState())
        self.membership = types.SimpleNamespace(latest=None)

    def commit(self, *changes: Change) -> None:
        """Commit one entry with these changes of items."""
        before = self.chain.committed_state
        entry = message.LogEntry(before.index + 1, 1, "apply", f"c{before.index + 1}", 0, list(changes))
        self.chain.committed_state = self.chain.history[entry.index] = before.apply(entry)

    def session(self, applied_index: int) -> node_session.NodeSession:
        """A session with a node that has applied a log index."""
        parts: Any = self
        connection: Any = Connection()
        join = message.JoinRequest(NODE, applied_index, None)
        return node_session.NodeSession(parts, slices.Slices(), lambda: True, connection, join)

    def sent_now(self, session: node_session.NodeSession) -> message.Message:
        """Let a session send the newest configuration, and return the message."""
        session._send_configuration()
        connection: Any = session.connection
        sent: message.Message = connection.sent[-1]
        return sent


@pytest.fixture
def core() -> CoreMachine:
    """A core machine with one committed entry, which adds a route."""
    machine = CoreMachine()
    machine.commit(("pools/p", {}), route("kept"))
    return machine


# Review case 2: after a freeze a node had two sessions; on the second one the core machine went past the version that
# the first one had brought, in one step, and the node kept a route that had been dropped.
def test_an_update_removes_a_route_that_only_a_state_in_between_had(core: CoreMachine) -> None:
    session = core.session(applied_index=1)
    core.commit(route("short-lived"))
    core.commit(removed("short-lived"), route("last"))
    update = core.sent_now(session)
    assert isinstance(update, message.ConfigurationUpdate)
    of_the_other_session = dict(configuration.slice_for_node(core.chain.history[2].published, "north"))
    applied = {key: item for key, item in {**of_the_other_session, **update.items}.items() if item is not None}
    assert applied == configuration.slice_for_node(core.chain.committed_state.published, "north")


def test_an_update_over_one_entry_holds_the_changes_of_that_entry_alone(core: CoreMachine) -> None:
    session = core.session(applied_index=1)
    core.commit(route("last"))
    assert core.sent_now(session) == message.ConfigurationUpdate(2, dict([route("last")]))


def test_a_node_gets_a_snapshot_if_a_state_in_between_is_not_kept(core: CoreMachine) -> None:
    session = core.session(applied_index=1)
    core.commit(route("short-lived"))
    core.commit(removed("short-lived"))
    del core.chain.history[2]
    assert isinstance(core.sent_now(session), message.ConfigurationSnapshot)
