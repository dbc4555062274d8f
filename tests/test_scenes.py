"""The simulator's scenes with fixed seeds: clean as the code stands, and failing without its guards.

A guard test takes one guard out (bench/mutation_checks.py) and wants the matching checker to complain:
so each "must never happen" point is seen failing before it is seen to hold.
"""

import multiprocessing
import os

import loguru
import testtools

import bench.mutation_checks as mutation_checks
import bench.scenes as scenes
import iriswheel.replay as replay

SEEDS = {name: 1 for name in scenes.SCENES}
# runs that a sweep once found failing
FOUND = [
    ("cut_core_two", 2, "magnolia"),
    ("slow_link", 3, "magnolia"),
    ("worker_freeze", 10, "magnolia"),
    ("cut_core_off", 13, "magnolia"),
    ("kill_all", 13, "magnolia"),
    ("mixed", 14, "magnolia"),
    ("mixed", 21, "magnolia"),
    ("race", 100, "magnolia"),
    ("kill_many", 4, "swan"),
]
SWAN = [("calm", 1, "swan"), ("kill_warden", 2, "swan"), ("replace_all", 2, "swan")]


def play(job):
    """Play one scene, perhaps with a guard out: what the checkers say, or the log itself."""
    scene, seed, shape, guard = job
    if guard:
        return job, mutation_checks.play(job)[1], ""
    loguru.logger.remove()
    t = scenes.play(scene, seed, shape)
    return job, replay.judge(t.tape.rows), t.tape.text() if scene == "calm" else ""


class Scenes(testtools.TestCase):
    results = None

    @classmethod
    def setUpClass(cls):
        super().setUpClass()
        jobs = [(name, seed, "magnolia", "") for name, seed in SEEDS.items()]
        jobs += [(scene, seed, "magnolia", guard) for guard, (_, scene, seed, _) in mutation_checks.GUARDS.items()]
        jobs += [(*run, "") for run in FOUND + SWAN]
        with multiprocessing.Pool(max(2, os.cpu_count() // 2), maxtasksperchild=4) as pool:
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
        _, scene, seed, checker = mutation_checks.GUARDS[guard]
        self.assertIn(checker, self.results[(scene, seed, "magnolia", guard)][0])

    return test


for _scene, _seed in SEEDS.items():
    setattr(Scenes, f"test_scene_{_scene}", _clean(_scene, _seed, "magnolia"))
for _scene, _seed, _shape in FOUND + SWAN:
    setattr(Scenes, f"test_scene_{_scene}_seed_{_seed}_{_shape}", _clean(_scene, _seed, _shape))
for _guard in mutation_checks.GUARDS:
    setattr(Scenes, f"test_without_guard_{_guard}", _complains(_guard))
