"""Guards taken out, one at a time: the checker of the point that a guard keeps must complain.

python -m bench.mutation_checks --seeds 5
python -m bench.mutation_checks --names claims via --seeds 10 --shapes swan
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

import bench.scenes as scenes
import iriswheel.agreement as agreement
import iriswheel.budget as budget
import iriswheel.core as core
import iriswheel.dispatch as dispatch
import iriswheel.edge_protocol as edge_protocol
import iriswheel.follower as follower
import iriswheel.gateway as gateway
import iriswheel.lease as lease
import iriswheel.message as message
import iriswheel.reach as reach
import iriswheel.replay as replay
import iriswheel.roster as roster
import iriswheel.session as session
import iriswheel.verdict as verdict
import iriswheel.warden as warden
import iriswheel.web as web


async def _acknowledge_at_once(self: typing.Any, version: typing.Any, until: typing.Any) -> None:
    return None


async def _unsent(self: typing.Any, *args: typing.Any, send: typing.Any = dispatch.Dispatcher.send) -> typing.Any:
    out = await send(self, *args)
    return dispatch.Outcome.UNSENT if out is dispatch.Outcome.BROKE else out


async def _elect_once(
    self: typing.Any, x: typing.Any, shun: typing.Any, elect: typing.Any = gateway.Gateway.elect
) -> typing.Any:
    if shun:
        raise verdict.ServiceError("no_worker", "No worker could be reached.", self.known(x))
    return await elect(self, x, shun)


async def _alone(self: typing.Any, w: typing.Any) -> None:
    self.dark[w.id] = self.mach.now()
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


def _local_budgets(self: typing.Any, now: typing.Any, room: typing.Any = budget.Budget.room) -> bool:
    self._trim(now)
    return (len(self.repeats) + 1) * 6 / self.ratio <= len(self.firsts)


def _half(self: typing.Any) -> typing.Any:
    if self.session.stands():
        return False
    fresh = [g for at, g in self.goes.values() if self.mach.now() - at < follower.GOES_US]
    return any(g.core for g in fresh) or 2 * (len(fresh) + 1) <= len(self.roster.members)


def _any_place(self: typing.Any) -> typing.Any:
    without = {i for i, (at, g) in self.goes.items() if self.mach.now() - at < follower.GOES_US and not g.core}
    return not self.session.stands() and any(
        m.id != self.node.me.id and m.id not in without for m in self.roster.members
    )


def _keep_all(self: typing.Any, now: typing.Any) -> list[typing.Any]:
    return []


def _first_list(self: typing.Any, workers: typing.Any, take: typing.Any = follower.Follower.take_workers) -> None:
    take(self, self.workers or workers)


def _one_pool(self: typing.Any, workers: typing.Any, take: typing.Any = follower.Follower.take_workers) -> None:
    pool = next(iter(self.pools), "")
    take(self, [message.Worker(w.id, w.host, w.port, pool, w.state, w.drain_us) for w in workers])


def _blank_leads(v: typing.Any, promises: typing.Any, alive: typing.Any) -> list[typing.Any]:
    blank_first = sorted(alive, key=lambda i: (i in promises and promises[i].whole == v.number, i))
    return [message.ChainReplica(i, alive[i]) for i in blank_first]


def _no_tips(v: typing.Any, promises: typing.Any, alive: typing.Any, order: typing.Any = agreement.order) -> typing.Any:
    return order(v, {i: msgspec.structs.replace(p, tip=(0, 0)) for i, p in promises.items()}, alive)


async def _nobody_has_it(self: typing.Any, m: typing.Any) -> str:
    return ""


def _torn_is_whole(
    self: typing.Any, reason: typing.Any = None, lost: typing.Any = dispatch.Relay.connectionLost
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


# guard -> what is put in its place, the scene, its seed, the checker that must complain
GUARDS = {
    "claims": ([(warden.Warden, "claimed", lambda self, m: None)], "worker_storm", 1, "once"),
    "other_pools": ([(warden.Warden, "ask_pools", _nobody_has_it)], "route_moves", 3, "once"),
    "torn_answers": ([(dispatch.Relay, "connectionLost", _torn_is_whole)], "worker_storm", 1, "once"),
    "own_headers": ([(edge_protocol, "onward", _stale_headers)], "calm", 1, "own"),
    "unsent_or_broke": (
        [(dispatch.Dispatcher, "send", _unsent), (gateway.Gateway, "elect", _elect_once)],
        "worker_freeze",
        1,
        "not_run",
    ),
    "worker_states": ([(follower.Follower, "take_workers", _first_list)], "worker_leaves", 1, "leaving"),
    "forced": (
        [(core.Core, "show", _acknowledge_at_once), (follower.Follower, "cut_off", lambda self: False)],
        "cut_core_off",
        1,
        "in_force",
    ),
    "whole_copies": ([(agreement, "order", _blank_leads)], "replace_all", 2, "kept"),
    "tips": ([(agreement, "order", _no_tips)], "disk_old", 1, "kept"),
    "pools": ([(follower.Follower, "take_workers", _one_pool)], "other_pool", 1, "allowed"),
    "pins": ([(session.Book, "pinned", lambda self, ident: None)], "calm", 1, "pinned"),
    "cap": ([(session.Book, "count", lambda self, worker: 0)], "many_talks", 1, "capped"),
    "retry_budget": ([(budget.Budget, "spend", lambda self, now: True)], "worker_breaks", 1, "budget"),
    "seats": ([(warden.Warden, "has_seat", lambda self, w, long, pool: False)], "calm", 1, "served"),
    "second_witness": ([(reach.Watch, "check", _alone)], "blind_warden", 2, "pinned"),
    "via": ([(gateway.Gateway, "send", _no_token)], "blind_node", 1, "served"),
    "one_budget": ([(budget.Budget, "room", _local_budgets)], "worker_breaks", 1, "served"),
    "stale": ([(follower.Follower, "stale", lambda self: False)], "cut_node", 3, "in_force"),
    "places": ([(follower.Follower, "cut_off", _any_place)], "wake_without_core", 1, "in_force"),
    "all_neighbours": ([(follower.Follower, "cut_off", _half)], "cut_sides", 1, "in_force"),
    "rerouted": ([(gateway.Gateway, "reroute", lambda self, x: None)], "crowd", 1, "served"),
    "twice_said": ([(follower.Follower, "believe", _believe_all)], "platform_bad", 1, "pinned"),
    "sweep": ([(session.Book, "sweep", _keep_all)], "release", 1, "served"),
    "early_answers": ([(web.Request, "refuse_early", lambda self, code, text: None)], "bad_requesters", 1, "answered"),
    "failover": (
        [(roster, "GRACE_US", 10**12), (roster, "SILENT_US", 10**12), (scenes, "restart", lambda t, name: None)],
        "kill_warden",
        1,
        "served",
    ),
    "leases_end": ([(lease, "DRIFT_US", 10**12)], "kill_warden", 1, "back"),
}


def play(job: typing.Any) -> tuple[typing.Any, ...]:
    """Play a scene with a guard out: the job, complaints, rows judged.

    Example: `play(("calm", 1, "magnolia", "pins"))`
    """
    scene, seed, shape, guard = job
    loguru.logger.remove()
    with contextlib.ExitStack() as stack:
        for owner, name, instead in GUARDS[guard][0]:
            stack.enter_context(mock.patch.object(owner, name, instead))
        t = scenes.play(scene, seed, shape)
    return job, *replay.examine(t.tape.rows)


def run(
    *, names: list[str] = (), seeds: int = 5, first: int = 1, shapes: list[str] = ("magnolia", "swan")
) -> typing.NoReturn:
    """Play each guard's scene without it, over seeds and shapes; say how often its checker complained.

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
