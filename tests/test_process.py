"""Real processes: the command line, the HTTP interfaces, and one short trial with injected faults."""

import json
import pathlib
import signal
import socket
import subprocess
import sys
import time
import unittest.mock
from collections.abc import Callable, Iterator

import pytest

from benchmarks import fleet, process_trial


def program(*args: str) -> tuple[int, str, str]:
    """Run the command line; returns the exit code, standard output and standard error."""
    process = subprocess.run(
        [sys.executable, "-m", "iriswheel", *args], capture_output=True, text=True, timeout=60, check=False
    )
    return process.returncode, process.stdout, process.stderr


def write_document(folder: pathlib.Path, document: object) -> str:
    """Write a JSON file into a folder, and return its path."""
    path = folder / "document.json"
    path.write_text(json.dumps(document))
    return str(path)


def raw(port: int, text: bytes) -> tuple[str, bytes]:
    """Send bytes to a port and read until the connection closes; returns the answer's head and body."""
    with socket.create_connection((fleet.HOST, port), timeout=20) as connection:
        connection.sendall(text)
        got = b""
        while True:
            piece = connection.recv(65536)
            if not piece:
                break
            got += piece
    head, _, body = got.partition(b"\r\n\r\n")
    return head.decode("latin-1"), body


@pytest.fixture(scope="module")
def small_fleet() -> Iterator[fleet.Fleet]:
    """A small fleet of processes, shared by all tests that change nothing but its configuration."""
    started = fleet.Fleet("small")
    started.begin()
    yield started
    started.end()


class TestCommandLine:
    def test_all_option_errors_are_printed_at_once_with_exit_code_2(self) -> None:
        code, _, err = program("node", "--host", "nowhere", "--seeds", "127.0.0.1")
        assert code == 2
        for name in ("name: missing", "zone: missing", "host: 'nowhere'", "seeds: '127.0.0.1'", "platform: ''"):
            assert name in err

    def test_an_unknown_option_in_the_file_ends_with_exit_code_2(self, tmp_path: pathlib.Path) -> None:
        path = tmp_path / "core.toml"
        path.write_text('name = "n"\ncolour = "red"\n')
        code, _, err = program("core", "--options", str(path))
        assert code == 2
        assert "colour: unknown option" in err

    def test_check_accepts_the_examples_and_prints_every_error(self, tmp_path: pathlib.Path) -> None:
        for name in ("magnolia.json", "swan.json"):
            assert program("check", str(fleet.EXAMPLES / name))[0] == 0
        document = {"pools": {"p": {"cap": -1, "size": 3}}, "routes": {"r": {"path": "x", "pool": "q"}}}
        code, _, err = program("check", write_document(tmp_path, document))
        assert code == 2
        assert len(err.splitlines()) == 4

    def test_replay_of_a_damaged_or_missing_log_ends_with_exit_code_2(self, tmp_path: pathlib.Path) -> None:
        path = tmp_path / "run.events"
        path.write_text('{"at": 1, "kind": "sent"\n{"at": 2, "kind": "ended"}\n')
        code, _, err = program("replay", str(path))
        assert (code, len(err.splitlines())) == (2, 1)
        assert program("replay", "/nowhere/at/all")[0] == 2

    def test_a_sweep_of_an_unknown_scenario_ends_with_exit_code_2(self) -> None:
        process = subprocess.run(
            [sys.executable, "-m", "simulation.sweep", "--scenarios", "nonsense"],
            capture_output=True,
            text=True,
            check=False,
        )
        assert (process.returncode, len(process.stderr.splitlines())) == (2, 1)

    def test_a_second_process_on_one_data_folder_does_not_start(self, tmp_path: pathlib.Path) -> None:
        options = [
            "--name",
            "c",
            "--zone",
            "a",
            "--host",
            fleet.HOST,
            "--seeds",
            "127.0.0.1:1",
            "--data",
            str(tmp_path / "data"),
        ]
        no_wait = tmp_path / "core.toml"
        no_wait.write_text("start_wait_us = 0\n")
        first = subprocess.Popen(
            [sys.executable, "-m", "iriswheel", "core", *options, "--port", str(fleet.free_port())],
            stderr=subprocess.PIPE,
            text=True,
        )
        assert first.stderr is not None
        while "listens" not in first.stderr.readline():
            assert first.poll() is None
        code, _, err = program("core", *options, "--port", str(fleet.free_port()), "--options", str(no_wait))
        first.terminate()
        assert (code, "data folder" in err) == (3, True)
        first.communicate()
        assert first.returncode == 0


class TestOutsideInterfaces:
    @pytest.fixture(autouse=True)
    def use_fleet(self, small_fleet: fleet.Fleet) -> None:
        self.fleet = small_fleet
        self.port = small_fleet.nodes["n1"][1]
        self.core = f"{fleet.HOST}:{small_fleet.cores['c2'][1]}"

    def refused(self, text: bytes, status: int, code: str, field: str | None = None) -> None:
        head, body = raw(self.port, text)
        document = json.loads(body)
        assert f" {status} " in head.splitlines()[0] + " "
        assert (document["code"], document["verdict"], document.get("field")) == (code, "not_run", field)

    def post_request(self, headers: str = "", body: bytes = b"hello", path: str = "/v1/complete") -> bytes:
        return (
            f"POST {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: {len(body)}\r\n{headers}\r\n"
        ).encode() + body

    def test_bad_requests_are_refused_with_a_code_and_the_field_at_fault(self) -> None:
        self.refused(self.post_request(path="/nowhere"), 404, "no_route", "path")
        self.refused(self.post_request("X-May-Repeat: perhaps\r\n"), 400, "bad_request", "X-May-Repeat")
        self.refused(self.post_request("X-Send-Number: 0\r\n"), 400, "bad_request", "X-Send-Number")
        self.refused(self.post_request("X-Exchange-Id: a b\r\n"), 400, "bad_request", "X-Exchange-Id")
        self.refused(self.post_request("X-Exchange-Id: a\r\nX-Exchange-Id: b\r\n"), 400, "bad_request", "X-Exchange-Id")
        self.refused(
            self.post_request("X-Prompt-Prefix: " + ",".join("p" * 33) + "\r\n"), 400, "bad_request", "X-Prompt-Prefix"
        )
        self.refused(b"GET /v1/complete HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", 405, "bad_method")
        self.refused(
            b"POST /v1/complete HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n",
            411,
            "length_required",
            "Content-Length",
        )
        self.refused(b"POST /v1/complete HTTP/1.1\r\nContent-Length: 99999999\r\n\r\n", 413, "too_large")
        self.refused(b"nonsense\r\n\r\n", 400, "bad_request", "head")

    def test_an_answer_is_streamed_and_names_its_worker(self) -> None:
        head, body = raw(self.port, self.post_request("X-Target-Worker: w9\r\nX-Exchange-Id: s1\r\n"))
        assert "200" in head.splitlines()[0]
        headers = head.lower()
        assert "x-target-worker: w1" in headers or "x-target-worker: w2" in headers
        assert "transfer-encoding: chunked" in headers
        assert b"[DONE]" in body

    def test_a_second_attempt_of_a_non_idempotent_request_is_refused_at_another_node(self) -> None:
        headers = "X-Exchange-Id: once\r\nX-Send-Number: 1\r\n"
        assert "200" in raw(self.port, self.post_request(headers))[0].splitlines()[0]
        head, body = raw(self.fleet.nodes["n2"][1], self.post_request(headers.replace("Number: 1", "Number: 2")))
        assert "409" in head.splitlines()[0]
        # The other node may not have heard yet that the first attempt has ended.
        assert json.loads(body)["verdict"] in ("ran", "may_have_run")

    def test_a_numbered_change_is_taken_once_and_refused_on_another_base(self, tmp_path: pathlib.Path) -> None:
        document = {"upsert": {"routes": {"numbered": {"path": "/numbered", "pool": "desk"}}}}
        path = write_document(tmp_path, document)
        args = ("change", path, "--number", "3", "--built-on", "0", "--core", self.core)
        first = program(*args)
        assert (first[0], json.loads(first[1])["number"]) == (0, 3)
        assert program(*args) == first
        code, out, _ = program("change", path, "--number", "4", "--built-on", "1", "--core", self.core)
        assert (code, json.loads(out)["code"]) == (4, "base_moved")
        document = json.loads(program("show", "--core", self.core)[1])["blueprint"]
        assert (document["marks"]["operator"]["number"], document["routes"]["numbered"]["path"]) == (3, "/numbered")

    def test_a_confirmed_plan_is_read_back_and_a_stale_one_is_refused(self, tmp_path: pathlib.Path) -> None:
        document = json.loads((fleet.EXAMPLES / "magnolia.json").read_text())
        document["pools"]["desk"]["cap"] = 7
        code, out, _ = program("plan", write_document(tmp_path, document), "--core", self.core)
        plan = json.loads(out)
        assert (code, plan["changed"], plan["pools"]) == (0, ["pools/desk"], ["desk"])
        first = program("confirm", plan["id"], "--core", self.core)
        assert first[0] == 0, first  # prints the answer: on an overloaded machine the outcome may be unknown
        assert program("confirm", plan["id"], "--core", self.core) == first
        shown = json.loads(program("show", "--core", self.core)[1])
        assert (7, json.loads(first[1])["stamp"]) == (shown["blueprint"]["pools"]["desk"]["cap"], shown["stamp"])
        path = write_document(tmp_path, [{"op": "replace", "path": "/pools/desk/cap", "value": 8}])
        stale = program("plan", path, "--patch", "--base", str(plan["base"]), "--core", self.core)
        assert (stale[0], json.loads(stale[1])["code"]) == (4, "base_moved")
        code, out, _ = program("plan", path, "--patch", "--core", self.core)
        assert (code, json.loads(out)["changed"]) == (0, ["pools/desk"])

    def test_unknown_plans_and_paths_are_refused_with_an_execution_outcome(self) -> None:
        http = self.fleet.cores["c1"][1]
        status, document = fleet.query(http, "POST", "/plans/99-0000/confirm", {})
        assert (status, document["verdict"]) == (404, "not_run")
        status, document = fleet.query(http, "POST", "/plans/0-0000/confirm", {})
        assert (status, document["verdict"]) == (404, "may_have_run")
        assert fleet.query(http, "GET", "/nowhere")[0] == 404
        status, document = fleet.query(http, "POST", "/plans", {"blueprint": {"pools": {"p": {"cap": "x"}}, "odd": {}}})
        assert (status, document["verdict"]) == (422, "not_run")
        assert "odd: unknown section" in document["text"]


class TestFaultTrial:
    def test_the_checkers_have_no_complaint_of_a_short_trial_with_faults(self) -> None:
        with fleet.Fleet("small") as running:
            trial = process_trial.Trial(running, 16, ["--short-rate", "15", "--long-rate", "1", "--talks", "3"])
            trial.wait_until_served(10)
            name = running.owner()
            trial.record_fault("kill", name)
            running.kill(name)
            running.wait_until(lambda: running.owner() not in ("", name), "another node is the pool owner", 30)
            trial.wait_until_served(10)
            trial.restart(name)
            running.wait_until(lambda: running.ready(name), "the node is ready again", 30)
            trial.record_fault("kill", "c1")
            running.kill("c1")
            document = json.loads(json.dumps(running.configuration))
            document["routes"]["late"] = {"path": "/v1/late", "pool": running.pool}
            running.wait_until(
                lambda: running.confirm(document, trial.record_event), "a change is confirmed without c1", 30
            )
            trial.restart("c1")
            name = running.owner()
            trial.record_fault("freeze", name)
            running.signal(name, signal.SIGSTOP)
            other = next(n for n in running.nodes if n != name)
            running.wait_until(lambda: running.owner_of(other), "the other node is the pool owner", 30)
            running.signal(name, signal.SIGCONT)
            trial.record_repair("wake", name)
            trial.wait_until_served(5)
            report, found, _ = trial.finish()
            # Response times depend on the load of the machine; benchmarks.process_trial judges them.
            lines = [line for ls in found.values() for line in ls if " waited " not in line and " paused " not in line]
            assert lines == []
            assert report["ends"]["whole"] > 30


class TestCases:
    @pytest.mark.parametrize("case", [process_trial.warden, process_trial.freeze])
    def test_a_fault_of_the_pool_owner_is_recorded_for_the_node_that_is_the_owner(
        self, case: Callable[[process_trial.Trial], None], monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(time, "sleep", lambda _seconds: None)
        trial = unittest.mock.create_autospec(process_trial.Trial, instance=True)
        trial.fleet = unittest.mock.create_autospec(fleet.Fleet, instance=True)
        trial.fleet.owner.return_value = "n3"
        trial.fleet.cores = {"c1": (1, 2)}
        case(trial)
        assert trial.record_fault.call_args_list[0].args[1] == "n3"
