"""The pool owners that run on a node, and its replicas of the records of pools with other owners."""

from __future__ import annotations

import collections.abc
import typing

import loguru

from iriswheel import errors
from iriswheel.pools import pool_owner, session_replicas
from iriswheel.transport import message

if typing.TYPE_CHECKING:
    from iriswheel.node import node

log = loguru.logger.bind(part="node")

Selection = collections.abc.Coroutine[typing.Any, typing.Any, pool_owner.SelectionResponse]
Revocation = collections.abc.Coroutine[typing.Any, typing.Any, message.RevokeResponse]


def pool_of(assignment: message.RoleAssignment) -> str | None:
    """Return the pool whose owner an assignment names; None for an assignment of another role.

    >>> pool_of(message.RoleAssignment("pool/desk", (1, 1), "n", [], []))
    'desk'
    """
    prefix = pool_owner.POOL_ROLE_PREFIX
    return assignment.key.removeprefix(prefix) if assignment.key.startswith(prefix) else None


class PoolRoles:
    """Starts and ends pool owners as assigned by the membership, and passes messages to the owner of each pool."""

    def __init__(self, local_node: node.Node) -> None:
        self.node = local_node
        self.runtime = local_node.runtime
        self.owners: dict[str, pool_owner.PoolOwner] = {}  # by pool, for roles assigned to this node
        self.replicas: dict[str, session_replicas.SessionReplica] = {}  # by pool

    def replica(self, pool: str) -> session_replicas.SessionReplica:
        """Return this node's replica of a pool's records, created empty if there is none."""
        if pool not in self.replicas:
            self.replicas[pool] = session_replicas.SessionReplica()
        return self.replicas[pool]

    def update(self, member_id: str) -> None:
        """End owners whose role was reassigned or got a new term, and start owners of roles assigned to this node."""
        assigned: dict[str, message.RoleAssignment] = {}
        for assignment in self.node.follower.membership.assignments:
            pool = pool_of(assignment)
            if pool is not None and assignment.holder == member_id:
                assigned[pool] = assignment
        for pool, owner in list(self.owners.items()):
            if pool not in assigned or assigned[pool].term != owner.assignment.term:
                self._end_owner(owner)
        for pool, assignment in sorted(assigned.items()):
            replica = self.replica(pool)
            if pool not in self.owners and replica.fence(assignment.term):
                owner = self.owners[pool] = pool_owner.PoolOwner(self.node, pool, assignment)
                self.runtime.spawn(owner.run(), log)
        for owner in list(self.owners.values()):
            owner.check_workers()

    def _end_owner(self, owner: pool_owner.PoolOwner) -> None:
        del self.owners[owner.pool]
        owner.end()
        owner.hand_over_to(self.replica(owner.pool))

    def is_contested(self, assignment: message.RoleAssignment) -> bool:
        """Whether no active owner of the pool runs here, because its replica or its owner has seen a newer term."""
        owner = self.owners.get(pool_of(assignment) or "")
        return owner is None or owner.ended

    def sweep(self, now: int) -> None:
        """Remove expired records from the replicas once their retention time is over."""
        for replica in self.replicas.values():
            replica.sweep(now)

    def state(self) -> list[dict[str, object]]:
        """Return the state of this node's pool owners that `GET /state` shows."""
        return [owner.state() for _, owner in sorted(self.owners.items())]

    # ---- messages ------------------------------------------------------------------

    def select_worker(self, request: message.SelectWorker) -> Selection | message.SelectionDenied:
        """Let a pool's owner select a worker; deny the request if no owner of the pool runs here."""
        owner = self.owners.get(request.pool)
        if owner is None:
            outcome = errors.ExecutionOutcome.NOT_RUN.value
            return message.SelectionDenied(request.term, "no_warden", "The role is not here.", outcome, 0)
        return owner.select_worker(request)

    def revoke(self, request: message.RevokeRequest) -> Revocation | message.RevokeResponse:
        """Let a pool's owner say whether it sent a request, and revoke it if not; RETRY_LATER if none runs here."""
        owner = self.owners.get(request.pool)
        if owner is None:
            return message.RevokeResponse(pool_owner.RevocationState.RETRY_LATER.value)
        return owner.revoke(request)

    def release(self, released: message.GrantReleased) -> None:
        """Tell a pool's owner that a node has released a grant."""
        owner = self.owners.get(released.pool)
        if owner is not None:
            owner.release(released.attempt_id, errors.ExecutionOutcome(released.execution))

    def take_report(self, report: message.GrantReport) -> None:
        """Tell a pool's owner which grants a node holds."""
        owner = self.owners.get(report.pool)
        if owner is not None:
            owner.take_report(report)

    def replicate(self, update: message.ReplicateRecords) -> message.ReplicateResponse:
        """Store the records that a pool's owner sent in the replica of the pool."""
        return message.ReplicateResponse(self.replica(update.pool).apply_update(update, self.runtime.now()))

    def export_records(self, request: message.RecordsRequest) -> message.RecordsResponse:
        """Return this node's records of a pool for the pool's new owner, and refuse older terms from then on."""
        pool = request.pool
        replica = self.replica(pool)
        now = self.runtime.now()
        if not replica.fence(request.term):
            return message.RecordsResponse(False)
        gateway = self.node.gateway
        held = [grant for _, grant in sorted(self.node.grants.items()) if grant.pool == pool]
        affinities = gateway.selector.export_sessions(pool, now)
        owner = self.owners.get(pool)
        if owner is not None and owner.assignment.term < request.term:
            self._end_owner(owner)
        sessions, claims = replica.export(now)
        firsts, repeats = gateway.retry_budgets.export(pool, now)
        return message.RecordsResponse(
            True,
            sessions,
            claims,
            held,
            affinities,
            replica.has_all_records,
            max(0, replica.claims_missing_until_us - now),
            firsts,
            repeats,
        )
