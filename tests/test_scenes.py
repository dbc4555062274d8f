"""The simulator's scenes with fixed seeds: clean as the code stands, and failing without its guards.

A guard test takes one guard out and wants the matching checker to complain: so each
"must never happen" point is seen failing before it is seen to hold.
"""

import contextlib
import multiprocessing
import os
import unittest.mock as mock

import loguru
import testtools

import bench.scenes as scenes
import iriswheel.budget as budget
import iriswheel.core as core
import iriswheel.door as door
import iriswheel.follower as follower
import iriswheel.message as message
import iriswheel.outer as outer
import iriswheel.replay as replay
import iriswheel.roster as roster
import iriswheel.sender as sender
import iriswheel.session as session
import iriswheel.view as view
import iriswheel.warden as warden

SEEDS = {name: 1 for name in scenes.SCENES}
# runs that a sweep once found failing
FOUND = [("cut_core_two", 2, "magnolia"), ("slow_link", 3, "magnolia"), ("worker_freeze", 10, "magnolia"),
         ("cut_core_off", 13, "magnolia"), ("kill_all", 13, "magnolia"), ("mixed", 14, "magnolia"),
         ("mixed", 21, "magnolia"), ("race", 100, "magnolia"), ("kill_many", 4, "swan")]
SWAN = [("calm", 1, "swan"), ("kill_warden", 2, "swan"), ("replace_all", 2, "swan")]


async def _confirm_at_once(self, ident):
    return await self.propose("confirm", ident)


async def _unsent(self, *args, send=sender.Sender.send):
    out = await send(self, *args)
    return sender.Outcome.UNSENT if out is sender.Outcome.BROKE else out


def _first_list(self, workers, take=follower.Follower.take_workers):
    take(self, self.workers or workers)


def _one_pool(self, workers, take=follower.Follower.take_workers):
    take(self, [message.Worker(w.id, w.host, w.port, "desk", w.state, w.drain_us) for w in workers])


def _blank_leads(v, promises, alive):
    blank_first = sorted(alive, key=lambda i: (i in promises and promises[i].whole == v.number, i))
    return [message.ChainLink(i, alive[i]) for i in blank_first]


def _torn_is_whole(self, reason=None, lost=sender.Relay.connectionLost):
    if self.tick is not None and self.tick.active():
        self.tick.cancel()
    self.done(True)


def _stale_headers(headers, worker, onward=outer.onward, last=[]):
    last.append(onward(headers, worker))
    return last[-2] if len(last) > 50 else last[-1]


# guard -> what is put in its place, the scene, its seed, the checker that must complain
GUARDS = {
    "claims": ([(warden.Warden, "claimed", lambda self, m: None)], "worker_storm", 1, "once"),
    "torn_answers": ([(sender.Relay, "connectionLost", _torn_is_whole)], "worker_storm", 1, "once"),
    "own_headers": ([(outer, "onward", _stale_headers)], "calm", 1, "own"),
    "unsent_or_broke": ([(sender.Sender, "send", _unsent), (door, "RESENDS", 0)], "worker_freeze", 1, "not_run"),
    "worker_states": ([(follower.Follower, "take_workers", _first_list)], "worker_leaves", 1, "leaving"),
    "forced": ([(core.Core, "confirm", _confirm_at_once), (follower.Follower, "cut_off", lambda self: False)],
               "cut_core_off", 1, "in_force"),
    "whole_copies": ([(view, "order", _blank_leads)], "replace_all", 2, "kept"),
    "pools": ([(follower.Follower, "take_workers", _one_pool)], "other_pool", 1, "allowed"),
    "pins": ([(session.Book, "pinned", lambda self, ident: None)], "calm", 1, "pinned"),
    "cap": ([(session.Book, "count", lambda self, worker: 0)], "many_talks", 1, "capped"),
    "retry_budget": ([(budget.Budget, "spend", lambda self, now: True)], "worker_breaks", 1, "budget"),
    "seats": ([(warden.Warden, "has_seat", lambda self, w, long, pool: False)], "calm", 1, "served"),
    "failover": ([(roster, "GRACE_US", 10**12), (roster, "SILENT_US", 10**12),
                  (scenes, "restart", lambda t, name: None)], "kill_warden", 1, "back"),
}


def play(job):
    """Play one scene with the named guard out; what the checkers say, or the log itself."""
    scene, seed, shape, guard = job
    loguru.logger.remove()
    with contextlib.ExitStack() as stack:
        for owner, name, instead in GUARDS[guard][0] if guard else []:
            stack.enter_context(mock.patch.object(owner, name, instead))
        t = scenes.play(scene, seed, shape)
    if scene == "calm" and not guard:
        return job, replay.judge(t.tape.rows), t.tape.text()
    return job, replay.judge(t.tape.rows), ""


class Scenes(testtools.TestCase):
    results = None

    @classmethod
    def setUpClass(cls):
        super().setUpClass()
        jobs = [(name, seed, "magnolia", "") for name, seed in SEEDS.items()]
        jobs += [(scene, seed, "magnolia", guard) for guard, (_, scene, seed, _) in GUARDS.items()]
        jobs += [(*run, "") for run in FOUND + SWAN]
        with multiprocessing.Pool(os.cpu_count(), maxtasksperchild=4) as pool:
            twice = pool.apply_async(play, (("calm", 1, "magnolia", ""),))
            cls.results = {job: (found, text) for job, found, text in pool.imap_unordered(play, jobs)}
            cls.again = twice.get()

    def test_a_seed_gives_the_same_log_to_the_byte(self):
        job, _, text = self.again
        self.assertTrue(len(text) > 10_000)
        self.assertEqual(self.results[job][1], text)


def _clean(scene, seed, shape):
    def test(self):
        self.assertEqual({}, self.results[(scene, seed, shape, "")][0])

    return test


def _complains(guard):
    def test(self):
        _, scene, seed, checker = GUARDS[guard]
        self.assertIn(checker, self.results[(scene, seed, "magnolia", guard)][0])

    return test


for _scene, _seed in SEEDS.items():
    setattr(Scenes, f"test_scene_{_scene}", _clean(_scene, _seed, "magnolia"))
for _scene, _seed, _shape in FOUND + SWAN:
    setattr(Scenes, f"test_scene_{_scene}_seed_{_seed}_{_shape}", _clean(_scene, _seed, _shape))
for _guard in GUARDS:
    setattr(Scenes, f"test_without_guard_{_guard}", _complains(_guard))
