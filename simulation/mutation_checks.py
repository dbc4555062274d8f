"""Guards taken out, one at a time: the checker of the point that a guard keeps must complain.

python -m simulation.mutation_checks --seeds 5
python -m simulation.mutation_checks --names claims via --seeds 10 --shapes swan
"""

from __future__ import annotations

import contextlib
import multiprocessing
import os
import sys
import typing
import unittest.mock as mock

import defopt
import loguru
import msgspec

import iriswheel.consensus.decisions as decisions
import iriswheel.control.tail_contact as tail_contact
import iriswheel.dataplane.attempt_outcome as attempt_outcome
import iriswheel.dataplane.dispatch as dispatch
import iriswheel.dataplane.edge_protocol as edge_protocol
import iriswheel.dataplane.gateway as gateway
import iriswheel.dataplane.health as health
import iriswheel.dataplane.request_router as request_router
import iriswheel.dataplane.retry_budget as retry_budget
import iriswheel.dataplane.sessions as sessions
import iriswheel.dataplane.worker_selection as worker_selection
import iriswheel.errors as errors
import iriswheel.membership.lease as lease
import iriswheel.membership.membership_manager as membership_manager
import iriswheel.node.follower as follower
import iriswheel.node.peer_status as peer_status
import iriswheel.node.platform_listing as platform_listing
import iriswheel.pools.pool_owner as pool_owner
import iriswheel.pools.selection as selection
import iriswheel.transport.http_server as http_server
import iriswheel.transport.message as message
import iriswheel.verification.replay as replay
import simulation.fault_scenarios as fault_scenarios

VALID_US = peer_status.STATUS_VALIDITY_US


async def _acknowledge_at_once(self: typing.Any, index: typing.Any, until: typing.Any) -> None:
    return None


async def _unsent(self: typing.Any, *args: typing.Any, send: typing.Any = dispatch.Dispatcher.send) -> typing.Any:
    out = await send(self, *args)
    return attempt_outcome.AttemptOutcome.UNSENT if out is attempt_outcome.AttemptOutcome.BROKE else out


async def _elect_once(
    self: typing.Any, x: typing.Any, shun: typing.Any, elect: typing.Any = worker_selection.WorkerSelector.select_worker
) -> typing.Any:
    if shun:
        raise errors.ServiceError("no_worker", "No worker could be reached.", x.known_outcome())
    return await elect(self, x, shun)


async def _alone(self: typing.Any, w: typing.Any) -> None:
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
    return await plain(self, x, worker, send, "")


def _believe_all(self: typing.Any, workers: typing.Any) -> typing.Any:
    return workers


def _local_budgets(self: typing.Any, now: typing.Any, capacity: typing.Any = retry_budget.Budget.has_capacity) -> bool:
    self._trim(now)
    return (len(self.repeats) + 1) * 6 / self.ratio <= len(self.firsts)


def _half(self: typing.Any) -> typing.Any:
    if self.session.stands():
        return False
    fresh = [g for at, g in self.peer_status.responses.values() if self.runtime.now() - at < VALID_US]
    return any(g.core for g in fresh) or 2 * (len(fresh) + 1) <= len(self.membership.members)


def _any_place(self: typing.Any) -> typing.Any:
    without = {
        i for i, (at, g) in self.peer_status.responses.items() if self.runtime.now() - at < VALID_US and not g.core
    }
    return not self.session.stands() and any(
        m.id != self.node.me.id and m.id not in without for m in self.membership.members
    )


def _keep_all(self: typing.Any, now: typing.Any) -> list[typing.Any]:
    return []


def _first_list(self: typing.Any, workers: typing.Any, take: typing.Any = follower.Follower.apply_workers) -> None:
    take(self, self.workers or workers)


def _one_pool(self: typing.Any, workers: typing.Any, take: typing.Any = follower.Follower.apply_workers) -> None:
    pool = next(iter(self.pools), "")
    take(self, [message.Worker(w.id, w.host, w.port, pool, w.state, w.drain_us) for w in workers])


def _blank_leads(v: typing.Any, promises: typing.Any, alive: typing.Any) -> list[typing.Any]:
    blank_first = sorted(alive, key=lambda i: (i in promises and promises[i].complete == v.number, i))
    return [message.ChainReplica(i, alive[i]) for i in blank_first]


def _no_tips(v: typing.Any, promises: typing.Any, alive: typing.Any, order: typing.Any = decisions.order) -> typing.Any:
    return order(v, {i: msgspec.structs.replace(p, last_entry=(0, 0)) for i, p in promises.items()}, alive)


async def _nobody_has_it(self: typing.Any, m: typing.Any) -> str:
    return ""


def _interrupted_is_complete(
    self: typing.Any, reason: typing.Any = None, lost: typing.Any = dispatch.AnswerRelay.connectionLost
) -> None:
    if self.tick is not None and self.tick.active():
        self.tick.cancel()
    self.done(True)


_sent_headers = []


def _stale_headers(
    headers: typing.Any, worker: typing.Any, token: typing.Any, onward: typing.Any = edge_protocol.onward
) -> typing.Any:
    _sent_headers.append(onward(headers, worker))
    return _sent_headers[-2] if len(_sent_headers) > 50 else _sent_headers[-1]


# guard -> what is put in its place, the scenario, its seed, the checker that must complain
GUARDS = {
    "claims": ([(pool_owner.PoolOwner, "claimed", lambda self, m: None)], "worker_storm", 1, "once"),
    "other_pools": ([(pool_owner.PoolOwner, "query_pools", _nobody_has_it)], "route_moves", 3, "once"),
    "torn_answers": ([(dispatch.AnswerRelay, "connectionLost", _interrupted_is_complete)], "worker_storm", 1, "once"),
    "own_headers": ([(edge_protocol, "onward", _stale_headers)], "calm", 1, "own"),
    "unsent_or_broke": (
        [(dispatch.Dispatcher, "send", _unsent), (worker_selection.WorkerSelector, "select_worker", _elect_once)],
        "worker_freeze",
        1,
        "not_run",
    ),
    "worker_states": ([(follower.Follower, "apply_workers", _first_list)], "worker_leaves", 1, "leaving"),
    "forced": (
        [
            (tail_contact.TailContact, "wait_until_applied", _acknowledge_at_once),
            (follower.Follower, "cut_off", lambda self: False),
        ],
        "cut_core_off",
        1,
        "in_force",
    ),
    "whole_copies": ([(decisions, "order", _blank_leads)], "replace_all", 2, "kept"),
    "tips": ([(decisions, "order", _no_tips)], "disk_old", 1, "kept"),
    "pools": ([(follower.Follower, "apply_workers", _one_pool)], "other_pool", 1, "allowed"),
    "pins": ([(sessions.SessionTable, "affinity", lambda self, identifier: None)], "calm", 1, "pinned"),
    "cap": ([(sessions.SessionTable, "count", lambda self, worker: 0)], "many_talks", 1, "capped"),
    "retry_budget": ([(retry_budget.Budget, "spend", lambda self, now: True)], "worker_breaks", 1, "budget"),
    "seats": ([(selection.WorkerSelector, "has_slot", lambda self, w, long, pool: False)], "calm", 1, "served"),
    "second_witness": ([(health.WorkerWatch, "check", _alone)], "blind_owner", 2, "pinned"),
    "via": ([(gateway.Gateway, "send", _no_token)], "blind_node", 1, "served"),
    "one_budget": ([(retry_budget.Budget, "has_capacity", _local_budgets)], "worker_breaks", 1, "served"),
    "stale": ([(follower.Follower, "stale", lambda self: False)], "cut_node", 3, "in_force"),
    "places": ([(follower.Follower, "cut_off", _any_place)], "wake_without_core", 1, "in_force"),
    "all_neighbours": ([(follower.Follower, "cut_off", _half)], "cut_sides", 1, "in_force"),
    "rerouted": ([(request_router.RequestRouter, "reroute", lambda self, request: None)], "crowd", 1, "served"),
    "twice_said": ([(platform_listing.PlatformListing, "believe", _believe_all)], "platform_bad", 1, "pinned"),
    "sweep": ([(sessions.SessionTable, "sweep", _keep_all)], "release", 1, "served"),
    "early_answers": (
        [(http_server.Request, "refuse_early", lambda self, code, text: None)],
        "bad_requesters",
        1,
        "answered",
    ),
    "failover": (
        [
            (membership_manager, "GRACE_US", 10**12),
            (membership_manager, "SILENT_US", 10**12),
            (fault_scenarios, "restart", lambda t, name: None),
        ],
        "kill_owner",
        1,
        "served",
    ),
    "leases_end": ([(lease, "DRIFT_US", 10**12)], "kill_owner", 1, "back"),
}


def play(job: typing.Any) -> tuple[typing.Any, ...]:
    """Play a scenario with a guard out: the job, complaints, rows judged."""
    scenario, seed, shape, guard = job
    loguru.logger.remove()
    with contextlib.ExitStack() as stack:
        for owner, name, instead in GUARDS[guard][0]:
            stack.enter_context(mock.patch.object(owner, name, instead))
        t = fault_scenarios.play(scenario, seed, shape)
    return job, *replay.examine(t.tape.rows)


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
        (GUARDS[g][1], s, shape, g)
        for g in list(names) or list(GUARDS)
        for shape in shapes
        for s in range(first, first + seeds)
    ]
    got = {}
    with multiprocessing.Pool(os.cpu_count(), maxtasksperchild=8) as pool:
        for (_, seed, shape, guard), found, looked in pool.imap_unordered(play, jobs):
            got.setdefault((guard, shape), []).append((GUARDS[guard][3] in found, looked[GUARDS[guard][3]], seed))
    silent = 0
    for (guard, shape), rows in sorted(got.items()):
        hits = sorted(seed for hit, _, seed in rows if hit)
        silent += not hits
        print(
            f"{guard} out, {GUARDS[guard][1]}, {shape}: {GUARDS[guard][3]} complained in {len(hits)} of {len(rows)} "
            f"runs (seeds {' '.join(map(str, hits)) or 'none'}), {sum(n for _, n, _ in rows)} rows judged",
            flush=True,
        )
    sys.exit(1 if silent else 0)


if __name__ == "__main__":
    defopt.run(run)
