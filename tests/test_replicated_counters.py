"""Replicated counters on five simulated core machines: cuts, lost disks, kills, repeats, and what is kept."""

import collections.abc
import json
import typing

import core_api
import pytest

from iriswheel.runtime import units
from iriswheel.transport import http_server, message
from simulation import addresses, counter_cluster, process_model
from tests import outside

MERGE_S = 3
AIM_US = 100 * units.MILLISECOND_US
CALLER_PATIENCE_US = 1 * units.SECOND_US


@pytest.fixture
def cluster() -> counter_cluster.CounterCluster:
    """A cluster that has run for long enough."""
    return counter_cluster.settled_cluster()


def test_an_add_is_acknowledged_in_time_once_three_disks_hold_it(cluster: counter_cluster.CounterCluster) -> None:
    call = cluster.add("c1", "x1", 4)
    while not call.outcome:
        cluster.advance(0.0005)
    assert call.acknowledged
    assert call.outcome[0][0] - call.started_at_us < AIM_US
    assert len(cluster.holders("x1")) >= counter_cluster.COPIES
    cluster.advance(0.3)
    assert cluster.sums() == {4}
    assert sorted(cluster.holders("x1")) == sorted(counter_cluster.MACHINES)


def test_adds_at_all_machines_come_to_one_sum_and_each_goes_to_each_machine_once(
    cluster: counter_cluster.CounterCluster,
) -> None:
    carried: list[str] = []
    for core in cluster.cores.values():
        take = core.replicated_counters.replicator.answer

        def counting(
            request: message.ReplicateAdds,
            take: collections.abc.Callable[
                [message.ReplicateAdds],
                collections.abc.Coroutine[typing.Any, typing.Any, message.ReplicateAddsResponse],
            ] = take,
        ) -> collections.abc.Coroutine[typing.Any, typing.Any, message.ReplicateAddsResponse]:
            carried.extend(add.id for batch in request.batches for add in batch.adds)
            return take(request)

        core.replicated_counters.replicator.answer = counting  # type: ignore[method-assign]
    for number in range(200):
        cluster.add(f"c{number % 5 + 1}", f"x{number}", number)
        cluster.advance(0.01)
    cluster.advance(1.5)
    assert all(call.acknowledged for call in cluster.calls)
    assert max(call.outcome[0][0] - call.started_at_us for call in cluster.calls) < AIM_US
    assert cluster.sums() == {cluster.acknowledged_sum()} == {sum(range(200))}
    assert len(carried) == 200 * 4


def test_a_repeat_at_the_same_and_at_another_machine_counts_once(cluster: counter_cluster.CounterCluster) -> None:
    cluster.add("c1", "x", 4)
    cluster.add_acknowledged("c1", "x", 4)
    cluster.add_acknowledged("c2", "x", 4)
    cluster.add("c3", "y", 7)
    cluster.advance(0.005)
    again = cluster.add_acknowledged("c5", "y", 7)
    assert again.outcome[0][0] - again.started_at_us < AIM_US
    cluster.advance(1)
    assert cluster.sums() == {11}


def test_a_repeat_is_acknowledged_no_sooner_than_a_new_add(cluster: counter_cluster.CounterCluster) -> None:
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


def test_both_sides_of_a_cut_go_on_and_agree_in_time_after_it(cluster: counter_cluster.CounterCluster) -> None:
    cluster.add_acknowledged("c1", "before", 100)
    cluster.cut("c1", "c2")
    cluster.add("c1", "at the cut", 1)
    cluster.add("c5", "on the other side", 2)
    cluster.advance(1)
    assert all(call.acknowledged for call in cluster.calls)
    assert all(call.outcome[0][0] - call.started_at_us < CALLER_PATIENCE_US for call in cluster.calls)
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


def test_a_machine_alone_goes_on_and_is_heard_after_the_cut(cluster: counter_cluster.CounterCluster) -> None:
    cluster.cut("c5")
    cluster.add_acknowledged("c5", "alone", 3)
    assert cluster.holders("alone") == ["c5"]
    cluster.world.heal()
    cluster.advance(MERGE_S - 1)
    assert cluster.sums() == {3}
    assert len(cluster.holders("alone")) == 5


def test_adds_pass_by_a_third_zone_while_two_can_not_reach_each_other(cluster: counter_cluster.CounterCluster) -> None:
    north, south = [cluster.hosts[name] for name in ("c1", "c2")], [cluster.hosts[name] for name in ("c3", "c4")]
    cluster.world.cut(north, south)
    cluster.advance(2)
    cluster.add_acknowledged("c1", "x", 3)
    assert sorted(cluster.holders("x")) == ["c1", "c2", "c5"]
    cluster.advance(MERGE_S)
    assert cluster.sums() == {3}


def test_what_a_machine_accepted_reaches_those_that_it_did_not_reach_itself(
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
def test_what_was_acknowledged_outlives_two_disks_while_all_lose_power(seed: int) -> None:
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
def test_adds_accepted_as_all_machines_start_again_outlive_two_disks(seed: int) -> None:
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
    assert call.is_pending()  # the others are starting too: their silence is no cut
    cluster.start(*(name for name in counter_cluster.MACHINES if name != early))
    cluster.advance(1)
    assert call.acknowledged
    assert len(cluster.holders("early")) >= counter_cluster.COPIES


def test_a_process_that_was_paused_does_not_take_that_for_a_cut(cluster: counter_cluster.CounterCluster) -> None:
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


def test_a_machine_that_has_just_started_reads_nothing_old(cluster: counter_cluster.CounterCluster) -> None:
    cluster.kill("c1")
    cluster.advance(1)
    cluster.add_acknowledged("c2", "meanwhile", 4)
    cluster.start("c1")
    assert cluster.read("c1") == "not_ready"
    cluster.advance_until(lambda: cluster.read("c1") != "not_ready", 1)
    assert cluster.read("c1") == 4


def test_adds_of_a_machine_that_started_again_are_none_of_its_earlier_ones(
    cluster: counter_cluster.CounterCluster,
) -> None:
    cluster.add_acknowledged("c1", "before", 1)
    cluster.kill("c1")
    cluster.start("c1")
    cluster.advance(1)
    cluster.add_acknowledged("c1", "after", 2)
    cluster.advance(0.5)
    assert cluster.sums() == {3}


def test_a_machine_that_reaches_nobody_reads_what_it_has(cluster: counter_cluster.CounterCluster) -> None:
    cluster.add_acknowledged("c5", "x", 4)
    cluster.kill("c5")
    cluster.cut("c5")
    cluster.start("c5")
    cluster.advance(1)
    assert cluster.read("c5") == "not_ready"
    cluster.advance(1)
    assert cluster.read("c5") == 4


def test_a_machine_on_a_new_disk_gets_everything(cluster: counter_cluster.CounterCluster) -> None:
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


def test_a_newcomer_that_does_not_vote_takes_part(cluster: counter_cluster.CounterCluster) -> None:
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


def test_packets_that_pass_one_way_only_are_a_cut(cluster: counter_cluster.CounterCluster) -> None:
    north = [cluster.hosts[name] for name in ("c1", "c2")]
    cluster.world.cut(north, [host for host in cluster.hosts.values() if host not in north], both=False)
    cluster.add_acknowledged("c1", "x", 1)
    cluster.add_acknowledged("c3", "y", 2)
    cluster.world.heal()
    cluster.advance(MERGE_S)
    assert cluster.sums() == {3}


@pytest.mark.parametrize("condition", ["full", "stalled"])
def test_a_disk_that_does_not_work_counts_for_nothing_and_stops_no_read(
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
def test_a_side_goes_on_where_one_of_its_disks_does_not_work(
    cluster: counter_cluster.CounterCluster, condition: typing.Literal["full", "stalled"]
) -> None:
    cluster.cut("c1", "c2")
    cluster.advance(2)
    cluster.cores["c2"].process.host.disk_condition = condition
    cluster.add_acknowledged("c1", "x", 2)
    assert cluster.holders("x") == ["c1"]
    assert cluster.read("c2") == 2


def test_the_other_machine_of_a_side_is_not_enough_while_the_own_disk_stalls(
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


def test_a_refusal_promises_that_nothing_was_done(cluster: counter_cluster.CounterCluster) -> None:
    cluster.cut("c4", "c5")
    cluster.cores["c4"].process.host.disk_condition = "full"
    cluster.add("c4", "first")  # finds out
    cluster.advance(3)
    call = cluster.add("c4", "refused")
    assert call.outcome[0][1] == "too_few_copies"
    cluster.cores["c4"].process.host.repair()
    cluster.world.heal()
    cluster.advance(MERGE_S)
    assert cluster.holders("refused") == []


def test_a_leaving_machine_gives_what_others_lack_before_it_ends(cluster: counter_cluster.CounterCluster) -> None:
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


def test_a_fleet_that_counts_nothing_sends_and_writes_nothing() -> None:
    cluster = counter_cluster.CounterCluster()
    cluster.advance(10)
    for core in cluster.cores.values():
        assert core.replicated_counters.show()["peers"] == {}
        assert not any(key.startswith(b"counter/") for key in core.process.host.synced)


def test_operators_see_lag_and_reachability(cluster: counter_cluster.CounterCluster) -> None:
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
        """Send one request: the status and the document of the answer."""
        text = f"{method} {path} HTTP/1.1\r\nHost: x\r\nContent-Length: {len(body)}\r\n\r\n{body}"
        raw = outside.exchange(self.cluster, self.runtime, self.host, port, text)
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
