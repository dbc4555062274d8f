"""Play scenes over many seeds, judge each run, and say how to repeat what failed.

python -m bench.sweep --seeds 100
python -m bench.sweep --scenes kill_warden freeze --seeds 20 --first 7 --shape swan
python -m bench.sweep --scenes kill_warden --first 7 --seeds 1 --log run.events
"""

from __future__ import annotations

import collections
import multiprocessing
import os
import sys
import time
import typing

import defopt
import loguru

import bench.fleet as fleet
import bench.scenes as plays
import iriswheel.replay as replay


def one(
    job: tuple[str, int, str, str],
) -> tuple[tuple[str, int, str, str], dict[typing.Any, typing.Any], dict[str, int], float]:
    """Play and judge one run: the job, complaints, rows judged by each checker, seconds of computing.

    Example: `one(("calm", 1, "magnolia", ""))`
    """
    scene, seed, shape, path = job
    began = time.process_time()
    try:
        t = plays.play(scene, seed, shape)
    except Exception as e:  # a scene that can't go on is a finding too
        return job, {"crash": [repr(e)]}, {}, time.process_time() - began
    if path:
        with open(path, "w") as f:
            f.write(t.tape.text())
    return job, *replay.examine(t.tape.rows), time.process_time() - began


def sweep(
    *, scenes: list[str] = (), seeds: int = 10, first: int = 1, shape: str = "magnolia", log: str = "", procs: int = 0
) -> typing.NoReturn:
    """Play scenes over seeds.

    :param scenes: scenes by name; all where none is named
    :param seeds: how many seeds for each
    :param first: the first seed
    :param shape: magnolia, swan or small
    :param log: write the event log of the one run here
    :param procs: processes to use; all cores where 0
    """
    loguru.logger.remove()
    names = list(scenes) or list(plays.SCENES)
    bad = [n for n in names if n not in plays.SCENES]
    if bad or shape not in fleet.SHAPES or seeds < 1 or first < 0:
        print(f"sweep: there is no such scene, shape or seed: {' '.join(bad) or shape}", file=sys.stderr)
        sys.exit(2)
    jobs = [(n, s, shape, log) for s in range(first, first + seeds) for n in names]
    if log and len(jobs) > 1:
        print("sweep: --log wants one scene and one seed", file=sys.stderr)
        sys.exit(2)
    began = time.monotonic()
    failed, total, looked = [], 0.0, collections.Counter()
    with multiprocessing.Pool(procs or os.cpu_count(), maxtasksperchild=8) as pool:
        for (scene, seed, shape, _), found, rows, cost in pool.imap_unordered(one, jobs):
            total += cost
            looked.update(rows)
            if found:
                failed.append((scene, seed))
                print(
                    f"FAILED {scene} seed {seed}: python -m bench.sweep --scenes {scene} --first {seed} --seeds 1 "
                    f"--shape {shape}",
                    flush=True,
                )
                for name, lines in found.items():
                    for line in lines[:3]:
                        print(f"    {name}: {line}")
                    if len(lines) > 3:
                        print(f"    {name}: and {len(lines) - 3} more")
    print(
        f"{len(jobs)} runs of {len(names)} scenes, shape {shape}, seeds {first} to {first + seeds - 1}: "
        f"{len(jobs) - len(failed)} clean, {len(failed)} failed; {total:.0f} s of computing, "
        f"{time.monotonic() - began:.0f} s on the clock"
    )
    print("rows judged: " + ", ".join(f"{name} {n}" for name, n in looked.items()))
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    defopt.run(sweep)
