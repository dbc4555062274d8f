"""Scenarios of the clients' load: bursts, hot keys, retries, misbehaving clients, and overlapping attempts."""

from __future__ import annotations

from simulation import addresses, rude_clients, simulated_cluster
from simulation.scenarios import actions

RAISED_RATE_FACTOR = 10  # times the usual rate of short requests
RAISED_RATE_SECONDS = 4


def crowd(cluster: simulated_cluster.SimulatedCluster) -> None:
    """150 short and 8 long requests arrive at the same moment."""
    actions.confirm_changes(cluster, 4, 5)
    cluster.advance(5)
    for _ in range(150):
        actions.begin_request(cluster, "short", "phrases")
    for _ in range(8):
        actions.begin_request(cluster, "long", "bundle")
    cluster.advance(20)


def hot_key(cluster: simulated_cluster.SimulatedCluster) -> None:
    """One conversation receives most of the requests."""
    actions.confirm_changes(cluster, 4, 5)
    cluster.advance(5)
    for _ in range(60):
        actions.begin_request(cluster, "short", "phrases", "hot")
        cluster.advance(0.15)
    cluster.advance(10)


def many_talks(cluster: simulated_cluster.SimulatedCluster) -> None:
    """80 conversations are opened, more than the cap of all workers allows."""
    cluster.advance(3)
    for number in range(80):
        actions.begin_request(cluster, "short", "phrases", f"many-{number}")
        cluster.advance(0.1)
    cluster.advance(20)


def rush(cluster: simulated_cluster.SimulatedCluster) -> None:
    """Short requests arrive at ten times the usual rate for 4 s; 80 % of them share one prefix."""
    actions.confirm_changes(cluster, 4, 5)
    cluster.advance(4)
    rate = cluster.rates[1] * RAISED_RATE_FACTOR
    for _ in range(int(rate * RAISED_RATE_SECONDS)):
        parts = ["phrases"] if cluster.rng.random() < 0.8 else ["phrases", "hot"]
        actions.begin_request(cluster, "short", *parts)
        cluster.advance(1 / rate)
    cluster.advance(10)


def bad_requesters(cluster: simulated_cluster.SimulatedCluster) -> None:
    """Clients that disconnect in mid-stream, read slowly or send invalid HTTP, next to well-behaved clients."""
    actions.confirm_changes(cluster, 4, 5)
    cluster.advance(3)
    for _ in range(60):
        target = cluster.nodes[cluster.rng.choice(sorted(cluster.nodes))]
        behaviour = cluster.rng.choice(rude_clients.BEHAVIOURS)
        runtime = cluster.load.runtime
        rude = rude_clients.misbehave(runtime, cluster.event_log, target.options.host, addresses.HTTP_PORT, behaviour)
        runtime.spawn(rude, simulated_cluster.log)
        cluster.advance(0.25)
    cluster.advance(14)


def retriers(cluster: simulated_cluster.SimulatedCluster) -> None:
    """A node and then all workers but one are killed, while most clients retry without delay, up to 40 times."""
    actions.confirm_changes(cluster, 4, 5)
    cluster.load.max_attempts, cluster.load.impatient_share = 40, 0.8
    cluster.advance(5)
    target = actions.random_node(cluster, owner=False)
    actions.kill(cluster, target.options.name, restart_after=5)
    cluster.advance(8)
    for name in sorted(cluster.workers)[:-1]:
        actions.kill(cluster, name, restart_after=4)
    cluster.advance(14)


def twice_at_once(cluster: simulated_cluster.SimulatedCluster) -> None:
    """A second attempt reaches another node within 0.2 s, while the first runs or its refusal is in flight."""
    actions.confirm_changes(cluster, 4, 5)
    cluster.advance(3)
    for number in range(40):
        may_repeat = cluster.rng.random() < 0.3
        parts = ["phrases"] if number % 2 else ["phrases", f"twin-{number}"]
        for attempt in (1, 2):
            actions.begin_attempt(cluster, f"twin{number}", attempt, may_repeat=may_repeat, parts=parts)
            cluster.advance(cluster.rng.choice([0, 0.002, 0.02, 0.2]))
        cluster.advance(0.5)
    cluster.advance(3)


def claim_then_death(cluster: simulated_cluster.SimulatedCluster) -> None:
    """A server fails between the claim of a request and its sending to a worker.

    The pool owner and another node are killed alternately; in the last round a node is cut off, so a grant is lost.
    """
    actions.confirm_changes(cluster, 6, 5)
    cluster.load.max_attempts = 6
    for turn in range(4):
        cluster.advance(5 + cluster.rng.random())
        target = actions.random_node(cluster, owner=turn % 2 == 0)
        name = target.options.name
        for number in range(12):
            actions.begin_request(cluster, "short", "phrases", f"ctd-{turn}-{number}")
        cluster.advance(0.004 + cluster.rng.random() * 0.012)
        if turn == 3:
            actions.cut_off(cluster, name)
            actions.repair_later(cluster, 2 + cluster.rng.random() * 3, "heal", name, cluster.world.heal)
        else:
            actions.kill(cluster, name, restart_after=3)
        cluster.advance(9)
