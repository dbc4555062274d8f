"""Plays soaks over seeds, and prints the complaints of each with the command that repeats it."""

from __future__ import annotations

import concurrent.futures
import pathlib
import sys
import typing

import defopt

from benchmarks.soak import soak

COMPLAINTS_SHOWN = 12


def line(report: soak.Report) -> str:
    """One line on a soak without complaints.

    >>> line(soak.Report(soak.Settings(3, 6, 2, 20), [], 900, 700, 20, 12, 5, ["SIGHUP n1"]))
    'seed 3, 6 nodes: 900 requests, 700 served; 20 changes, 12 acknowledged, 5 refused; 1 actions; up to 0 and 0 MiB'
    """
    return (
        f"seed {report.settings.seed}, {report.settings.nodes} nodes: {report.attempts} requests, "
        f"{report.answered} served; {report.changes} changes, {report.acknowledged} acknowledged, "
        f"{report.refused} refused; {len(report.actions)} actions; "
        f"up to {report.core_mb:.0f} and {report.node_mb:.0f} MiB"
    )


def main(
    *,
    seeds: int = 50,
    first_seed: int = 1,
    nodes: int = 6,
    clients: int = 2,
    seconds: float = 20,
    routes: int = 350,
    jobs: int = 1,
    keep: str = "",
) -> typing.NoReturn:
    """Play soaks, and exit with 1 if any has complaints.

    :param seeds: number of seeds
    :param first_seed: the first seed
    :param nodes: number of nodes
    :param clients: number of clients of each node
    :param seconds: how long faults begin
    :param routes: number of further routes, all of which many changes rewrite
    :param jobs: number of soaks at a time
    :param keep: folder in which the logs of soaks with complaints are kept
    """
    chosen = [soak.Settings(seed, nodes, clients, seconds, routes) for seed in range(first_seed, first_seed + seeds)]
    folder = pathlib.Path(keep) if keep else None
    failed = 0
    with concurrent.futures.ProcessPoolExecutor(jobs) as pool:
        for report in pool.map(soak.play, chosen, [folder] * len(chosen)):
            print(line(report), flush=True)
            if report.complaints:
                failed += 1
                options = f"--nodes {nodes} --clients {clients} --seconds {seconds:g} --routes {routes}"
                print(f"FAILED: python -m benchmarks.soak --first-seed {report.settings.seed} --seeds 1 {options}")
                print("\n".join(f"    {complaint}" for complaint in report.complaints[:COMPLAINTS_SHOWN]), flush=True)
    print(f"{len(chosen)} soaks, {failed} with complaints")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    defopt.run(main)
