"""Scenarios of the clients' load: crowds, hot keys, retries, bad clients, and attempts that overlap."""

from __future__ import annotations

from simulation import addresses, rude_clients, simulated_cluster
from simulation.scenarios import actions

RAISED_RATE_FACTOR = 10  # times the usual rate of short requests
RAISED_RATE_SECONDS = 4


def crowd(cluster: simulated_cluster.SimulatedCluster) -> None:
    """A crowd arrives at once."""
    actions.confirm_changes(cluster, 4, 5)
    cluster.advance(5)
    for _ in range(150):
        actions.begin_request(cluster, "short", "phrases")
    for _ in range(8):
        actions.begin_request(cluster, "long", "bundle")
    cluster.advance(20)


def hot_key(cluster: simulated_cluster.SimulatedCluster) -> None:
    """One conversation draws most of the traffic."""
    actions.confirm_changes(cluster, 4, 5)
    cluster.advance(5)
    for _ in range(60):
        actions.begin_request(cluster, "short", "phrases", "hot")
        cluster.advance(0.15)
    cluster.advance(10)


def many_talks(cluster: simulated_cluster.SimulatedCluster) -> None:
    """More conversations than all workers may hold."""
    cluster.advance(3)
    for number in range(80):
        actions.begin_request(cluster, "short", "phrases", f"many-{number}")
        cluster.advance(0.1)
    cluster.advance(20)


def rush(cluster: simulated_cluster.SimulatedCluster) -> None:
    """Ten times the short rate for some seconds, most of it with one shared prefix."""
    actions.confirm_changes(cluster, 4, 5)
    cluster.advance(4)
    rate = cluster.rates[1] * RAISED_RATE_FACTOR
    for _ in range(int(rate * RAISED_RATE_SECONDS)):
        parts = ["phrases"] if cluster.rng.random() < 0.8 else ["phrases", "hot"]
        actions.begin_request(cluster, "short", *parts)
        cluster.advance(1 / rate)
    cluster.advance(10)


def bad_requesters(cluster: simulated_cluster.SimulatedCluster) -> None:
    """Clients that leave in mid-stream, read slowly, or send bad HTTP, beside proper ones."""
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
    """A node dies while clients retry at once and without end."""
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
    """A second attempt arrives at another node while the first is under way, or its refusal is on its way."""
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
    """The pool owner is killed between a claim and its send, a node before its send, a grant is lost on the link."""
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
