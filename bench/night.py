"""Heavy nights with the partition of caches and without it: what is read again, and who waits.

    python -m bench.night --seeds 2
"""

import contextlib
import multiprocessing
import unittest.mock as mock

import defopt
import loguru

import bench.days as days
import bench.judge as judge
import iriswheel.eviction as eviction

LAST = 40  # seconds of the night's end, by when the partition has been found


def play(job):
    """Play a night: the job, complaints, when pressure was noted, tokens evicted and read again, worth by kind.

    Example: `play(("magnolia", 1, True, 120))`
    """
    shape, seed, parted, seconds = job
    loguru.logger.remove()
    noted, marks, decide = [], [], eviction.Ledger.decide

    def watched(self, now, *more):
        was, out = self.began, decide(self, now, *more)
        if was is None and self.began is not None:
            noted.append(now)
        return out

    def mark(s):
        engines = [w.engine for w in s.workers.values()]
        marks.append([sum(e.evicted for e in engines), sum(e.read_again for e in engines)])

    def night(s):
        s.later(seconds - LAST, mark, s)
        days.heavy_night(s)

    with contextlib.ExitStack() as stack:
        stack.enter_context(mock.patch.object(eviction.Ledger, "decide", watched))
        stack.enter_context(mock.patch.dict(days.DAYS, heavy_night=night))
        if not parted:
            stack.enter_context(mock.patch.object(eviction.Ledger, "divide", lambda self, *more: None))
        s = days.play("heavy_night", seed, shape, seconds=seconds)
    mark(s)
    got = judge.worth(s.tape.rows, s.kinds())
    return job, judge.examine(s.tape.rows), [t / days.S - 12 for t in noted], marks, got


def run(*, seeds: int = 2, first: int = 1, seconds: float = 120, procs: int = 2):
    """Play nights on both shapes, with the partition and without it.

    :param seeds: how many seeds for each
    :param first: the first seed
    :param seconds: how long the traffic lasts
    :param procs: processes to use
    """
    jobs = [(shape, seed, parted, seconds) for shape in ("magnolia", "swan")
            for seed in range(first, first + seeds) for parted in (False, True)]
    print("| shape, seed, partition | noted after | evicted and read again, thousand tokens: all, last 40 s "
          "| read again: all, last 40 s | short: in aim, 99 of 100 ms | bundles: worth, p50, p99 | scans: worth, p50, p99 | rules broken |")
    with multiprocessing.Pool(procs, maxtasksperchild=1) as pool:
        for (shape, seed, parted, _), found, noted, ((e0, a0), (e1, a1)), got in pool.imap(play, jobs):
            names = [k for k in got if k.startswith("bundle")]
            mean = {w: sum(got[k][w] for k in names) / len(names) for w in ("worth", "p50_ms", "p99_ms")}
            print(f"| {shape} {seed} {'in' if parted else 'out'} | {', '.join(f'{t:.0f} s' for t in noted)} "
                  f"| {e1 / 1000:.0f}, {(e1 - e0) / 1000:.0f} | {a1 / 1000:.0f}, {(a1 - a0) / 1000:.0f} "
                  f"| {got['phrase']['in_aim'] / got['phrase']['asked']:.4f}, {got['phrase']['p99_ms']:.0f} "
                  + "".join(f"| {g['worth']:.3f}, {g['p50_ms']:.0f}, {g['p99_ms']:.0f} " for g in (mean, got["scan"]))
                  + f"| {sum(map(len, found.values()))} |", flush=True)


if __name__ == "__main__":
    defopt.run(run)
