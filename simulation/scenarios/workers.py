"""Scenarios of the workers: crashes, releases, invalid answers, and faulty load reports."""

from __future__ import annotations

from benchmarks import stand_in_worker
from simulation import simulated_cluster
from simulation.scenarios import actions


def worker_crash(cluster: simulated_cluster.SimulatedCluster) -> None:
    """A worker is killed and restarted; then a worker can't be reached by any node for 4 to 9 s."""
    actions.confirm_changes(cluster, 6, 5)
    cluster.advance(5)
    name = actions.random_worker(cluster)
    actions.kill(cluster, name, restart_after=2 + cluster.rng.random() * 5)
    cluster.advance(14)
    name = actions.random_worker(cluster)
    cluster.fault("dark", name)
    cluster.world.cut([cluster.workers[name].host], cluster.hosts("nodes"))
    cluster.advance(4 + cluster.rng.random() * 5)
    actions.heal(cluster, name)
    cluster.advance(10)


def worker_vanish(cluster: simulated_cluster.SimulatedCluster) -> None:
    """Twice a worker's machine is lost without closing its connections; the platform delists it 2 to 8 s later."""
    actions.confirm_changes(cluster, 6, 5)
    for _ in range(2):
        cluster.advance(6 + cluster.rng.random())
        name = actions.random_worker(cluster)
        cluster.fault("vanish", name)
        cluster.workers.pop(name).process.host.fail()
        cluster.advance(2 + cluster.rng.random() * 6)
        cluster.platform.drop(name)
        cluster.advance(8)


def worker_leaves(cluster: simulated_cluster.SimulatedCluster) -> None:
    """Three workers are replaced as in a release: a new one starts, the old one is listed as leaving, then removed."""
    actions.confirm_changes(cluster, 6, 5)
    for number, name in enumerate(sorted(cluster.workers)[:3]):
        cluster.advance(3)
        cluster.start_worker(f"v{number}", f"10.0.3.{50 + number}")
        cluster.platform.put(name, state="leaving")
        cluster.advance(6)
        cluster.platform.drop(name)
        cluster.workers.pop(name).process.kill()
        cluster.advance(4)


def worker_storm(cluster: simulated_cluster.SimulatedCluster) -> None:
    """Twice all workers crash at once and restart, while clients retry up to 30 times."""
    actions.confirm_changes(cluster, 4, 5)
    cluster.load.max_attempts = 30
    for _ in range(2):
        cluster.advance(8)
        for name in sorted(cluster.workers):
            actions.kill(cluster, name, restart_after=4 + cluster.rng.random() * 2, large=True)
        cluster.advance(20)


def worker_breaks(cluster: simulated_cluster.SimulatedCluster) -> None:
    """Most workers accept requests and close the connection without an answer, though they are listed as ready."""
    actions.confirm_changes(cluster, 4, 5)
    cluster.advance(8)
    unhealthy = sorted(cluster.workers)[: len(cluster.workers) // 2 + 1]
    for name in unhealthy:
        cluster.fault("sick", name)
        cluster.workers[name].unhealthy = True
    cluster.advance(9)
    for name in unhealthy:
        cluster.repair("well", name)
        cluster.workers[name].unhealthy = False
    cluster.advance(14)


def worker_freeze(cluster: simulated_cluster.SimulatedCluster) -> None:
    """A worker freezes while it runs requests, and wakes 14 s later, long after the nodes gave them up."""
    actions.confirm_changes(cluster, 6, 5)
    cluster.advance(8 + cluster.rng.random())
    name = actions.random_worker(cluster)
    cluster.fault("freeze", name)
    cluster.workers[name].process.freeze()
    cluster.advance(14)
    cluster.workers[name].process.wake()
    cluster.repair("wake", name)
    cluster.advance(16)


def worker_release(cluster: simulated_cluster.SimulatedCluster) -> None:
    """All workers are replaced one after another, each stopped 3 s after it is listed as leaving with a 2.5 s drain."""
    actions.confirm_changes(cluster, 6, 5)
    for number, name in enumerate(sorted(cluster.workers)):
        cluster.advance(1.5)
        cluster.start_worker(f"v{number}", f"10.0.3.{50 + number}")
        cluster.platform.put(name, state="leaving", drain_deadline_ms=2500)
        cluster.advance(3)
        cluster.platform.drop(name)
        cluster.workers.pop(name).process.kill()
    cluster.advance(8)


def worker_returns(cluster: simulated_cluster.SimulatedCluster) -> None:
    """A killed worker returns under its name at a new address; another one flaps between ready and leaving."""
    actions.confirm_changes(cluster, 6, 5)
    cluster.advance(5)
    moved, flapping = cluster.rng.sample(sorted(cluster.workers), 2)
    actions.kill(cluster, moved)
    cluster.advance(3 + cluster.rng.random() * 3)
    cluster.repair("start", moved)
    cluster.start_worker(moved, "10.0.3.77")
    for _ in range(4):
        cluster.advance(2 + cluster.rng.random())
        cluster.platform.put(flapping, state="leaving")
        cluster.advance(0.4 + cluster.rng.random() * 3)
        cluster.platform.put(flapping, state="ready")
    cluster.advance(8)


def worker_garbles(cluster: simulated_cluster.SimulatedCluster) -> None:
    """A random worker has each `AnswerFault` for 5 s, such as slow, stalled, truncated or overlong answers."""
    actions.confirm_changes(cluster, 6, 5)
    for fault in stand_in_worker.AnswerFault:
        cluster.advance(4)
        name = actions.random_worker(cluster)
        cluster.fault(fault.value, name)
        cluster.workers[name].answer_fault = fault
        cluster.advance(5)
        cluster.workers[name].answer_fault = None
        cluster.repair("well", name)
        cluster.advance(2)
    cluster.advance(14)


def other_pool(cluster: simulated_cluster.SimulatedCluster) -> None:
    """The platform lists a worker of a pool that is not in the configuration, next to the usual workers."""
    cluster.start_worker("s1", "10.0.3.90")
    cluster.platform.put("s1", pool="spare")
    actions.confirm_changes(cluster, 4, 5)
    cluster.advance(25)


def load_reports(cluster: simulated_cluster.SimulatedCluster) -> None:
    """Workers send load reports that are late, missing, unreadable, mistyped or never sent; all serve."""
    actions.confirm_changes(cluster, 6, 5)
    cluster.advance(4)
    bad_reports = [each for each in stand_in_worker.LoadReportMode if each is not stand_in_worker.LoadReportMode.GOOD]
    for name, report in zip(sorted(cluster.workers), bad_reports, strict=False):
        cluster.workers[name].load_report = report
    cluster.advance(25)
    for name in sorted(cluster.workers):
        cluster.workers[name].load_report = stand_in_worker.LoadReportMode.GOOD
    cluster.advance(4)
