"""Replicated counters on five simulated core machines: partitions, lost and failed disks, restarts and retries."""

import collections.abc
import json
import typing

import core_api
import pytest

from iriswheel.runtime import units
from iriswheel.transport import http_server, message
from simulation import addresses, counter_cluster, process_model
from tests import outside

MERGE_S = 3  # time within which replicas must agree after a fault
ACKNOWLEDGE_LIMIT_US = 100 * units.MILLISECOND_US  # for an add without a fault
ACKNOWLEDGE_LIMIT_AT_PARTITION_US = 1 * units.SECOND_US  # for an add as a partition begins


@pytest.fixture
def cluster() -> counter_cluster.CounterCluster:
    """A cluster that has run for long enough after its start to accept and read adds as usual."""
    return counter_cluster.settled_cluster()


def test_an_add_is_acknowledged_in_time_once_three_disks_hold_it(cluster: counter_cluster.CounterCluster) -> None:
    call = cluster.add("c1", "x1", 4)
    while not call.outcome:
        cluster.advance(0.0005)
    assert call.acknowledged
    assert call.outcome[0][0] - call.started_at_us < ACKNOWLEDGE_LIMIT_US
    assert len(cluster.holders("x1")) >= counter_cluster.COPIES
    cluster.advance(0.3)
    assert cluster.sums() == {4}
    assert sorted(cluster.holders("x1")) == sorted(counter_cluster.MACHINES)


def test_adds_at_all_machines_give_one_sum_and_each_is_sent_to_each_machine_once(
    cluster: counter_cluster.CounterCluster,
) -> None:
    sent_ids: list[str] = []
    for core in cluster.cores.values():
        answer = core.replicated_counters.replicator.answer

        def counting(
            request: message.ReplicateAdds,
            answer: collections.abc.Callable[
                [message.ReplicateAdds],
                collections.abc.Coroutine[typing.Any, typing.Any, message.ReplicateAddsResponse],
            ] = answer,
        ) -> collections.abc.Coroutine[typing.Any, typing.Any, message.ReplicateAddsResponse]:
            sent_ids.extend(add.id for batch in request.batches for add in batch.adds)
            return answer(request)

        core.replicated_counters.replicator.answer = counting  # type: ignore[method-assign]
    for number in range(200):
        cluster.add(f"c{number % 5 + 1}", f"x{number}", number)
        cluster.advance(0.01)
    cluster.advance(1.5)
    assert all(call.acknowledged for call in cluster.calls)
    assert max(call.outcome[0][0] - call.started_at_us for call in cluster.calls) < ACKNOWLEDGE_LIMIT_US
    assert cluster.sums() == {cluster.acknowledged_sum()} == {sum(range(200))}
    assert len(sent_ids) == 200 * 4


def test_a_retried_add_counts_once_at_the_same_and_at_another_machine(cluster: counter_cluster.CounterCluster) -> None:
    cluster.add("c1", "x", 4)
    cluster.add_acknowledged("c1", "x", 4)
    cluster.add_acknowledged("c2", "x", 4)
    cluster.add("c3", "y", 7)
    cluster.advance(0.005)
    again = cluster.add_acknowledged("c5", "y", 7)
    assert again.outcome[0][0] - again.started_at_us < ACKNOWLEDGE_LIMIT_US
    cluster.advance(1)
    assert cluster.sums() == {11}


def test_a_retried_add_is_acknowledged_only_once_enough_disks_hold_it(cluster: counter_cluster.CounterCluster) -> None:
    cluster.add_acknowledged("c1", "before")
    for name in ("c1", "c2", "c3", "c4"):
        host = cluster.cores[name].process.host
        host.disk_condition, host.slow_disk_delay_us = "slow", 450 * units.MILLISECOND_US
    cluster.add("c3", "x", 7)
    cluster.advance(0.05)
    assert cluster.holders("x") == ["c5"]
    again = cluster.add("c5", "x", 7)
    while not again.outcome:
        cluster.advance(0.0005)
    assert again.acknowledged
    assert len(cluster.holders("x")) >= counter_cluster.COPIES


def test_both_sides_of_a_partition_accept_adds_and_agree_soon_after_it(cluster: counter_cluster.CounterCluster) -> None:
    cluster.add_acknowledged("c1", "before", 100)
    cluster.cut("c1", "c2")
    cluster.add("c1", "at the cut", 1)
    cluster.add("c5", "on the other side", 2)
    cluster.advance(1)
    assert all(call.acknowledged for call in cluster.calls)
    assert all(call.outcome[0][0] - call.started_at_us < ACKNOWLEDGE_LIMIT_AT_PARTITION_US for call in cluster.calls)
    cluster.advance(1)
    for number in range(1500):
        cluster.add("c1" if number % 2 else "c4", f"cut-{number}", 1)
        cluster.advance(0.005)
    cluster.add_acknowledged("c2", "at both", 5)
    cluster.add_acknowledged("c3", "at both", 5)
    late = [call for call in cluster.calls if not call.acknowledged]
    cluster.advance(0.3)
    assert all(call.acknowledged for call in late)
    assert cluster.read("c1") != cluster.read("c3")
    cluster.world.heal()
    cluster.advance(MERGE_S - 1)
    assert cluster.sums() == {cluster.acknowledged_sum()} == {100 + 1 + 2 + 1500 + 5}
    assert cluster.cores["c1"].replicated_counters.few_copies_count > 700


def test_an_isolated_machine_accepts_adds_and_replicates_them_after_the_partition(
    cluster: counter_cluster.CounterCluster,
) -> None:
    cluster.cut("c5")
    cluster.add_acknowledged("c5", "alone", 3)
    assert cluster.holders("alone") == ["c5"]
    cluster.world.heal()
    cluster.advance(MERGE_S - 1)
    assert cluster.sums() == {3}
    assert len(cluster.holders("alone")) == 5


def test_adds_are_forwarded_by_a_third_zone_while_two_zones_cannot_reach_each_other(
    cluster: counter_cluster.CounterCluster,
) -> None:
    north, south = [cluster.hosts[name] for name in ("c1", "c2")], [cluster.hosts[name] for name in ("c3", "c4")]
    cluster.world.cut(north, south)
    cluster.advance(2)
    cluster.add_acknowledged("c1", "x", 3)
    assert sorted(cluster.holders("x")) == ["c1", "c2", "c5"]
    cluster.advance(MERGE_S)
    assert cluster.sums() == {3}


def test_adds_of_a_lost_machine_are_forwarded_to_machines_that_it_never_reached(
    cluster: counter_cluster.CounterCluster,
) -> None:
    cluster.cut("c1", "c2", "c3")
    cluster.advance(2)
    cluster.add_acknowledged("c1", "x", 3)
    cluster.lose_power("c1")
    cluster.world.heal()
    cluster.advance(MERGE_S)
    assert cluster.sums() == {3}


@pytest.mark.parametrize("seed", range(4))
def test_acknowledged_adds_survive_two_lost_disks_when_all_machines_lose_power(seed: int) -> None:
    cluster = counter_cluster.CounterCluster(seed)
    cluster.advance(5)
    for number in range(60):
        cluster.add(f"c{number % 5 + 1}", f"x{number}", 1 << number)
        cluster.advance(0.003)
    wiped = cluster.rng.sample(sorted(counter_cluster.MACHINES), 2)
    cluster.lose_power(*counter_cluster.MACHINES, wiped=wiped)
    acknowledged_sum = cluster.acknowledged_sum()
    assert acknowledged_sum
    cluster.advance(0.7)
    cluster.start(*counter_cluster.MACHINES)
    cluster.advance(MERGE_S)
    (found,) = cluster.sums()
    assert isinstance(found, int)
    assert found & acknowledged_sum == acknowledged_sum
    assert found < 1 << 60


@pytest.mark.parametrize("seed", range(4))
def test_an_add_during_a_restart_of_all_machines_is_acknowledged_only_with_enough_copies(seed: int) -> None:
    cluster = counter_cluster.CounterCluster(seed)
    cluster.advance(5)
    cluster.add_acknowledged("c1", "before", 1)
    cluster.kill(*counter_cluster.MACHINES)
    cluster.advance(0.3)
    early = cluster.rng.choice(sorted(counter_cluster.MACHINES))
    cluster.start(early)
    cluster.advance(0.2)
    call = cluster.add(early, "early", 2)
    cluster.advance(1)
    assert call.is_pending()  # the others are starting too, so their silence does not mean a partition
    cluster.start(*(name for name in counter_cluster.MACHINES if name != early))
    cluster.advance(1)
    assert call.acknowledged
    assert len(cluster.holders("early")) >= counter_cluster.COPIES


def test_a_paused_process_does_not_mistake_its_pause_for_a_partition(cluster: counter_cluster.CounterCluster) -> None:
    cluster.add_acknowledged("c1", "before", 1)
    call = cluster.add("c1", "x", 2)
    process = cluster.cores["c1"].process
    process.freeze()
    cluster.advance(1)
    process.wake()
    while not call.outcome:
        cluster.advance(0.0005)
    assert call.acknowledged
    assert len(cluster.holders("x")) >= counter_cluster.COPIES


def test_a_machine_that_has_just_started_reads_no_outdated_sum(cluster: counter_cluster.CounterCluster) -> None:
    cluster.kill("c1")
    cluster.advance(1)
    cluster.add_acknowledged("c2", "meanwhile", 4)
    cluster.start("c1")
    assert cluster.read("c1") == "not_ready"
    cluster.advance_until(lambda: cluster.read("c1") != "not_ready", 1)
    assert cluster.read("c1") == 4


def test_adds_after_a_restart_reuse_no_identity_of_earlier_adds(
    cluster: counter_cluster.CounterCluster,
) -> None:
    cluster.add_acknowledged("c1", "before", 1)
    cluster.kill("c1")
    cluster.start("c1")
    cluster.advance(1)
    cluster.add_acknowledged("c1", "after", 2)
    cluster.advance(0.5)
    assert cluster.sums() == {3}


def test_an_isolated_machine_reads_its_own_adds_after_the_start_delay(cluster: counter_cluster.CounterCluster) -> None:
    cluster.add_acknowledged("c5", "x", 4)
    cluster.kill("c5")
    cluster.cut("c5")
    cluster.start("c5")
    cluster.advance(1)
    assert cluster.read("c5") == "not_ready"
    cluster.advance(1)
    assert cluster.read("c5") == 4


def test_a_machine_on_a_new_disk_receives_all_adds(cluster: counter_cluster.CounterCluster) -> None:
    for number in range(1200):
        cluster.add(f"c{number % 5 + 1}", f"x{number}")
        cluster.advance(0.002)
    cluster.advance(0.5)
    assert len(cluster.cores["c2"].replicated_counters.state.held) == 1200
    cluster.lose_power("c2", wiped=["c2"])
    cluster.advance(1)
    cluster.start("c2")
    cluster.advance(MERGE_S - 1)
    assert cluster.sums() == {1200}
    assert sum(key.startswith(b"counter/") for key in cluster.cores["c2"].process.host.synced) == 1200


def test_a_new_core_machine_that_does_not_vote_replicates_counters(cluster: counter_cluster.CounterCluster) -> None:
    cluster.add_acknowledged("c1", "before", 1)
    cluster.start_additional_core("c6", "10.0.1.6")
    cluster.advance(MERGE_S)
    view = cluster.cores["c1"].consensus.view
    assert view is not None
    assert "10.0.1.6" not in {voter.host for voter in view.voters}
    cluster.add_acknowledged("c6", "its own", 2)
    cluster.add_acknowledged("c1", "after", 4)
    cluster.advance(0.5)
    assert cluster.sums() == {7}
    assert len(cluster.holders("after")) == 6


def test_a_link_that_works_in_one_direction_only_is_handled_as_a_partition(
    cluster: counter_cluster.CounterCluster,
) -> None:
    north = [cluster.hosts[name] for name in ("c1", "c2")]
    cluster.world.cut(north, [host for host in cluster.hosts.values() if host not in north], both=False)
    cluster.add_acknowledged("c1", "x", 1)
    cluster.add_acknowledged("c3", "y", 2)
    cluster.world.heal()
    cluster.advance(MERGE_S)
    assert cluster.sums() == {3}


@pytest.mark.parametrize("condition", ["full", "stalled"])
def test_a_failed_disk_does_not_count_as_a_copy_and_does_not_stop_reads(
    cluster: counter_cluster.CounterCluster, condition: typing.Literal["full", "stalled"]
) -> None:
    cluster.add_acknowledged("c1", "before", 1)
    cluster.cores["c1"].process.host.disk_condition = condition
    cluster.add_acknowledged("c1", "x", 2)
    assert "c1" not in cluster.holders("x")
    assert len(cluster.holders("x")) >= counter_cluster.COPIES
    assert cluster.read("c1") == 3
    cluster.advance(2)
    cluster.add_acknowledged("c2", "y", 4)
    cluster.advance(0.5)
    assert cluster.sums() == {7}
    cluster.cores["c1"].process.host.repair()
    cluster.advance(MERGE_S)
    assert len(cluster.holders("x")) == len(cluster.holders("y")) == 5


@pytest.mark.parametrize("slow", [["c1"], ["c2", "c3", "c4", "c5"], ["c1", "c4", "c5"]])
def test_an_add_counts_as_held_only_once_it_is_synced(cluster: counter_cluster.CounterCluster, slow: list[str]) -> None:
    cluster.add_acknowledged("c1", "before")
    for name in slow:
        host = cluster.cores[name].process.host
        host.disk_condition, host.slow_disk_delay_us = "slow", 450 * units.MILLISECOND_US
    call = cluster.add("c1", "x", 2)
    while not call.outcome:
        cluster.advance(0.0005)
    assert call.acknowledged
    assert len(cluster.holders("x")) >= counter_cluster.COPIES


@pytest.mark.parametrize("condition", ["full", "stalled"])
def test_a_side_of_a_partition_accepts_adds_while_one_of_its_disks_does_not_work(
    cluster: counter_cluster.CounterCluster, condition: typing.Literal["full", "stalled"]
) -> None:
    cluster.cut("c1", "c2")
    cluster.advance(2)
    cluster.cores["c2"].process.host.disk_condition = condition
    cluster.add_acknowledged("c1", "x", 2)
    assert cluster.holders("x") == ["c1"]
    assert cluster.read("c2") == 2


def test_an_add_in_a_partition_is_not_acknowledged_while_the_own_disk_stalls(
    cluster: counter_cluster.CounterCluster,
) -> None:
    cluster.cut("c4", "c5")
    cluster.advance(2)
    cluster.cores["c4"].process.host.disk_condition = "stalled"
    call = cluster.add("c4", "x", 2)
    cluster.advance(1.5)
    assert cluster.holders("x") == ["c5"]
    assert not call.acknowledged
    cluster.cores["c4"].process.host.repair()
    cluster.advance(0.4)
    assert call.acknowledged


def test_a_refused_add_is_stored_nowhere(cluster: counter_cluster.CounterCluster) -> None:
    cluster.cut("c4", "c5")
    cluster.cores["c4"].process.host.disk_condition = "full"
    cluster.add("c4", "first")  # its write detects that the disk is full
    cluster.advance(3)
    call = cluster.add("c4", "refused")
    assert call.outcome[0][1] == "too_few_copies"
    cluster.cores["c4"].process.host.repair()
    cluster.world.heal()
    cluster.advance(MERGE_S)
    assert cluster.holders("refused") == []


def test_a_stopping_machine_replicates_its_adds_before_it_exits(cluster: counter_cluster.CounterCluster) -> None:
    cluster.cut("c5")
    cluster.advance(2)
    cluster.add_acknowledged("c5", "alone", 3)
    stopped: typing.Any = cluster.cores["c5"].runtime.spawn(cluster.cores["c5"].stop())
    cluster.advance(2)
    assert not stopped.called
    assert cluster.add("c5", "late").outcome[0][1] == "stopping"
    cluster.world.heal()
    cluster.advance_until(lambda: stopped.called, 5)
    assert stopped.called
    cluster.lose_power("c5", wiped=["c5"])
    cluster.advance(MERGE_S)
    assert cluster.sums() == {3}


def test_a_fleet_that_uses_no_counters_sends_and_writes_nothing_for_them() -> None:
    cluster = counter_cluster.CounterCluster()
    cluster.advance(10)
    for core in cluster.cores.values():
        assert core.replicated_counters.show()["peers"] == {}
        assert not any(key.startswith(b"counter/") for key in core.process.host.synced)


def test_operators_see_the_lag_and_reachability_of_each_peer(cluster: counter_cluster.CounterCluster) -> None:
    cluster.add_acknowledged("c1", "x")
    cluster.cut("c1")
    cluster.advance(2)
    cluster.add_acknowledged("c1", "y")
    shown = cluster.cores["c1"].operator_api.state()["counters"]
    assert (shown["entries"], shown["origins"], shown["unsynced"], shown["few_copies"]) == (2, 1, 0, 1)
    assert shown["peers"]["10.0.1.2:7001"] == {"reachable": False, "lag": 1}


# ---- calls over HTTP -------------------------------------------------------------------


class Caller:
    """Sends requests to one machine over HTTP."""

    def __init__(self, cluster: counter_cluster.CounterCluster, name: str = "c1") -> None:
        self.cluster = cluster
        self.host = cluster.hosts[name]
        caller = process_model.SimulatedProcess(
            cluster.world, "caller", cluster.machine(addresses.OPERATOR_HOST, "far")
        )
        self.runtime = caller.runtime()

    def call(self, method: str, path: str, body: str = "", port: int = addresses.HTTP_PORT) -> tuple[int, typing.Any]:
        """Send one request; return the status and the JSON body of the answer."""
        text = f"{method} {path} HTTP/1.1\r\nHost: x\r\nContent-Length: {len(body)}\r\n\r\n{body}"
        raw = outside.send_raw_request(self.cluster, self.runtime, self.host, port, text)
        head, _, document = raw.partition(b"\r\n\r\n")
        return int(head.split()[1]), json.loads(document)


def test_callers_add_and_read_over_http(cluster: counter_cluster.CounterCluster) -> None:
    caller = Caller(cluster)
    assert caller.call("GET", "/counters/a%20b") == (200, {"sum": 0})
    added = caller.call("POST", "/counters/a%20b", json.dumps({"id": "x", "amount": 4}))
    assert added == (200, {"id": "x", "verdict": "ran"})
    assert Caller(cluster, "c3").call("GET", "/counters/a%20b") == (200, {"sum": 4})
    assert caller.call("DELETE", "/counters/n")[0] == 405


@pytest.mark.parametrize(
    "body",
    [
        "",
        "[]",
        "{}",
        '{"id": "x"}',
        '{"id": "", "amount": 1}',
        '{"id": 7, "amount": 1}',
        '{"id": "x", "amount": 1.5}',
        '{"id": "x", "amount": true}',
        '{"id": "x", "amount": "1"}',
        '{"id": "x", "amount": 9007199254740993}',
        '{"id": "x", "amount": 1, "more": 1}',
    ],
)
def test_malformed_adds_are_refused(cluster: counter_cluster.CounterCluster, body: str) -> None:
    status, refusal = Caller(cluster).call("POST", "/counters/n", body)
    assert (status, refusal["code"], refusal["verdict"]) == (400, "bad_request", "not_run")


def test_the_platforms_tallies_are_replicated_counters(cluster: counter_cluster.CounterCluster) -> None:
    core = cluster.cores["c1"]
    platform_port = addresses.HTTP_PORT + 1
    handler = core_api.make_handler(core)
    core.process.reactor.listenTCP(platform_port, http_server.Server(core.runtime, handler))
    caller = Caller(cluster)
    added = caller.call("POST", "/tallies/t3", '{"id": "5c0e7a21d94b36f8", "actor": 4}', platform_port)
    assert added == (200, {"id": "5c0e7a21d94b36f8"})
    assert caller.call("GET", "/tallies/t3", port=platform_port) == (200, {"sum": 4})
    assert caller.call("GET", "/tallies/t4", port=platform_port) == (200, {"sum": 0})
    assert caller.call("POST", "/tallies/t3", '{"id": "5c", "actor": "4"}', platform_port)[0] == 400
    assert caller.call("PUT", "/tallies/t3", "{}", platform_port)[0] == 405
