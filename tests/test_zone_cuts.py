"""Network cuts between zones: which machines the rules treat as connected, and how the simulated network behaves."""

import copy
from typing import Any

import pytest
from twisted.internet import error, protocol

import simulation.rules.log as event_log
from simulation import host_model, platform_rules, process_model, world
from tests import test_judge

MILLISECOND, SECOND = test_judge.MILLISECOND, test_judge.SECOND
MACHINES = {
    **{f"n{k}": dict(host=f"10.0.2.{k}", role="edge", zone=zone) for k, zone in enumerate("abc", 1)},
    **{f"c{k}": dict(host=f"10.0.1.{k}", role="core", zone=zone) for k, zone in enumerate("abc", 1)},
}
BEGUN = dict(at=0, kind="begun", machines=MACHINES, platform_zone="a")
ISOLATED = (("a", "b"), ("b", "a"), ("a", "c"), ("c", "a"))
OUTWARD = (("a", "b"), ("a", "c"))
PAIR = (("a", "b"), ("b", "a"))
Links = tuple[tuple[str, str], ...]
Rows = list[dict[str, Any]]


def cut_rows(links: Links, begin: int = 10 * SECOND, end: int = 40 * SECOND) -> Rows:
    """The rows of a network cut between zones."""
    return [
        dict(at=begin, kind="zones_cut", cut="cut1", links=[list(link) for link in links]),
        dict(at=end, kind="zones_joined", cut="cut1"),
    ]


def judged(rows: Rows) -> dict[str, list[str]]:
    """The complaints by rule about a log with these rows, of a site with three zones."""
    every = [BEGUN, *test_judge.BASE[1:], *rows, *test_judge.END]
    return platform_rules.examine(sorted(copy.deepcopy(every), key=lambda row: row["at"]))


def connected_at(links: Links, at: int) -> set[str]:
    """The machines connected to the core at a time, with a cut from second 10 to second 40."""
    log = event_log.Log([BEGUN, *cut_rows(links), dict(at=60 * SECOND, kind="ended")])
    return {name for name in MACHINES if log.is_connected_to_core(name, at)}


@pytest.mark.parametrize(
    ("links", "connected"),
    [
        (ISOLATED, {"n2", "n3", "c2", "c3"}),  # the core machine in zone a does not reach a majority of the core
        (OUTWARD, {"n2", "n3", "c2", "c3"}),
        (PAIR, {"n3", "c3"}),  # each core machine reaches a majority, but only zone c reaches all core machines
        ((), set(MACHINES)),
    ],
)
def test_machines_that_reach_each_core_machine_of_the_majority_are_connected(links: Links, connected: set[str]) -> None:
    assert connected_at(links, 20 * SECOND) == connected


@pytest.mark.parametrize("moment", [10 * SECOND, 40 * SECOND])
def test_no_machine_is_connected_for_the_contact_time_after_a_cut_of_the_core_begins_or_ends(moment: int) -> None:
    assert connected_at(ISOLATED, moment - 1 if moment < 20 * SECOND else moment + 4 * SECOND) == set(MACHINES)
    assert connected_at(ISOLATED, moment + 2 * SECOND) == set()


def test_a_cut_of_a_zone_without_core_machines_leaves_the_core_stable() -> None:
    machines = {name: machine for name, machine in MACHINES.items() if name != "c1"}
    rows = [dict(BEGUN, machines=machines), *cut_rows(ISOLATED), dict(at=60 * SECOND, kind="ended")]
    log = event_log.Log(rows)
    assert log.is_connected_to_core("n2", 11 * SECOND)
    assert not log.is_connected_to_core("n1", 11 * SECOND)


def test_only_nodes_connected_to_the_core_must_not_deny_valid_requests() -> None:
    def denials(node: str) -> Rows:
        rows = [test_judge.request_rows(f"a{k}", at=20 * SECOND + k, node=node, code=400)[3] for k in range(6)]
        return [*rows, *cut_rows(ISOLATED)]

    assert "denied" in judged(denials("n2"))
    assert judged(denials("n1")) == {}


def test_only_nodes_connected_to_the_core_must_apply_a_configuration_in_time() -> None:
    moved = test_judge.make_document(3, ("/a/", "other"))
    changed = test_judge.change_rows(14 * SECOND, moved, base=1)
    end = [{**test_judge.END[0], "at": 62 * SECOND, "doc": moved}]

    def late(node: str) -> Rows:
        return [*test_judge.request_rows(at=18 * SECOND, node=node), *changed, *cut_rows(ISOLATED), *end]

    assert "config" in judged(late("n2"))
    assert judged(late("n1")) == {}


def test_the_time_limit_for_draining_excludes_cuts_from_the_platform() -> None:
    listed = [dict(at=19 * SECOND, kind="listed", worker="i-1", state="gone", pool="desk", seen=20 * SECOND)]
    request = test_judge.request_rows(at=26 * SECOND, node="n2")
    assert "drain" in judged([*listed, *request, *cut_rows(PAIR, 4 * SECOND, 5 * SECOND)])
    assert "drain" in judged([*listed, *request, *cut_rows((("c", "b"),), 10 * SECOND, 21 * SECOND)])
    unseen = cut_rows((("a", "b"),), 10 * SECOND, 24 * SECOND)
    assert judged([*listed, *test_judge.request_rows(at=24 * SECOND, node="n2"), *unseen]) == {}


def test_a_request_that_a_cut_delayed_does_not_count_for_a_cold_worker() -> None:
    requests = [
        row for k in range(30) for row in test_judge.request_rows(f"a{k}", at=20 * SECOND + k * 30 * MILLISECOND)
    ]
    at_once = [{**row, "cold": True} if row["kind"] == "arrived" else row for row in requests]
    late = [{**row, "sent": row["sent"] - 2 * SECOND} if row["kind"] == "tried" else row for row in at_once]
    placed = [dict(at=0, kind="placed", worker="i-1", zone="b")]
    assert "failback" in judged([*late, *placed])
    assert "failback" not in judged([*late, *placed, *cut_rows(PAIR, 10 * SECOND, 20 * SECOND)])
    assert "failback" in judged([*at_once, *placed, *cut_rows(PAIR, 10 * SECOND, 20 * SECOND)])
    assert "failback" in judged([*late, *placed, *cut_rows((("c", "b"),), 10 * SECOND, 20 * SECOND)])


def test_a_request_lost_near_a_planned_stop_is_excused_by_a_cut_of_its_zone() -> None:
    cut_off = test_judge.request_rows(how="closed", done=20 * SECOND + 30 * MILLISECOND)
    term = [
        dict(at=19 * SECOND, kind="term", name="n1"),
        *test_judge.inject_fault("n1", "term", 19 * SECOND, 27 * SECOND),
    ]
    assert "lost" in judged([*cut_off, *term, *cut_rows((("b", "c"),), 18 * SECOND, 22 * SECOND)])
    assert judged([*cut_off, *term, *cut_rows(PAIR, 18 * SECOND, 22 * SECOND)]) == {}


def test_acknowledgements_may_be_late_while_a_link_between_zones_is_cut() -> None:
    third = test_judge.make_document(3, ("/a/", "desk"), ("/b/", "desk"))
    late = test_judge.change_rows(12 * SECOND, third, base=1, after=9 * SECOND)
    end = [{**test_judge.END[0], "at": 62 * SECOND, "doc": third}]
    assert "acks" in judged([*late, *end])
    assert "acks" not in judged([*late, *end, *cut_rows(PAIR)])
    assert "acks" in judged([*late, *end, *cut_rows(PAIR, 30 * SECOND, 40 * SECOND)])


class Caller(protocol.ClientFactory):
    """Records how the attempt to open a connection ended."""

    def __init__(self) -> None:
        self.outcome = ""

    def buildProtocol(self, _address: object) -> protocol.Protocol:
        self.outcome = "open"
        return protocol.Protocol()

    def clientConnectionFailed(self, _connector: object, reason: Any) -> None:  # noqa: ANN401 - a Failure
        self.outcome = "refused" if reason.check(error.ConnectionRefusedError) else "failed"


class ConnectionFactory(protocol.Factory):
    """Accepts all connections."""

    def buildProtocol(self, _address: object) -> protocol.Protocol:
        return protocol.Protocol()


class TestNetwork:
    @pytest.fixture(autouse=True)
    def set_up(self) -> None:
        self.world = world.World(1)
        hosts = [host_model.Host(self.world, host, zone) for host, zone in (("h1", "a"), ("h2", "b"), ("h3", "far"))]
        self.processes = [process_model.SimulatedProcess(self.world, host.address, host) for host in hosts]
        for process in self.processes:
            process.reactor.listenTCP(80, ConnectionFactory())

    def outcome(self, sender: int, receiver: str) -> str:
        """Whether a connection from a process to a host is "open", "refused" or "failed" within three seconds."""
        caller = Caller()
        self.processes[sender].reactor.connectTCP(receiver, 80, caller, timeout=2)
        self.world.run(self.world.time + 3 * SECOND)
        return caller.outcome

    @pytest.mark.parametrize("link", [("a", "b"), ("b", "a")])
    def test_no_connection_is_opened_over_a_link_that_is_cut_in_either_way(self, link: tuple[str, str]) -> None:
        assert self.outcome(0, "h2") == "open"
        self.world.zone_cuts.add(link)
        assert self.outcome(0, "h2") == "failed"
        assert self.outcome(2, "h2") == "open"
        self.world.zone_cuts.clear()
        assert self.outcome(0, "h2") == "open"

    def test_a_refusing_cut_refuses_at_once(self) -> None:
        self.world.refused_zone_links.add(("a", "b"))
        assert self.outcome(0, "h2") == "refused"
        assert self.outcome(1, "h1") == "open"
