"""Mutation checks: guards of the product are taken out one at a time, and the checker of each must complain.

python -m simulation.mutation_checks --seeds 5
python -m simulation.mutation_checks --names claims via --seeds 10 --shapes swan
"""

from __future__ import annotations

import collections
import contextlib
import multiprocessing
import os
import sys
import typing
from unittest import mock

import defopt
import loguru
import msgspec

from iriswheel import errors
from iriswheel.consensus import decisions
from iriswheel.control import tail_contact
from iriswheel.dataplane import (
    attempt_outcome,
    dispatch,
    edge_protocol,
    gateway,
    health,
    request_router,
    retry_budget,
    sessions,
    worker_selection,
)
from iriswheel.membership import lease, membership_manager
from iriswheel.node import follower, peer_status, platform_listing
from iriswheel.pools import pool_owner, selection
from iriswheel.transport import http_server, message
from iriswheel.verification import replay
from simulation import seed_runs
from simulation.scenarios import actions, registry

VALID_US = peer_status.STATUS_VALIDITY_US


async def _acknowledge_at_once(self: typing.Any, index: typing.Any, until: typing.Any) -> None:
    """In place of `TailContact.wait_until_applied`: no change waits until all nodes apply it."""
    return None


async def _unsent(self: typing.Any, *args: typing.Any, send: typing.Any = dispatch.Dispatcher.send) -> typing.Any:
    """In place of `Dispatcher.send`: an attempt that broke off counts as never sent."""
    out = await send(self, *args)
    return attempt_outcome.AttemptOutcome.UNSENT if out is attempt_outcome.AttemptOutcome.BROKE else out


async def _elect_once(
    self: typing.Any, x: typing.Any, shun: typing.Any, elect: typing.Any = worker_selection.WorkerSelector.select_worker
) -> typing.Any:
    """In place of `select_worker`: no second worker is selected after the first could not be reached."""
    if shun:
        raise errors.ServiceError("no_worker", "No worker could be reached.", x.known_outcome())
    return await elect(self, x, shun)


async def _alone(self: typing.Any, w: typing.Any) -> None:
    """In place of `WorkerWatch.check`: a node's own failure to reach a worker is enough, without a second witness."""
    self.dark[w.id] = self.runtime.now()
    self.owner.check_workers()


async def _no_token(
    self: typing.Any,
    x: typing.Any,
    worker: typing.Any,
    send: typing.Any,
    via: typing.Any,
    plain: typing.Any = gateway.Gateway.send,
) -> typing.Any:
    """In place of `Gateway.send`: a worker that only another node reaches is sent to without its token."""
    return await plain(self, x, worker, send, "")


def _believe_all(self: typing.Any, workers: typing.Any) -> typing.Any:
    """In place of `Follower.believe`: every list of workers is believed at once, also one that lost many."""
    return workers


def _local_budgets(self: typing.Any, now: typing.Any, capacity: typing.Any = retry_budget.Budget.has_capacity) -> bool:
    """In place of `Budget.has_capacity`: each node takes a sixth of the retry budget, whatever its traffic."""
    self._trim(now)
    return (len(self.repeats) + 1) * 6 / self.ratio <= len(self.firsts)


def _half(self: typing.Any) -> typing.Any:
    """In place of `Follower.is_partitioned`: half of the members, not all, must say that they lost the core."""
    if self.session.stands():
        return False
    fresh = [g for at, g in self.peer_status.responses.values() if self.runtime.now() - at < VALID_US]
    return any(g.core for g in fresh) or 2 * (len(fresh) + 1) <= len(self.membership.members)


def _any_place(self: typing.Any) -> typing.Any:
    """In place of `Follower.is_partitioned`: a member without the core counts even where its configuration is ahead."""
    without = {
        i for i, (at, g) in self.peer_status.responses.items() if self.runtime.now() - at < VALID_US and not g.core
    }
    return not self.session.stands() and any(
        m.id != self.node.me.id and m.id not in without for m in self.membership.members
    )


def _keep_all(self: typing.Any, now: typing.Any) -> list[typing.Any]:
    """In place of `SessionTable.sweep`: silent sessions are never removed."""
    return []


def _first_list(self: typing.Any, workers: typing.Any, take: typing.Any = follower.Follower.apply_workers) -> None:
    """In place of `Follower.apply_workers`: only the first list of workers is applied."""
    take(self, self.workers or workers)


def _one_pool(self: typing.Any, workers: typing.Any, take: typing.Any = follower.Follower.apply_workers) -> None:
    """In place of `Follower.apply_workers`: all workers are taken to be of the first pool."""
    pool = next(iter(self.pools), "")
    take(self, [message.Worker(w.id, w.host, w.port, pool, w.state, w.drain_us) for w in workers])


def _blank_leads(v: typing.Any, promises: typing.Any, alive: typing.Any) -> list[typing.Any]:
    """In place of `decisions.order`: replicas that lack records come first in the chain."""
    blank_first = sorted(alive, key=lambda i: (i in promises and promises[i].complete == v.number, i))
    return [message.ChainReplica(i, alive[i]) for i in blank_first]


def _no_tips(v: typing.Any, promises: typing.Any, alive: typing.Any, order: typing.Any = decisions.order) -> typing.Any:
    """In place of `decisions.order`: how far each replica's log reaches is left out."""
    return order(v, {i: msgspec.structs.replace(p, last_entry=(0, 0)) for i, p in promises.items()}, alive)


async def _nobody_has_it(self: typing.Any, m: typing.Any) -> str:
    """In place of `PoolOwner.query_pools`: other pools' owners are not asked whether they hold a request."""
    return ""


def _interrupted_is_complete(
    self: typing.Any, reason: typing.Any = None, lost: typing.Any = dispatch.AnswerRelay.connectionLost
) -> None:
    """In place of `AnswerRelay.connectionLost`: an answer that broke off counts as complete."""
    if self.tick is not None and self.tick.active():
        self.tick.cancel()
    self.done(True)


_sent_headers = []


def _stale_headers(
    headers: typing.Any,
    worker: typing.Any,
    token: typing.Any,
    onward: typing.Any = edge_protocol.worker_request_headers,
) -> typing.Any:
    """In place of `edge_protocol.worker_request_headers`: a request gets the headers of the one before it."""
    _sent_headers.append(onward(headers, worker))
    return _sent_headers[-2] if len(_sent_headers) > 50 else _sent_headers[-1]


class Patch(typing.NamedTuple):
    """What stands in place of a guard: an attribute of a class or module, and its replacement."""

    owner: typing.Any
    attribute: str
    replacement: typing.Any


class Guard(typing.NamedTuple):
    """A guard of the product, how it is taken out, and the run in which its checker must complain then."""

    patches: list[Patch]
    scenario: str
    seed: int
    checker: str


GUARDS: dict[str, Guard] = {
    "claims": Guard([Patch(pool_owner.PoolOwner, "claimed", lambda self, m: None)], "worker_storm", 1, "once"),
    "other_pools": Guard([Patch(pool_owner.PoolOwner, "query_pools", _nobody_has_it)], "route_moves", 3, "once"),
    "torn_answers": Guard(
        [Patch(dispatch.AnswerRelay, "connectionLost", _interrupted_is_complete)], "worker_storm", 1, "once"
    ),
    "own_headers": Guard([Patch(edge_protocol, "worker_request_headers", _stale_headers)], "calm", 1, "own"),
    "unsent_or_broke": Guard(
        [
            Patch(dispatch.Dispatcher, "send", _unsent),
            Patch(worker_selection.WorkerSelector, "select_worker", _elect_once),
        ],
        "worker_freeze",
        1,
        "not_run",
    ),
    "worker_states": Guard([Patch(follower.Follower, "apply_workers", _first_list)], "worker_leaves", 1, "leaving"),
    "forced": Guard(
        [
            Patch(tail_contact.TailContact, "wait_until_applied", _acknowledge_at_once),
            Patch(follower.Follower, "is_partitioned", lambda self: False),
        ],
        "cut_core_off",
        1,
        "in_force",
    ),
    "whole_copies": Guard([Patch(decisions, "order", _blank_leads)], "replace_all", 2, "kept"),
    "tips": Guard([Patch(decisions, "order", _no_tips)], "disk_old", 1, "kept"),
    "pools": Guard([Patch(follower.Follower, "apply_workers", _one_pool)], "other_pool", 1, "allowed"),
    "pins": Guard([Patch(sessions.SessionTable, "affinity", lambda self, identifier: None)], "calm", 1, "pinned"),
    "cap": Guard([Patch(sessions.SessionTable, "count", lambda self, worker: 0)], "many_talks", 1, "capped"),
    "retry_budget": Guard([Patch(retry_budget.Budget, "spend", lambda self, now: True)], "worker_breaks", 1, "budget"),
    "seats": Guard([Patch(selection.WorkerSelector, "has_slot", lambda self, *more: False)], "calm", 1, "served"),
    "second_witness": Guard([Patch(health.WorkerWatch, "check", _alone)], "blind_owner", 2, "pinned"),
    "via": Guard([Patch(gateway.Gateway, "send", _no_token)], "blind_node", 1, "served"),
    "one_budget": Guard([Patch(retry_budget.Budget, "has_capacity", _local_budgets)], "worker_breaks", 1, "served"),
    "stale": Guard(
        [Patch(follower.Follower, "configuration_may_be_stale", lambda self: False)], "cut_node", 3, "in_force"
    ),
    "places": Guard([Patch(follower.Follower, "is_partitioned", _any_place)], "wake_without_core", 1, "in_force"),
    "all_neighbours": Guard([Patch(follower.Follower, "is_partitioned", _half)], "cut_sides", 1, "in_force"),
    "rerouted": Guard(
        [Patch(request_router.RequestRouter, "reroute", lambda self, request: None)], "crowd", 1, "served"
    ),
    "twice_said": Guard(
        [Patch(platform_listing.PlatformListing, "believe", _believe_all)], "platform_bad", 1, "pinned"
    ),
    "sweep": Guard([Patch(sessions.SessionTable, "sweep", _keep_all)], "release", 1, "served"),
    "early_answers": Guard(
        [Patch(http_server.Request, "refuse_early", lambda self, code, text: None)],
        "bad_requesters",
        1,
        "answered",
    ),
    "failover": Guard(
        [
            Patch(membership_manager, "ENDED_SESSION_GRACE_US", 10**12),
            Patch(membership_manager, "LOST_SESSION_GRACE_US", 10**12),
            Patch(actions, "restart", lambda cluster, name: None),
        ],
        "kill_owner",
        1,
        "served",
    ),
    "leases_end": Guard([Patch(lease, "DRIFT_US", 10**12)], "kill_owner", 1, "back"),
}


class Job(typing.NamedTuple):
    """One run to play, with a guard out."""

    scenario: str
    seed: int
    shape: str
    guard: str


class Count(typing.NamedTuple):
    """Of one run: whether the guard's checker complained, how many rows it judged, and the seed."""

    complained: bool
    rows: int
    seed: int


def play(job: Job) -> tuple[Job, dict[str, list[str]], dict[str, int]]:
    """Play a scenario with a guard out: the job, complaints by checker, rows judged by each checker."""
    scenario, seed, shape, guard = job
    loguru.logger.remove()
    with contextlib.ExitStack() as stack:
        for patch in GUARDS[guard].patches:
            stack.enter_context(mock.patch.object(patch.owner, patch.attribute, patch.replacement))
        cluster = registry.play(scenario, seed, shape)
    return job, *replay.examine(cluster.tape.rows)


def run(
    *, names: list[str] = (), seeds: int = 5, first: int = 1, shapes: list[str] = ("magnolia", "swan")
) -> typing.NoReturn:
    """Play each guard's scenario without it, over seeds and shapes; say how often its checker complained.

    :param names: guards by name; all where none is named
    :param seeds: how many seeds for each
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
    counts: collections.defaultdict[tuple[str, str], list[Count]] = collections.defaultdict(list)
    with multiprocessing.Pool(os.cpu_count(), maxtasksperchild=seed_runs.RUNS_PER_PROCESS) as pool:
        for job, complaints, rows_judged in pool.imap_unordered(play, jobs):
            checker = GUARDS[job.guard].checker
            counts[job.guard, job.shape].append(Count(checker in complaints, rows_judged[checker], job.seed))
    silent = 0
    for (name, shape), found in sorted(counts.items()):
        seeds_found = sorted(count.seed for count in found if count.complained)
        silent += not seeds_found
        _print_counts(name, shape, found, seeds_found)
    sys.exit(1 if silent else 0)


def _print_counts(name: str, shape: str, found: list[Count], seeds_found: list[int]) -> None:
    guard = GUARDS[name]
    print(
        f"{name} out, {guard.scenario}, {shape}: {guard.checker} complained in {len(seeds_found)} of {len(found)} "
        f"runs (seeds {' '.join(map(str, seeds_found)) or 'none'}), {sum(count.rows for count in found)} rows judged",
        flush=True,
    )


if __name__ == "__main__":
    defopt.run(run)
