"""Aggregates the load that nodes report to this core machine, and exchanges the sums with the other core machines.

A node reports its own load to its core machine. A core machine adds up the load of its nodes and sends the sums to the
other core machines. Each node receives the sum of the load of all other nodes. Only changes are sent, a few times a
second; a large rise, from a long prompt, is sent at once. So the cost grows with the number of nodes, not with its
square.
"""

from __future__ import annotations

import collections.abc
import typing

import loguru

from iriswheel.membership import load_table
from iriswheel.runtime import units
from iriswheel.transport import message

if typing.TYPE_CHECKING:
    from iriswheel.control import core_parts, node_session

CORE_EXPIRY_US = 2 * units.SECOND_US  # without a report for this time, the sums of another core machine are dropped
FULL_REPORT_INTERVAL = 6  # rounds between complete reports to core machines, since a report may be lost

log = loguru.logger.bind(part="loads")


class LoadAggregator:
    """The load tables of one core machine, and the sums over them."""

    def __init__(
        self,
        parts: core_parts.CoreParts,
        node_sessions: collections.abc.Mapping[str, node_session.NodeSession],
    ) -> None:
        self.parts = parts
        self.node_sessions = node_sessions
        self.tables: dict[str, load_table.LoadTable] = {}  # by the id of the reporting node or core machine
        self.last_contact: dict[str, int] = {}  # time (µs) of the last report of each other core machine
        self.node_sums: load_table.LoadTable = {}  # over the nodes with a session at this core machine
        self.sums: load_table.LoadTable = {}  # over all nodes
        # receiver (node or core machine) -> keys changed since the last report to it; None: the next is complete
        self.pending: dict[str, set[load_table.WorkerKey] | None] = {}

    def apply_report(self, report: message.LoadReport, from_node: bool) -> None:
        """Apply a report of a node's load or of another core machine's sums; a large rise is forwarded at once."""
        if not from_node:
            self.last_contact[report.sender] = self.parts.runtime.now()
        keys = [(pool, row[0]) for pool, rows in report.rows.items() for row in rows]
        before = {key: self.sums.get(key, load_table.NO_LOAD) for key in keys}
        self._update(report, from_node)
        if any(load_table.is_large_rise(load, self.sums.get(key, load_table.NO_LOAD)) for key, load in before.items()):
            for receiver in self._receivers():
                if receiver != report.sender:
                    self._send_changes(receiver, before.keys())

    def reset_node(self, node: str) -> None:
        """Make the next report to a node complete, since the node has opened a new session."""
        self.pending.pop(node, None)

    async def run(self) -> None:
        """Send the changed loads to all receivers, a few times a second; runs as a single task."""
        rounds = 0
        while True:
            await self.parts.runtime.sleep(load_table.REPORT_INTERVAL_US)
            rounds += 1
            voters = {voter.id for voter in self.parts.voters()}
            self._expire(voters)
            for receiver in self._receivers():
                if receiver in voters and not rounds % FULL_REPORT_INTERVAL:
                    self.pending[receiver] = None
                self._send_changes(receiver, None)

    def _receivers(self) -> list[str]:
        """The nodes with a session at this core machine, and the other core machines."""
        cores = [voter.id for voter in self.parts.voters() if voter.id != self.parts.consensus.own_voter.id]
        return [*self.node_sessions, *cores]

    def _update(self, report: message.LoadReport, from_node: bool) -> None:
        """Update the sender's table and the sums, and mark the changed keys as pending for the other receivers."""
        table = self.tables.setdefault(report.sender, {})
        old = dict(table)
        for key in load_table.apply_report(table, report):
            for sums in [self.sums, self.node_sums] if from_node else [self.sums]:
                sums[key] = load_table.add_and_subtract(
                    sums.get(key, load_table.NO_LOAD),
                    table.get(key, load_table.NO_LOAD),
                    old.get(key, load_table.NO_LOAD),
                )
                if sums[key] == load_table.NO_LOAD:
                    del sums[key]
            for receiver, changed in self.pending.items():
                if receiver != report.sender and changed is not None:
                    changed.add(key)

    def _expire(self, voters: set[str]) -> None:
        """Drop the tables of nodes without a session, and of core machines that are silent or no longer voters."""
        now = self.parts.runtime.now()
        for sender in list(self.tables):
            is_core = sender in self.last_contact
            if is_core:
                gone = sender not in voters or now - self.last_contact[sender] > CORE_EXPIRY_US
            else:
                gone = sender not in self.node_sessions
            if gone:
                self._update(message.LoadReport(sender, True, {}), not is_core)
                del self.tables[sender]
                self.last_contact.pop(sender, None)
        for receiver in [name for name in self.pending if name not in self.node_sessions and name not in voters]:
            del self.pending[receiver]

    def _send_changes(self, receiver: str, only: collections.abc.Iterable[load_table.WorkerKey] | None) -> None:
        """Send a receiver its pending changes, limited to some keys if given; the first report is complete."""
        pending = self.pending.setdefault(receiver, None)
        complete = pending is None
        changed = set(self.sums) if pending is None else set(pending)
        keys = changed if pending is None or only is None else changed & set(only)
        if not keys and not complete:
            return
        session = self.node_sessions.get(receiver)
        sent = (
            self._send_to_node(session, keys, complete)
            if session is not None
            else self._send_to_core(receiver, keys, complete)
        )
        if sent:
            self.pending[receiver] = set() if pending is None else pending - keys

    def _send_to_node(self, session: node_session.NodeSession, keys: set[load_table.WorkerKey], complete: bool) -> bool:
        """Send a node the load of all other nodes; False if its connection is down or its send buffer is full."""
        if not session.connection.up or session.connection.buffer_full:
            return False
        own = self.tables.get(session.member.id, {})
        table = {
            key: load_table.add_and_subtract(
                self.sums.get(key, load_table.NO_LOAD), load_table.NO_LOAD, own.get(key, load_table.NO_LOAD)
            )
            for key in keys
        }
        rows = load_table.rows(table, keys)
        session.connection.tell(message.LoadReport(self.parts.consensus.own_voter.id, complete, rows))
        return True

    def _send_to_core(self, receiver: str, keys: set[load_table.WorkerKey], complete: bool) -> bool:
        """Send another core machine the sums over the nodes with a session here; returns False if it is no voter."""
        voter = self.parts.consensus.voter(receiver)
        if voter is None:
            return False
        report = message.LoadReport(self.parts.consensus.own_voter.id, complete, load_table.rows(self.node_sums, keys))
        self.parts.runtime.spawn(self.parts.peers.tell(voter.host, voter.port, report), log)
        return True
