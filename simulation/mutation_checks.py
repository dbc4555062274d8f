"""Mutation checks: each guard of the product is removed in turn, and its checker must complain of the run.

python -m simulation.mutation_checks --seeds 5
python -m simulation.mutation_checks --names claims via --seeds 10 --shapes swan
"""

from __future__ import annotations

import collections
import collections.abc
import contextlib
import multiprocessing
import os
import sys
import types
import typing
from unittest import mock

import defopt
import loguru
import msgspec
from twisted.web import http_headers

from iriswheel import errors
from iriswheel.consensus import decisions, view_formation
from iriswheel.control import tail_contact
from iriswheel.dataplane import (
    attempt_outcome,
    dispatch,
    edge_protocol,
    gateway,
    request_router,
    retry_budget,
    routed_request,
    sessions,
    worker_selection,
)
from iriswheel.membership import lease, membership_manager
from iriswheel.node import follower, peer_status, platform_listing
from iriswheel.pools import pool_owner, selection, worker_watch
from iriswheel.replication import commit_record
from iriswheel.transport import http_server, message
from iriswheel.verification import replay
from simulation import seed_runs
from simulation.scenarios import actions, registry

if typing.TYPE_CHECKING:
    from twisted.python import failure

SHARE_OF_LOCAL_BUDGET = 6  # number of nodes among which the local budgets divide the retry budget evenly
HEADERS_BEFORE_STALE = 50  # requests that get their own headers; later ones get those of the previous request

Arguments = typing.ParamSpec("Arguments")
Sending = collections.abc.Coroutine[typing.Any, typing.Any, attempt_outcome.AttemptOutcome]

_next_chain = view_formation.next_chain
_apply_workers = follower.Follower.apply_workers
_gateway_send = gateway.Gateway.send
_select_worker = worker_selection.WorkerSelector.select_worker
_worker_request_headers = edge_protocol.worker_request_headers


async def _acknowledge_at_once(_self: tail_contact.TailContact, _index: int, _until: int) -> None:
    """In place of `TailContact.wait_until_applied`: no change waits until all nodes apply it."""


def _report_broken_as_unsent(
    send: collections.abc.Callable[Arguments, Sending],
) -> collections.abc.Callable[Arguments, Sending]:
    """Wrap `Dispatcher.send`: an attempt that broke off is reported as never sent."""

    async def send_reporting_unsent(
        *arguments: Arguments.args, **keywords: Arguments.kwargs
    ) -> attempt_outcome.AttemptOutcome:
        outcome = await send(*arguments, **keywords)
        return attempt_outcome.AttemptOutcome.UNSENT if outcome is attempt_outcome.AttemptOutcome.BROKE else outcome

    return send_reporting_unsent


async def _select_once(
    self: worker_selection.WorkerSelector, request: routed_request.RoutedRequest, excluded_workers: list[str]
) -> worker_selection.SelectedWorker:
    """In place of `select_worker`: no second worker is selected after the first could not be reached."""
    if excluded_workers:
        raise errors.ServiceError("no_worker", "No worker could be reached.", request.known_outcome())
    return await _select_worker(self, request, excluded_workers)


async def _eject_without_second_witness(self: worker_watch.WorkerWatch, worker: message.Worker) -> None:
    """In place of `WorkerWatch.check`: a worker is ejected without a second witness that can't reach it either."""
    self.ejected[worker.id] = self.runtime.now()
    self.owner.check_workers()


async def _send_without_relay(
    self: gateway.Gateway,
    request: routed_request.RoutedRequest,
    worker: message.Worker,
    attempt: dispatch.Attempt,
    _via: str,
) -> attempt_outcome.AttemptOutcome:
    """In place of `Gateway.send`: a request is sent directly even to a worker that only another node can reach."""
    return await _gateway_send(self, request, worker, attempt, "")


def _accept_removals_at_once(
    _self: platform_listing.PlatformListing, workers: list[message.Worker]
) -> list[message.Worker]:
    """In place of `PlatformListing.confirm_removals`: a list that lacks many workers is applied at once."""
    return workers


def _has_local_capacity(self: retry_budget.Budget, now: int) -> bool:
    """In place of `Budget.has_capacity`: each node gets a sixth of the retry budget, whatever its traffic."""
    self._trim(now)
    return (len(self.retries) + 1) * SHARE_OF_LOCAL_BUDGET / self.ratio <= len(self.first_attempts)


def _is_fresh(self: follower.Follower, answered_at: int) -> bool:
    return self.runtime.now() - answered_at < peer_status.STATUS_VALIDITY_US


def _partitioned_by_half(self: follower.Follower) -> bool:
    """In place of `Follower.is_partitioned`: half of the members, instead of all, must report the core as lost."""
    if self.session.is_established():
        return False
    fresh = [status for at, status in self.peer_status.responses.values() if _is_fresh(self, at)]
    return any(status.core for status in fresh) or 2 * (len(fresh) + 1) <= len(self.membership.members)


def _partitioned_at_any_index(self: follower.Follower) -> bool:
    """In place of `Follower.is_partitioned`: a member without the core counts even if its configuration is newer."""
    without_core = {
        member for member, (at, status) in self.peer_status.responses.items() if _is_fresh(self, at) and not status.core
    }
    own_id = "" if self.node.member_record is None else self.node.member_record.id
    return not self.session.is_established() and any(
        member.id not in (own_id, *without_core) for member in self.membership.members
    )


def _keep_all_sessions(_self: sessions.SessionTable[typing.Any], _now: int) -> list[sessions.Session[typing.Any]]:
    """In place of `SessionTable.sweep`: idle sessions are never removed."""
    return []


def _apply_first_list(self: follower.Follower, workers: list[message.Worker]) -> None:
    """In place of `Follower.apply_workers`: only the first list of workers is applied."""
    _apply_workers(self, self.workers or workers)


def _apply_as_one_pool(self: follower.Follower, workers: list[message.Worker]) -> None:
    """In place of `Follower.apply_workers`: all workers are treated as workers of the first pool."""
    pool = next(iter(self.pools), "")
    _apply_workers(self, [msgspec.structs.replace(worker, pool=pool) for worker in workers])


def _order_unsynced_first(
    view: message.View, promises: dict[str, message.Promise], alive: decisions.Incarnations
) -> list[message.ChainReplica]:
    """In place of `view_formation.next_chain`: replicas that are not synced come first in the chain."""
    unsynced_first = sorted(alive, key=lambda i: (i in promises and promises[i].synced_view == view.number, i))
    return [message.ChainReplica(identifier, alive[identifier]) for identifier in unsynced_first]


def _order_without_last_entries(
    view: message.View, promises: dict[str, message.Promise], alive: decisions.Incarnations
) -> list[message.ChainReplica] | None:
    """In place of `view_formation.next_chain`: the last log entries of the replicas are ignored."""
    without_last_entries = {i: msgspec.structs.replace(promise, last_entry=(0, 0)) for i, promise in promises.items()}
    return _next_chain(view, without_last_entries, alive)


async def _report_no_other_holder(_self: pool_owner.PoolOwner, _request: message.SelectWorker) -> str:
    """In place of `PoolOwner.query_other_pools`: owners of other pools are not asked whether they hold the request."""
    return ""


def _treat_interrupted_as_complete(self: dispatch.AnswerBodyStreamer, _reason: failure.Failure | None = None) -> None:
    """In place of `AnswerBodyStreamer.connectionLost`: an answer that broke off counts as complete."""
    if self.read_timer is not None and self.read_timer.active():
        self.read_timer.cancel()
    self.on_end(True)


_sent_headers: list[http_headers.Headers] = []


def _stale_headers(headers: http_headers.Headers, worker: str, _token: str = "") -> http_headers.Headers:
    """In place of `edge_protocol.worker_request_headers`: later requests get the headers of the previous one."""
    _sent_headers.append(_worker_request_headers(headers, worker))
    return _sent_headers[-2] if len(_sent_headers) > HEADERS_BEFORE_STALE else _sent_headers[-1]


class Patch(typing.NamedTuple):
    """An attribute of a class or module, and the replacement that removes a guard."""

    owner: type | types.ModuleType
    attribute: str
    replacement: collections.abc.Callable[..., object] | int


class Guard(typing.NamedTuple):
    """The patches that remove a guard of the product, and the run in which its checker must complain then."""

    patches: list[Patch]
    scenario: str
    seed: int
    checker: str


GUARDS: dict[str, Guard] = {
    "claims": Guard(
        [Patch(pool_owner.PoolOwner, "refuse_if_claimed", lambda _self, _request: None)], "worker_storm", 1, "once"
    ),
    "other_pools": Guard(
        [Patch(pool_owner.PoolOwner, "query_other_pools", _report_no_other_holder)], "route_moves", 3, "once"
    ),
    "torn_answers": Guard(
        [Patch(dispatch.AnswerBodyStreamer, "connectionLost", _treat_interrupted_as_complete)],
        "worker_storm",
        1,
        "once",
    ),
    "own_headers": Guard([Patch(edge_protocol, "worker_request_headers", _stale_headers)], "calm", 1, "own"),
    "unsent_or_broke": Guard(
        [
            Patch(dispatch.Dispatcher, "send", _report_broken_as_unsent(dispatch.Dispatcher.send)),
            Patch(worker_selection.WorkerSelector, "select_worker", _select_once),
        ],
        "worker_freeze",
        1,
        "not_run",
    ),
    "worker_states": Guard(
        [Patch(follower.Follower, "apply_workers", _apply_first_list)], "worker_leaves", 1, "leaving"
    ),
    "forced": Guard(
        [
            Patch(tail_contact.TailContact, "wait_until_applied", _acknowledge_at_once),
            Patch(follower.Follower, "is_partitioned", lambda _self: False),
        ],
        "cut_core_off",
        1,
        "in_force",
    ),
    "whole_copies": Guard([Patch(view_formation, "next_chain", _order_unsynced_first)], "replace_all", 4, "kept"),
    "tips": Guard(
        [
            Patch(view_formation, "next_chain", _order_without_last_entries),
            Patch(commit_record, "read", lambda _records: commit_record.NOTHING_COMMITTED),
        ],
        "disk_old",
        1,
        "kept",
    ),
    "pools": Guard([Patch(follower.Follower, "apply_workers", _apply_as_one_pool)], "other_pool", 1, "allowed"),
    "pins": Guard([Patch(sessions.SessionTable, "affinity", lambda _self, _identifier: None)], "calm", 1, "pinned"),
    "cap": Guard([Patch(sessions.SessionTable, "count", lambda _self, _worker: 0)], "many_talks", 1, "capped"),
    "retry_budget": Guard(
        [Patch(retry_budget.Budget, "spend", lambda _self, _now: True)], "worker_breaks", 1, "budget"
    ),
    "seats": Guard([Patch(selection.WorkerSelector, "has_slot", lambda _self, *_more: False)], "calm", 1, "served"),
    "second_witness": Guard(
        [Patch(worker_watch.WorkerWatch, "check", _eject_without_second_witness)], "blind_owner", 2, "pinned"
    ),
    "via": Guard([Patch(gateway.Gateway, "send", _send_without_relay)], "blind_node", 1, "served"),
    "one_budget": Guard(
        [Patch(retry_budget.Budget, "has_capacity", _has_local_capacity)], "worker_breaks", 1, "served"
    ),
    "stale": Guard(
        [Patch(follower.Follower, "configuration_may_be_stale", lambda _self: False)], "cut_node", 3, "in_force"
    ),
    "places": Guard(
        [Patch(follower.Follower, "is_partitioned", _partitioned_at_any_index)], "wake_without_core", 2, "in_force"
    ),
    "all_neighbours": Guard(
        [Patch(follower.Follower, "is_partitioned", _partitioned_by_half)], "cut_sides", 1, "in_force"
    ),
    "rerouted": Guard(
        [Patch(request_router.RequestRouter, "reroute", lambda _self, _request: None)], "crowd", 1, "served"
    ),
    "twice_said": Guard(
        [Patch(platform_listing.PlatformListing, "confirm_removals", _accept_removals_at_once)],
        "platform_bad",
        1,
        "pinned",
    ),
    "sweep": Guard([Patch(sessions.SessionTable, "sweep", _keep_all_sessions)], "release", 1, "served"),
    "early_answers": Guard(
        [Patch(http_server.Request, "send_error_early", lambda _self, _error: None)],
        "bad_requesters",
        1,
        "answered",
    ),
    "failover": Guard(
        [
            Patch(membership_manager, "ENDED_SESSION_GRACE_US", 10**12),
            Patch(membership_manager, "LOST_SESSION_GRACE_US", 10**12),
            Patch(actions, "restart", lambda _cluster, _name: None),
        ],
        "kill_owner",
        1,
        "served",
    ),
    "leases_end": Guard([Patch(lease, "DRIFT_US", 10**12)], "kill_owner", 1, "back"),
}


class Job(typing.NamedTuple):
    """One run to play with a guard removed."""

    scenario: str
    seed: int
    shape: str
    guard: str


class GuardRun(typing.NamedTuple):
    """The result of one run: whether the guard's checker complained, the number of rows it judged, and the seed."""

    complained: bool
    rows: int
    seed: int


def play(job: Job) -> tuple[Job, dict[str, list[str]], dict[str, int]]:
    """Play a scenario with a guard removed.

    Returns:
        The job, the complaints of each checker, and the number of rows that each checker judged.
    """
    scenario, seed, shape, guard = job
    loguru.logger.remove()
    with contextlib.ExitStack() as stack:
        for patch in GUARDS[guard].patches:
            stack.enter_context(mock.patch.object(patch.owner, patch.attribute, patch.replacement))
        cluster = registry.play(scenario, seed, shape)
    return job, *replay.examine(cluster.event_log.rows)


def run(
    *,
    names: collections.abc.Sequence[str] = (),
    seeds: int = 5,
    first: int = 1,
    shapes: collections.abc.Sequence[str] = ("magnolia", "swan"),
) -> typing.NoReturn:
    """Play each guard's scenario with the guard removed, and print how often its checker complained.

    The exit code is 1 if, for any guard and shape, the checker complained in no run.

    :param names: names of the guards; all where none is given
    :param seeds: number of seeds for each guard and shape
    :param first: the first seed
    :param shapes: magnolia, swan or both
    """
    loguru.logger.remove()
    jobs = [
        Job(GUARDS[name].scenario, seed, shape, name)
        for name in list(names) or list(GUARDS)
        for shape in shapes
        for seed in range(first, first + seeds)
    ]
    guard_runs: collections.defaultdict[tuple[str, str], list[GuardRun]] = collections.defaultdict(list)
    with multiprocessing.Pool(os.cpu_count(), maxtasksperchild=seed_runs.RUNS_PER_PROCESS) as pool:
        for job, complaints, rows_judged in pool.imap_unordered(play, jobs):
            checker = GUARDS[job.guard].checker
            guard_runs[job.guard, job.shape].append(GuardRun(checker in complaints, rows_judged[checker], job.seed))
    undetected_count = 0
    for (name, shape), found in sorted(guard_runs.items()):
        detecting_seeds = sorted(guard_run.seed for guard_run in found if guard_run.complained)
        undetected_count += not detecting_seeds
        _print_guard_runs(name, shape, found, detecting_seeds)
    sys.exit(1 if undetected_count else 0)


def _print_guard_runs(name: str, shape: str, found: list[GuardRun], detecting_seeds: list[int]) -> None:
    guard = GUARDS[name]
    print(
        f"without {name}, {guard.scenario}, {shape}: "
        f"{guard.checker} complained in {len(detecting_seeds)} of {len(found)} "
        f"runs (seeds {' '.join(map(str, detecting_seeds)) or 'none'}), "
        f"{sum(guard_run.rows for guard_run in found)} rows judged",
        flush=True,
    )


if __name__ == "__main__":
    defopt.run(run)
