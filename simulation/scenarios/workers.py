"""Scenarios of the workers: crashes, releases, garbled answers, and bad load reports."""

from __future__ import annotations

from benchmarks import stand_in_worker
from simulation import simulated_cluster
from simulation.scenarios import actions


def worker_crash(cluster: simulated_cluster.SimulatedCluster) -> None:
    """A worker crashes and comes back; another can't be reached."""
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
    """A worker's machine is gone for good, its connections silent; the platform notices some seconds later."""
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
    """Workers are replaced one after another, as in a release: leaving, gone, a new one."""
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
    """All workers crash at once, and their clients retry, on and on."""
    actions.confirm_changes(cluster, 4, 5)
    cluster.load.max_attempts = 30
    for _ in range(2):
        cluster.advance(8)
        for name in sorted(cluster.workers):
            actions.kill(cluster, name, restart_after=4 + cluster.rng.random() * 2, large=True)
        cluster.advance(20)


def worker_breaks(cluster: simulated_cluster.SimulatedCluster) -> None:
    """Most workers take requests and break them off unanswered, though they are listed as ready."""
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
    """A worker freezes with requests on it, and wakes long after they were given up."""
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
    """All workers are replaced one after another, faster than their drain deadline."""
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
    """A worker comes back under its name at a new address; another flaps between ready and leaving."""
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
    """A worker answers slowly, then stops in mid-stream, then breaks its answers off or sends too much."""
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
    """A worker of a pool that no configuration allows is listed beside the others."""
    cluster.start_worker("s1", "10.0.3.90")
    cluster.platform.put("s1", pool="spare")
    actions.confirm_changes(cluster, 4, 5)
    cluster.advance(25)


def load_reports(cluster: simulated_cluster.SimulatedCluster) -> None:
    """Workers whose load report is late, missing, unreadable, of wrong types, or never comes; all serve."""
    actions.confirm_changes(cluster, 6, 5)
    cluster.advance(4)
    bad_reports = [each for each in stand_in_worker.LoadReport if each is not stand_in_worker.LoadReport.GOOD]
    for name, report in zip(sorted(cluster.workers), bad_reports, strict=False):
        cluster.workers[name].load_report = report
    cluster.advance(25)
    for name in sorted(cluster.workers):
        cluster.workers[name].load_report = stand_in_worker.LoadReport.GOOD
    cluster.advance(4)
