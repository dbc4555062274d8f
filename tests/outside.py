"""The program's external interfaces, gathered for comparison with the recording tests/data/outside.json."""

import contextlib
import dataclasses
import gzip
import hashlib
import json
import os
import pathlib
import re
import subprocess
import sys
import tempfile
import tomllib
import typing
from unittest import mock

import loguru
from twisted.internet import endpoints, protocol

from benchmarks import stand_in_platform, stand_in_worker
from iriswheel import errors
from iriswheel.configuration import configuration
from iriswheel.runtime import options, scheduler
from iriswheel.transport import http_server
from iriswheel.verification import replay
from simulation import addresses, operator_model, simulated_cluster
from simulation import deployment as deployment_model
from simulation.scenarios import actions
from tests import deferreds, recorded

StandIn = stand_in_worker.Worker | stand_in_platform.Platform

ROOT = pathlib.Path(__file__).parent.parent
COMMANDS = (
    "core",
    "node",
    "load",
    "check",
    "plan",
    "confirm",
    "change",
    "evacuate",
    "readmit",
    "show",
    "replay",
    "history",
)
REQUEST_ID = "X-Exchange-Id: x{}\r\nX-Send-Number: 1\r\nX-May-Repeat: yes\r\nX-Requester: someone\r\n"
CHANGE = {"number": 1, "built_on": 0, "upsert": {"routes": {"r1": {"path": "/r1", "pool": "desk"}}}}
CORE_CALLS: tuple[tuple[str, str, typing.Any], ...] = (  # method, path, body
    ("GET", "/blueprint", None),
    ("GET", "/state", None),
    ("GET", "/ready", None),
    ("POST", "/changes", CHANGE),
    ("POST", "/changes", CHANGE),
    ("POST", "/changes", {**CHANGE, "number": 2, "upsert": {}}),
    ("POST", "/changes", {"number": 1}),
    ("POST", "/changes", {**CHANGE, "other": 1}),
    ("POST", "/changes", {"number": 2, "built_on": 1, "upsert": {"routes": {"r2": {"path": "/r2", "pool": "none"}}}}),
    ("POST", "/changes", {"number": 2, "built_on": 1, "upsert": {"pools": {"desk": {"cap": "4", "unknown": 1}}}}),
    ("POST", "/plans", {"patch": [{"op": "remove", "path": "/routes/r1"}]}),
    ("POST", "/plans", {"patch": [], "base": 1}),
    ("POST", "/plans", {}),
    ("GET", "/plans/{plan}", None),
    ("POST", "/plans/{plan}/confirm", {}),
    ("GET", "/plans/0-none", None),
    ("POST", "/plans/0-none/confirm", {}),
    ("DELETE", "/blueprint", None),
    ("GET", "/none", None),
    ("PUT", "/evacuations/attic", None),
    ("GET", "/evacuations", None),
    ("DELETE", "/evacuations/attic", None),
    ("DELETE", "/evacuations/attic", None),
    ("POST", "/counters/n", {"id": "x", "amount": 4}),
    ("POST", "/counters/n", {"id": "x", "amount": 4}),
    ("POST", "/counters/n", {"id": "y", "amount": "4"}),
    ("GET", "/counters/n", None),
    ("DELETE", "/counters/n", None),
)
NODE_CALLS = (  # method, path, further headers, body
    ("GET", "/ready", "", None),
    ("GET", "/state", "", None),
    ("POST", "/v1/complete", REQUEST_ID, "hello"),
    ("POST", "/v1/complete", REQUEST_ID + "X-Prompt-Prefix: system-1, talk-{}\r\nX-Further: yes\r\n", "hello"),
    ("POST", "/v1/complete", "X-Send-Number: minus\r\n", "hello"),
    ("POST", "/v1/complete", "X-May-Repeat: perhaps\r\n", "hello"),
    ("POST", "/v1/complete", "X-Prompt-Prefix: a b\r\n", "hello"),
    ("POST", "/v1/complete", "Content-Length: 99999999\r\n", None),
    ("POST", "/no-route", REQUEST_ID, "hello"),
    ("GET", "/v1/complete", "", None),
    ("POST", "/v1/complete", "", None),
)


class ResponseCollector(protocol.Protocol):
    """Keeps all bytes of a response."""

    def __init__(self) -> None:
        self.received = b""

    def dataReceived(self, data: bytes) -> None:
        self.received += data


def json_shape(value: object) -> object:
    """Return the keys in a JSON value, each with the types of its values.

    >>> json_shape({"a": [{"b": 1}, {"b": 2}], "c": None})
    {'a': [{'b': 'int'}], 'c': 'NoneType'}
    """
    match value:
        case dict():
            return {key: json_shape(item) for key, item in sorted(value.items())}
        case list():
            shapes: list[object] = []
            for item in map(json_shape, value):
                if item not in shapes:
                    shapes.append(item)
            return shapes
    return type(value).__name__


def comparable_response(raw: bytes) -> dict[str, typing.Any]:
    r"""Return the compared parts of an HTTP response: status, headers, the keys in its body, and an error's full body.

    >>> comparable_response(b'HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n{"a": 1}')["body"]
    {'a': 'int'}
    """
    head, _, body = raw.partition(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    skipped = ("date", "server", "content-length", "x-target-worker")  # their values change from run to run
    headers = sorted(line if line.split(":")[0].lower() not in skipped else line.split(":")[0] for line in lines[1:])
    out: dict[str, typing.Any] = {"status": lines[0], "headers": headers}
    try:
        document = json.loads(body)
    except ValueError:
        return {**out, "text": re.sub(r"[0-9a-f-]{3,}|w[0-9]", "#", body.decode("latin-1"))[:200]}
    if isinstance(document, dict) and "code" in document:
        return {**out, "refusal": document}
    return {**out, "body": json_shape(document)}


def send_raw_request(
    simulated: deployment_model.Deployment, runtime: scheduler.Runtime, host: str, port: int, text: str
) -> bytes:
    """Send a request's raw text from a simulated process; return the bytes received within three seconds."""
    point: typing.Any = endpoints.TCP4ClientEndpoint(runtime.reactor, host, port, timeout=2)
    opened = point.connect(protocol.Factory.forProtocol(ResponseCollector))
    simulated.advance_until(lambda: opened.called, 3)
    client: typing.Any = deferreds.result_of(opened)
    client.transport.write(text.encode())
    simulated.advance(3)
    client.transport.abortConnection()
    return bytes(client.received)


class QuietFleet:
    """A simulated fleet without load, which gets raw requests over plain connections."""

    def __init__(self) -> None:
        # the program's own requests to workers and platform, by method and path
        self.requests: dict[str, typing.Any] = {}
        self.cluster = simulated_cluster.SimulatedCluster(5, "small", long_rate=0, short_rate=0, conversations=0)
        self.cluster.probing = False

    def collect_request_headers(self, label: str, owner: type[StandIn]) -> contextlib.AbstractContextManager[object]:
        """Patch a stand-in's handler to also collect the names of the requests' headers under a label."""
        handle: typing.Any = owner.handle
        requests = self.requests

        async def handle_and_collect(stand_in: StandIn, request: http_server.Request) -> None:
            names = {name.decode() for name, _ in request.requestHeaders.getAllRawHeaders()}
            key = f"{label}: {request.method.decode()} {request.path.decode()}"
            requests[key] = sorted(names | set(requests.get(key, ())))
            await handle(stand_in, request)

        return mock.patch.object(owner, "handle", handle_and_collect)

    def query(self, host: str, port: int, text: str) -> bytes:
        """Send a request's raw text; return the bytes received within three seconds."""
        return send_raw_request(self.cluster, self.cluster.operator_runtime, host, port, text)

    def core_answers(self) -> list[typing.Any]:
        """Return the answers of a core machine to all `CORE_CALLS`."""
        out, plan = [], ""
        for method, path, document in CORE_CALLS:
            body = "" if document is None else json.dumps(document)
            text = f"{method} {path.format(plan=plan)} HTTP/1.1\r\nHost: x\r\nContent-Length: {len(body)}\r\n\r\n{body}"
            raw = self.query("10.0.1.1", addresses.HTTP_PORT, text)
            if path == "/plans" and not plan:
                plan = json.loads(raw.partition(b"\r\n\r\n")[2])["id"]
            out.append([f"{method} {path}", comparable_response(raw)])
        return out

    def node_answers(self) -> list[typing.Any]:
        """Return the answers of a node to all `NODE_CALLS`."""
        out = []
        for place, (method, path, headers, body) in enumerate(NODE_CALLS):
            length = "" if body is None else f"Content-Length: {len(body)}\r\n"
            head = f"{method} {path} HTTP/1.1\r\nHost: x\r\n{headers.format(place, place)}{length}\r\n"
            raw = self.query("10.0.2.1", addresses.HTTP_PORT, head + (body or ""))
            out.append([f"{method} {path} {place}", comparable_response(raw)])
        return out

    def gather(self) -> dict[str, typing.Any]:
        """Send all requests; return the answers, and the requests that the program itself sent meanwhile."""
        with (
            self.collect_request_headers("worker", stand_in_worker.Worker),
            self.collect_request_headers("platform", stand_in_platform.Platform),
        ):
            self.cluster.begin()
            self.cluster.advance(2)
            found = {"core": self.core_answers(), "node": self.node_answers()}
        return {**found, "requests": dict(sorted(self.requests.items()))}


def run(*arguments: str) -> tuple[str, int]:
    """Run the program; return its standard output and exit code."""
    environment = {**os.environ, "COLUMNS": "100", "PYTHONPATH": str(ROOT)}
    command = [sys.executable, "-m", "iriswheel", *arguments]
    done = subprocess.run(command, capture_output=True, text=True, cwd=ROOT, env=environment, check=False)
    return done.stdout, done.returncode


def command_arguments(name: str) -> list[str]:
    """Return the arguments of a subcommand from its help: their names, and defaults if they have any."""
    text, _ = run(name, "--help")
    usage, _, rest = text.partition("\n\n")
    lines = [" ".join(usage.split()).partition(" ")[2].partition(" ")[2]]
    for line in rest.splitlines():
        name_of_argument = re.split(r"  +", line.strip())[0]
        if re.match(r"  \S", line):
            lines.append(name_of_argument)
        if "(default:" in line:
            lines.append("(default:" + line.partition("(default:")[2])
    return lines


def command_list() -> list[str]:
    """Return the subcommands, in the order of the help."""
    listed = re.search(r"\{(.*?)\}", run("--help")[0])
    assert listed is not None
    return listed.group(1).split(",")


def option_defaults() -> dict[str, typing.Any]:
    """Return the keys of an options file, with their types and defaults."""
    blank = options.Options("core")
    return {
        f.name: [getattr(f.type, "__name__", f.type), getattr(blank, f.name)]
        for f in dataclasses.fields(blank)
        if f.name != "role"
    }


def configuration_defaults() -> dict[str, typing.Any]:
    """Return the keys of each kind of configuration item, with their defaults."""
    given = {"routes": {"path": "/", "pool": "p"}}
    return {kind: cls.from_dict(given.get(kind, {})).to_dict() for kind, cls in configuration.KINDS.items()}


def refusals() -> dict[str, typing.Any]:
    """Return each error code with its HTTP status and Retry-After."""
    return {
        code: [errors.ServiceError(code, "").status, errors.ServiceError(code, "").retry_after]
        for code in sorted(errors.CODES)
    }


def deployment() -> dict[str, typing.Any]:
    """Return the deployment file that the platform reads, and a digest of the table of the platform's names."""
    words = (ROOT / "platform" / "words.toml").read_bytes()
    system = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
    return {"system": system, "words": hashlib.sha256(words).hexdigest()}


def event_rows() -> list[dict[str, typing.Any]]:
    """Return the event log of a short simulated run with changes and faults."""
    cluster = simulated_cluster.SimulatedCluster(9, "small", long_rate=0.5, short_rate=3, conversations=2, seconds=24)
    cluster.begin()
    actions.confirm_changes(cluster, 3, 3)
    cluster.advance(6)
    owner = cluster.owner()
    assert owner is not None
    actions.kill(cluster, owner.options.name, restart_after=2)
    cluster.advance(6)
    actions.kill(cluster, "c1", restart_after=2)
    operator = operator_model.Operator(cluster, cluster.operator_runtime, "numbers")
    numbered = {"upsert": {"routes": {"numbered": {"path": "/numbered", "pool": cluster.pool}}}}
    cluster.operator_runtime.spawn(operator.submit_numbered(6, 5, numbered), simulated_cluster.log)
    cluster.advance(6)
    cluster.end()
    return cluster.event_log.rows


def printed_verdicts(rows: list[dict[str, typing.Any]]) -> dict[str, typing.Any]:
    """Return what the program prints about an event log, and how many rows each of its checks examined."""
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / "run.events"
        path.write_text("".join(json.dumps(row) + "\n" for row in rows))
        printed = {name: list(run(name, str(path))) for name in ("replay", "history")}
    return {**printed, "judged": replay.examine(rows)[1]}


def recorded_rows() -> list[dict[str, typing.Any]]:
    """Return the rows of the recorded event log."""
    with gzip.open(recorded.DATA / "run.events.gz", "rt") as lines:
        return [json.loads(line) for line in lines]


def event_fields(rows: list[dict[str, typing.Any]]) -> dict[str, list[str]]:
    """Return the kinds of event rows, each with the names of its fields.

    >>> event_fields([{"at": 1, "kind": "sent"}, {"at": 2, "kind": "sent", "send": 1}])
    {'sent': ['at', 'kind', 'send']}
    """
    found: dict[str, set[str]] = {}
    for row in rows:
        found.setdefault(row["kind"], set()).update(row)
    return {kind: sorted(names) for kind, names in sorted(found.items())}


def with_faults(rows: list[dict[str, typing.Any]]) -> list[dict[str, typing.Any]]:
    """Return the rows with faults that checks must report: second runs, runs after a refusal, a lost configuration."""
    out = []
    any_run = next(row for row in rows if row["kind"] == "run")
    for original in rows:
        row = dict(original)
        if row["kind"] == "sent":
            row["repeat"] = False
        out.append(row)
        if row["kind"] == "run":
            out.append({**row, "run": f"{row['run']} again"})
        if row["kind"] == "refused":
            row["verdict"] = "not_run"
            out.append({**any_run, "at": row["at"], "exchange": row["exchange"], "send": row["send"], "run": "refused"})
        if row["kind"] == "read":
            row["stamp"] += 7
            row["blueprint"] = {}
    return out


def http_sections() -> dict[str, typing.Any]:
    """Return the HTTP answers and the program's own requests, by section."""
    found = QuietFleet().gather()
    return {
        "core answers": {f"{k:02} {name}": seen for k, (name, seen) in enumerate(found["core"])},
        "node answers": {f"{k:02} {name}": seen for k, (name, seen) in enumerate(found["node"])},
        "requests to others": found["requests"],
    }


def command_sections() -> dict[str, typing.Any]:
    """Return the subcommands, and the arguments of each."""
    return {name: command_arguments(name) for name in COMMANDS} | {"all": command_list()}


def gather() -> dict[str, typing.Any]:
    """Return all that is compared, except the event log, as sections of named records."""
    return {
        **http_sections(),
        "commands": command_sections(),
        "options": option_defaults(),
        "configuration": configuration_defaults(),
        "refusals": refusals(),
        "deployment": deployment(),
    }


def record() -> None:
    """Make a new recording, after an intended change of an external interface."""
    rows = event_rows()
    with gzip.GzipFile(recorded.DATA / "run.events.gz", "wb", mtime=0) as log:
        log.write("".join(json.dumps(row) + "\n" for row in rows).encode())
    verdicts = {"as it was": printed_verdicts(rows), "with faults": printed_verdicts(with_faults(rows))}
    recorded.save("outside.json", {**gather(), "events": event_fields(rows), "verdicts": verdicts})


if __name__ == "__main__":
    loguru.logger.remove()
    record()
