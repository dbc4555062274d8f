"""How a node's forwarder handles a worker that dies, freezes or answers while its client reads slowly."""

import simulation.clients.connection as client_connection
import simulation.workers.worker as workers
from iriswheel.runtime import units
from iriswheel.transport import message
from simulation import host_model, inference_engine, platform_names, process_model
from tests import deferreds, node_fixture

SECOND = units.SECOND_US
HEADERS = platform_names.HEADERS


class WorkerInProcess(workers.Worker):
    """A simulated worker with a reference to the simulated process that it runs in."""

    process: process_model.SimulatedProcess


class TestForwarding(node_fixture.NodeFixture):
    def worker(self, **faults: float) -> WorkerInProcess:
        k = len(self.workers) + 1
        process = process_model.SimulatedProcess(self.world, f"w{k}", host_model.Host(self.world, f"10.0.3.{k}", "a"))
        worker = WorkerInProcess(
            process.runtime(),
            f"w{k}",
            "desk",
            self.tape,
            inference_engine.EngineParameters(enqueue_delay_us=0),
            connection_limit=50,
        )
        worker.process, worker.faults, worker.close_share, worker.linger_share = process, faults, 0, 0
        process.reactor.listenTCP(80, worker)
        self.workers.append(worker)
        self.follower.workers.append(message.Worker(worker.id, f"10.0.3.{k}", 80, "desk", "ready", 0))
        self.follower.workers_by_id = {w.id: w for w in self.follower.workers}
        return worker

    def query(self, events: int = 40) -> tuple[client_connection.PendingAnswer, client_connection.ClientConnection]:
        """Send a request for a stream; returns its answer, which fills over time, and the client's connection."""
        call = client_connection.PendingAnswer(lambda _call: None)
        connected = client_connection.connect(self.client_process.runtime(), "10.0.2.1", 80, SECOND)
        self.go(10)
        head = {
            "Host": "h.example",
            "Content-Length": 2,
            HEADERS["attempt"]: "a1",
            HEADERS["tokens"]: f"10,{4 * events}",
            HEADERS["parts"]: "aa:10",
            HEADERS["left"]: 5000,
        }
        lines = "".join(f"{k}: {v}\r\n" for k, v in head.items())
        connection = deferreds.result_of(connected)
        connection.start(call, f"POST /x/ HTTP/1.1\r\n{lines}\r\nhi".encode())
        return call, connection

    def selected_worker(self) -> WorkerInProcess:
        """The worker that runs the latest request."""
        latest: WorkerInProcess = next(w for w in self.workers if w.name == self.runs()[-1])
        return latest

    def runs(self) -> list[str]:
        return [r["name"] for r in self.tape.rows if r["kind"] == "run"]

    def test_a_stream_that_breaks_off_is_resumed_at_another_worker(self) -> None:
        for _ in range(2):
            self.worker()
        call, _ = self.query()
        self.go(60)
        self.selected_worker().process.kill()
        self.go(1000)
        assert ("whole", list(range(1, 42))) == (call.outcome, [e[0] for e in call.events])
        assert self.forwarder.counts.resumed == 1

    def test_a_stream_that_no_worker_can_resume_is_broken_off(self) -> None:
        for _ in range(2):
            self.worker()
        call, _ = self.query()
        self.go(60)
        for w in self.workers:  # the ports of killed processes reset connections
            w.process.kill()
        self.go(1000)
        assert (call.outcome, 0 < len(call.events) < 41) == ("closed", True)

    def test_a_silent_worker_keeps_its_stream_where_no_other_worker_can_resume_it(self) -> None:
        w = self.worker()
        call, _ = self.query()
        self.go(60)
        w.process.freeze()
        self.go(1500)
        w.process.wake()
        self.go(1000)
        assert (self.forwarder.counts.silent, call.outcome, len(call.events)) == (0, "whole", 41)

    def test_a_slow_client_is_not_recorded_as_a_failure_of_its_worker(self) -> None:
        for _ in range(2):
            self.worker().parameters.step_us = 100
        call, connection = self.query(events=4000)
        self.go(60)
        connection.transport.pauseProducing()
        self.go(2500)
        connection.transport.resumeProducing()
        self.go(2000)
        assert (self.forwarder.counts.silent, len(self.runs()), call.outcome) == (0, 1, "whole")
        assert self.forwarder.placement_of("desk").own_suspicion(self.selected_worker().id, self.world.time) == 0
