"""Behaviour of the whole fleet in small simulated clusters, one rule per test."""

import time
from collections.abc import Callable
from typing import Any
from unittest import mock

import pytest
from twisted.internet import defer
from twisted.web import http_headers

from iriswheel import errors
from iriswheel.cli import load_generator
from iriswheel.consensus import acceptor
from iriswheel.dataplane import dispatch
from iriswheel.pools import claims
from iriswheel.runtime import storage, units
from iriswheel.transport import http_server, message
from simulation import network_model, simulated_cluster
from tests import conftest, deferreds, optional

SECOND = units.SECOND_US


class SentRequest:
    """A request that was sent, and the part of its answer that has arrived."""

    def __init__(self) -> None:
        self.code = 0  # 0 until the head of the answer has arrived
        self.headers = http_headers.Headers()
        self.receiver: load_generator.AnswerCollector | None = None  # None until the head of the answer has arrived
        self.done: defer.Deferred[bool] = defer.Deferred()

    def transport(self) -> Any:  # noqa: ANN401 - Twisted describes transports by interfaces
        """The client's side of the connection."""
        return optional.present(self.receiver).transport

    def body_parts(self) -> list[bytes]:
        """The parts of the answer's body that have arrived."""
        return optional.present(self.receiver).parts

    def has_begun(self) -> bool:
        """Whether a part of the answer's body has arrived."""
        return self.receiver is not None and bool(self.receiver.first_at)


class TestSimulatedCluster:
    def query(
        self,
        cluster: simulated_cluster.SimulatedCluster,
        *,
        parts: tuple[str, ...] = ("system",),
        node: str = "n1",
        path: str = "/v1/complete",
        body: bytes = b"hello",
        send: int = 1,
        repeat: bool = True,
        identifier: str = "x",
    ) -> SentRequest:
        """Send one request to a node, without waiting for the answer."""
        sent = SentRequest()
        agent = dispatch.Dispatcher(cluster.load.runtime).unpooled_agent
        headers = http_headers.Headers(
            {
                "X-Prompt-Prefix": [", ".join(parts)],
                "X-Exchange-Id": [identifier],
                "X-Send-Number": [str(send)],
                "X-May-Repeat": ["yes" if repeat else "no"],
            }
        )

        async def go() -> None:
            host, port = cluster.platform.nodes[node]
            response = await agent.request(
                b"POST", f"http://{host}:{port}{path}".encode(), headers, dispatch.Body(body)
            )
            sent.code, sent.headers = response.code, response.headers
            sent.receiver = load_generator.AnswerCollector(cluster.load.runtime, sent.done)
            response.deliverBody(sent.receiver)

        cluster.load.runtime.spawn(go(), simulated_cluster.log)
        return sent

    def answer(
        self,
        cluster: simulated_cluster.SimulatedCluster,
        **more: Any,  # noqa: ANN401 - those of `query`
    ) -> tuple[int, http_headers.Headers, bytes]:
        """Send one request and wait for the whole answer: status, headers, body."""
        sent = self.query(cluster, **more)
        assert cluster.advance_until(lambda: sent.done.called, 30)
        return sent.code, sent.headers, b"".join(sent.body_parts())

    def open_sessions(self, cluster: simulated_cluster.SimulatedCluster) -> int:
        return sum(
            len(rs)
            for rs in optional.present(cluster.owner())
            .pool_owners[cluster.pool]
            .records.session_table.by_worker.values()
        )

    def test_a_session_is_released_after_a_minute_without_requests(self, quiet_cluster: conftest.QuietCluster) -> None:
        cluster = quiet_cluster()
        self.answer(cluster, parts=("system", "talk"))
        cluster.advance(57)
        assert self.open_sessions(cluster) == 1
        self.answer(cluster, parts=("system", "talk"), node="n2")
        cluster.advance(57)
        assert self.open_sessions(cluster) == 1
        cluster.advance(10)
        assert self.open_sessions(cluster) == 0

    def test_a_prompt_of_only_the_shared_system_prefix_opens_no_session(
        self, quiet_cluster: conftest.QuietCluster
    ) -> None:
        cluster = quiet_cluster()
        self.answer(cluster, parts=("system",))
        assert self.open_sessions(cluster) == 0

    def test_a_reached_session_cap_refuses_at_once_with_retry_after_until_the_earliest_expiry(
        self, quiet_cluster: conftest.QuietCluster
    ) -> None:
        document = {
            "pools": {"desk": {"cap": 1}},
            "terms": {"default": {"lifetime_us": 30 * SECOND}},
            "routes": {"all": {"path": "/v1", "pool": "desk"}},
        }
        cluster = quiet_cluster(configuration=document)
        for k in range(2):
            assert self.answer(cluster, parts=("system", f"talk-{k}"), identifier=f"x{k}")[0] == 200
        started_at = cluster.world.time
        code, headers, body = self.answer(cluster, parts=("system", "talk-2"), identifier="x2")
        assert cluster.world.time - started_at < SECOND
        assert code == 503
        assert b"sessions_full" in body
        assert 25 <= int(optional.present(headers.getRawHeaders("Retry-After"))[0]) <= 31

    def test_a_disconnecting_client_ends_the_run_at_the_worker_at_once(
        self, quiet_cluster: conftest.QuietCluster
    ) -> None:
        cluster = quiet_cluster()
        request = self.query(cluster)
        assert cluster.advance_until(request.has_begun, 5)
        request.transport().stopProducing()
        cluster.advance(0.1)
        assert [r["kind"] for r in cluster.event_log.rows if r["kind"] in ("ran", "cut")] == ["cut"]
        cluster.advance(1)
        assert optional.present(cluster.owner()).pool_owners[cluster.pool].records.grants == {}

    def test_a_client_that_does_not_read_applies_back_pressure_to_the_worker(
        self, quiet_cluster: conftest.QuietCluster, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        cluster = quiet_cluster()
        sent: list[int] = []

        async def flood(request: http_server.Request) -> None:
            if request.method == b"GET":
                request.answer_json(200, {"running": 0, "queued": 0})
                return
            for _ in range(200):
                while request.channel.transport.producer_held:
                    await cluster.load.runtime.sleep(10_000)
                request.write(b"x" * 16_384)
                sent.append(16_384)
            request.finish()

        for worker in cluster.workers.values():
            worker.process.ports.clear()
            cluster.listen(worker.process, 9001, http_server.Server(worker.runtime, flood))
        held = property(lambda side: side.producer_paused or side.bytes_in_flight > network_model.WINDOW_BYTES)
        monkeypatch.setattr(network_model.ConnectionSide, "producer_held", held, raising=False)
        assert held is not None
        request = self.query(cluster)
        assert cluster.advance_until(request.has_begun, 5)
        request.transport().pauseProducing()
        cluster.advance(5)
        assert sum(sent) < 12 * network_model.WINDOW_BYTES
        request.transport().resumeProducing()
        assert cluster.advance_until(lambda: request.done.called, 30)
        assert sum(len(part) for part in request.body_parts()) == 200 * 16_384

    def test_jumps_of_the_wall_clock_change_nothing(self) -> None:
        event_logs = []
        for jump in (0, 10**6, -(10**6)):
            real = time.time

            def jumping_time(jump: int = jump, real: Callable[[], float] = real) -> float:
                return real() + jump * (real() % 1)

            with mock.patch.object(time, "time", jumping_time):
                cluster = simulated_cluster.SimulatedCluster(5, "small", seconds=5)
                cluster.begin()
                cluster.end()
            event_logs.append(cluster.event_log.text())
        assert len(event_logs[0]) > 1000
        # Compared outside the assertion: pytest's report of a difference takes minutes.
        differ = event_logs != [event_logs[0]] * 3
        assert not differ

    def test_new_terms_apply_to_an_open_session(self, quiet_cluster: conftest.QuietCluster) -> None:
        cluster = quiet_cluster()
        self.answer(cluster, parts=("system", "talk"))
        document = cluster.with_probe(1)
        document["terms"]["default"]["lifetime_us"] = 10 * SECOND
        done = cluster.operator_runtime.spawn(cluster.operator.change(document), simulated_cluster.log)
        assert cluster.advance_until(lambda: done.called, 10)
        self.answer(cluster, parts=("system", "talk"))
        cluster.advance(17)
        assert self.open_sessions(cluster) == 0

    def test_a_node_does_not_serve_a_route_of_another_zone(self, quiet_cluster: conftest.QuietCluster) -> None:
        document = {
            "pools": {"desk": {}},
            "terms": {"default": {}},
            "routes": {"all": {"path": "/v1", "pool": "desk"}, "far": {"path": "/far", "pool": "desk", "zones": ["d"]}},
        }
        cluster = quiet_cluster(shape="magnolia", configuration=document)
        assert self.answer(cluster, path="/far", node="n1")[0] == 404
        assert self.answer(cluster, path="/far", node="n6")[0] == 200
        assert "routes/far" not in optional.present(cluster.nodes["n1"].follower.items)

    def test_a_node_without_a_configuration_is_not_ready_and_answers_not_run(
        self, quiet_cluster: conftest.QuietCluster
    ) -> None:
        cluster = quiet_cluster()
        cluster.world.cut(["10.0.2.7"], cluster.hosts("cores"))
        cluster.start_node("n7", "10.0.2.7", "a")
        cluster.advance(3)
        assert not cluster.platform.readiness["n7"]
        code, _, body = self.answer(cluster, node="n7")
        assert (code, b"not_ready" in body, b"not_run" in body) == (503, True, True)

    def test_no_change_is_confirmed_while_only_one_core_has_a_working_disk(
        self, quiet_cluster: conftest.QuietCluster
    ) -> None:
        cluster = quiet_cluster()
        for name in ("c2", "c3"):
            cluster.cores[name].process.host.disk_condition = "full"
        done = cluster.operator_runtime.spawn(cluster.operator.change(cluster.with_probe(1)), simulated_cluster.log)
        cluster.advance(8)
        assert not done.called
        code, may = self.plan_refused(cluster)
        assert (code in ("too_few_copies", "no_chain"), may) == (True, "not_run")
        for name in ("c2", "c3"):
            cluster.cores[name].process.host.repair()
        assert cluster.advance_until(lambda: done.called, 20)
        assert optional.present(deferreds.result_of(done)) > 0

    def test_a_promise_by_a_single_core_does_not_stop_the_chain_for_good(
        self, quiet_cluster: conftest.QuietCluster
    ) -> None:
        cluster = quiet_cluster()
        head = optional.present(cluster.head())
        number = optional.present(head.consensus.view).number + 1
        consensus = head.consensus
        consensus.acceptor.lease_grant = acceptor.LeaseGrant("", 0)  # as after a cut in which its lease grant expired
        prepare = message.Prepare(number, (1, consensus.own_voter.id), consensus.own_voter.id)
        cluster.operator_runtime.spawn(consensus.answer(prepare), simulated_cluster.log)
        cluster.advance(0.1)
        assert consensus.is_sealed()
        done = cluster.operator_runtime.spawn(cluster.operator.change(cluster.with_probe(1)), simulated_cluster.log)
        assert cluster.advance_until(lambda: done.called, 5)
        assert optional.present(deferreds.result_of(done)) > 0

    def plan_refused(self, cluster: simulated_cluster.SimulatedCluster) -> list[str]:
        """Submit a plan that is refused; the error code and verdict of the refusal."""
        got = []

        async def go() -> None:
            _, document = await cluster.operator.query("POST", "/plans", {"blueprint": cluster.with_probe(9)})
            got.extend([document["code"], document["verdict"]])

        done = cluster.operator_runtime.spawn(go(), simulated_cluster.log)
        assert cluster.advance_until(lambda: done.called, 10)
        return got

    def test_a_selection_that_arrives_after_its_release_gets_no_grant(
        self, quiet_cluster: conftest.QuietCluster
    ) -> None:
        cluster = quiet_cluster()
        node = optional.present(cluster.owner())
        pool_owner = node.pool_owners[cluster.pool]
        pool_owner.release("late-ask", errors.ExecutionOutcome.NOT_RUN)
        msg = message.SelectWorker(
            cluster.pool,
            pool_owner.assignment.term,
            "n1",
            "late-ask",
            "e1",
            1,
            False,
            "",
            [],
            20,
            False,
            [],
            {"lifetime_us": SECOND, "cost": 1},
            SECOND,
        )
        done = node.runtime.spawn(pool_owner.select_worker(msg), simulated_cluster.log)
        cluster.advance(1)
        answer = deferreds.result_of(done)
        assert isinstance(answer, message.SelectionDenied)
        assert answer.code == "no_warden"
        assert pool_owner.records.claims == {}

    def test_a_release_as_not_run_removes_the_claim_collected_for_the_same_grant(
        self, quiet_cluster: conftest.QuietCluster
    ) -> None:
        cluster = quiet_cluster()
        node = optional.present(cluster.owner())
        pool_owner = node.pool_owners[cluster.pool]
        # The claim is entered as a new pool owner collects it from the replicas.
        pool_owner.records.claims["e1"] = claims.Claim("e1", 1, "n1", "old-ask", cluster.world.time + 600 * SECOND)
        pool_owner.release("old-ask", errors.ExecutionOutcome.NOT_RUN)
        assert self.answer(cluster, identifier="e1", repeat=False)[0] == 200
        code, _, body = self.answer(cluster, identifier="e1", repeat=False, send=2, node="n2")
        assert (code, b'"ran"' in body) == (409, True)

    def test_a_fenced_replica_rejects_records_of_a_former_pool_owner(
        self, quiet_cluster: conftest.QuietCluster
    ) -> None:
        cluster = quiet_cluster(shape="magnolia")
        node = optional.present(cluster.owner())
        old = node.pool_owners[cluster.pool]
        holder = next(
            m for m in cluster.nodes.values() if optional.present(m.member_record).id == old.assignment.copies[0]
        )
        holder.pool_roles.replica(cluster.pool).fence((old.assignment.term[0], old.assignment.term[1] + 1))
        done = node.runtime.spawn(
            old.replicator.replicate(
                message.ReplicateRecords(
                    cluster.pool, old.assignment.term, optional.present(node.member_record).id, [], [], []
                )
            ),
            simulated_cluster.log,
        )
        cluster.advance(1)
        assert (done.result, old.is_live()) == (False, False)

    def test_repeated_queries_of_the_first_pool_owner_find_no_earlier_owner(
        self, quiet_cluster: conftest.QuietCluster
    ) -> None:
        cluster = quiet_cluster()
        core = optional.present(cluster.tail())

        def had_an_owner(term: tuple[int, int]) -> bool:
            request = message.RecordsRequest("new", term, "n1")
            asked = core.runtime.spawn(core.session_replicas.collect(request), simulated_cluster.log)
            cluster.advance(0.1)
            response = optional.present(deferreds.result_of(asked))
            assert response.ok
            return response.has_replica

        assert [had_an_owner((9, k)) for k in (1, 1, 2, 3)] == [False, False, True, True]

    def test_an_update_does_not_interrupt_a_call_to_a_core_machine(self, quiet_cluster: conftest.QuietCluster) -> None:
        cluster = quiet_cluster()
        node, core = cluster.nodes["n1"], optional.present(cluster.tail())
        asked = node.runtime.spawn(
            node.peers.call(core.options.host, core.options.port, message.RecordsRequest("new", (9, 1), "n1"), SECOND),
            simulated_cluster.log,
        )
        node.on_update()
        cluster.advance(0.5)
        assert optional.present(deferreds.result_of(asked)).ok
        node.on_update()
        assert node.peers.connections[(core.options.host, core.options.port)].up

    def test_a_pool_serves_again_after_a_node_saw_a_newer_term_of_a_lost_membership(
        self, quiet_cluster: conftest.QuietCluster
    ) -> None:
        cluster = quiet_cluster(shape="magnolia")
        for who in ("copy", "holder"):
            assignment = optional.present(cluster.owner()).pool_owners[cluster.pool].assignment
            name = assignment.holder if who == "holder" else assignment.copies[0]
            node = next(m for m in cluster.nodes.values() if optional.present(m.member_record).id == name)
            # The term of a newer membership that no core stored.
            newer = (
                assignment.term[0],
                optional.present(optional.present(cluster.tail()).membership.latest).version[1] + 1,
            )
            node.serve(None, message.RecordsRequest(cluster.pool, newer, "somebody"))
            assert self.answer(cluster, identifier=who, repeat=False, node="n1")[0] == 200

    def test_a_tail_that_was_frozen_answers_nothing_on_its_expired_lease(
        self, quiet_cluster: conftest.QuietCluster
    ) -> None:
        cluster = quiet_cluster()
        tail = optional.present(cluster.tail())
        tail.process.freeze()
        cluster.advance(4)
        tail.process.frozen = False  # the process runs again, but has not received any message yet
        assert not tail.consensus.holds_lease()
        assert not tail.chain.tail.answer_read(message.ReadRequest(1)).ok
        assert not tail.is_serving()

    def test_nodes_whose_protocol_versions_differ_by_two_do_not_communicate(
        self, quiet_cluster: conftest.QuietCluster
    ) -> None:
        cluster = quiet_cluster()
        ours = cluster.nodes["n1"].runtime.protocol_version
        for name, version in (("n8", ours + 1), ("n9", ours + 2)):
            cluster.protocol_versions[name] = version
            cluster.start_node(name, f"10.0.2.{name[1]}", "a")
        cluster.advance(5)
        assert (cluster.platform.readiness["n8"], cluster.platform.readiness["n9"]) == (True, False)
        assert self.answer(cluster, node="n8")[0] == 200
        assert "n9" not in [m.name for m in cluster.nodes["n1"].follower.membership.members]

    def test_a_core_refuses_to_start_on_data_of_a_newer_format(self, quiet_cluster: conftest.QuietCluster) -> None:
        cluster = quiet_cluster()
        core = cluster.cores["c1"]
        core.process.kill()
        core.process.host.synced[b"format"] = b"99"
        with pytest.raises(storage.DiskError):
            cluster.start_core("c1", *cluster.places["c1"])

    def test_the_total_size_of_open_plans_is_limited(self, quiet_cluster: conftest.QuietCluster) -> None:
        cluster = quiet_cluster()
        chain = optional.present(cluster.head()).chain
        pad = [("terms/t", {"pad": "x" * (1 << 20)})]
        for k in range(40):
            done = optional.present(cluster.head()).runtime.spawn(
                chain.answer(
                    message.ProposeChange(
                        optional.present(optional.present(cluster.head()).consensus.view).number,
                        "plan",
                        f"2-{k}",
                        chain.latest_state.version,
                        pad,
                    )
                ),
                simulated_cluster.log,
            )
            assert cluster.advance_until_called(done, 5)
        cluster.advance(2)
        assert sum(p.size for p in chain.latest_state.plans.values()) <= 16 << 20
        assert sum(len(value) for value in optional.present(cluster.head()).process.host.synced.values()) < 120 << 20

    def test_a_node_that_was_frozen_is_not_ready_before_it_has_rejoined(
        self, quiet_cluster: conftest.QuietCluster
    ) -> None:
        cluster = quiet_cluster()
        node = cluster.nodes["n1"]
        node.process.freeze()
        cluster.advance(4)
        node.process.frozen = False
        assert node.follower.needs_rejoin()
        assert node.ready() == (False, "rejoining")
