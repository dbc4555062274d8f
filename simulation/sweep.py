"""Play scenarios over many seeds, judge each run, and say how to repeat what failed.

python -m simulation.sweep --seeds 100
python -m simulation.sweep --scenarios kill_warden freeze --seeds 20 --first 7 --shape swan
python -m simulation.sweep --scenarios kill_warden --first 7 --seeds 1 --log run.events
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

import benchmarks.fleet as fleet
import iriswheel.verification.replay as replay
import simulation.fault_scenarios as plays


def one(
    job: tuple[str, int, str, str],
) -> tuple[tuple[str, int, str, str], dict[typing.Any, typing.Any], dict[str, int], float]:
    """Play and judge one run: the job, complaints, rows judged by each checker, seconds of computing."""
    scenario, seed, shape, path = job
    started_at = time.process_time()
    try:
        t = plays.play(scenario, seed, shape)
    except Exception as e:  # a scenario that can't go on is a finding too
        return job, {"crash": [repr(e)]}, {}, time.process_time() - started_at
    if path:
        with open(path, "w") as f:
            f.write(t.tape.text())
    return job, *replay.examine(t.tape.rows), time.process_time() - started_at


def sweep(
    *,
    scenarios: list[str] = (),
    seeds: int = 10,
    first: int = 1,
    shape: str = "magnolia",
    log: str = "",
    processes: int = 0,
) -> typing.NoReturn:
    """Play scenarios over seeds.

    :param scenarios: scenarios by name; all where none is named
    :param seeds: how many seeds for each
    :param first: the first seed
    :param shape: magnolia, swan or small
    :param log: write the event log of the one run here
    :param procs: processes to use; all cores where 0
    """
    loguru.logger.remove()
    names = list(scenarios) or list(plays.SCENARIOS)
    bad = [n for n in names if n not in plays.SCENARIOS]
    if bad or shape not in fleet.SHAPES or seeds < 1 or first < 0:
        print(f"sweep: there is no such scene, shape or seed: {' '.join(bad) or shape}", file=sys.stderr)
        sys.exit(2)
    jobs = [(n, s, shape, log) for s in range(first, first + seeds) for n in names]
    if log and len(jobs) > 1:
        print("sweep: --log wants one scene and one seed", file=sys.stderr)
        sys.exit(2)
    started_at = time.monotonic()
    failed, total, looked = [], 0.0, collections.Counter()
    with multiprocessing.Pool(processes or os.cpu_count(), maxtasksperchild=8) as pool:
        for (scenario, seed, shape, _), found, rows, cost in pool.imap_unordered(one, jobs):
            total += cost
            looked.update(rows)
            if found:
                failed.append((scenario, seed))
                print(
                    f"FAILED {scenario} seed {seed}: python -m simulation.sweep --scenarios {scenario} "
                    f"--first {seed} --seeds 1 "
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
        f"{time.monotonic() - started_at:.0f} s on the clock"
    )
    print("rows judged: " + ", ".join(f"{name} {n}" for name, n in looked.items()))
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    defopt.run(sweep)
