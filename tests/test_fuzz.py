"""Whatever bytes and documents come from outside: a connection may end, no task breaks, nothing crosses.

The examples are derandomized, so that a run repeats; `python -m pytest tests/test_fuzz.py` takes some seconds.
"""

import contextlib
import itertools
import json
import pathlib
import re
import struct
import tempfile
from collections.abc import Callable, Sequence
from typing import Any

import configuration_api
import hypothesis
import loguru
import msgspec
import pytest
import settings
from hypothesis import strategies
from twisted.internet import task, testing

from iriswheel.configuration import configuration
from iriswheel.control import change_orders, core, counters, operator_api
from iriswheel.dataplane import worker_connections
from iriswheel.runtime import options, scheduler, units
from iriswheel.transport import http_server, message, wire
from simulation import platform_names

HEADERS = platform_names.HEADERS
QUICK = hypothesis.settings(derandomize=True, database=None, deadline=None, max_examples=150)
SCALARS = strategies.one_of(
    strategies.none(),
    strategies.booleans(),
    strategies.integers(),
    strategies.floats(),
    strategies.text(strategies.characters(exclude_categories=[]), max_size=8),
)


def nested(
    scalars: strategies.SearchStrategy[Any], keys: strategies.SearchStrategy[str]
) -> strategies.SearchStrategy[Any]:
    """Values nested in lists and maps."""
    return strategies.recursive(
        scalars,
        lambda inner: strategies.lists(inner, max_size=4) | strategies.dictionaries(keys, inner, max_size=4),
        max_leaves=12,
    )


class Transport(testing.StringTransport):
    """A transport as a socket's, that can be reset."""

    aborted = False
    disconnected = False

    def setTcpNoDelay(self, on: bool) -> None:
        pass

    def unregisterProducer(self) -> None:
        self.producer = None

    def abortConnection(self) -> None:
        self.aborted = self.disconnecting = True


def new_runtime() -> tuple[task.Clock, scheduler.Runtime]:
    """A clock and the machine on it."""
    clock = task.Clock()
    return clock, scheduler.Runtime(clock, now=lambda: int(clock.seconds() * units.SECOND_US), seed=1)


class LoggedErrors:
    """Tests whose expected complaints are not printed; what breaks a task is kept."""

    @pytest.fixture(autouse=True)
    def keep_logged_errors(self, logged_errors: list[str]) -> None:
        self.broken = logged_errors


class TestFrames(LoggedErrors):
    """Frames between processes."""

    def connection(self) -> tuple[wire.Connection, Transport]:
        self.clock, runtime = new_runtime()
        self.got = []
        connection = wire.Connection(runtime, lambda _connection, msg: self.got.append(msg), loguru.logger)
        transport = Transport()
        connection.makeConnection(transport)
        return connection, transport

    def feed(self, raw: bytes, cuts: Sequence[int] = ()) -> Transport:
        connection, transport = self.connection()
        places = [0, *sorted(cut % (len(raw) + 1) for cut in cuts), len(raw)]
        for start, end in itertools.pairwise(places):
            if not transport.aborted:
                connection.dataReceived(raw[start:end])
        assert all(isinstance(msg, message.Message) for msg in self.got), self.got
        assert [connection for connection in self.broken if "speaks version" not in connection] == []
        return transport

    @QUICK
    @hypothesis.given(strategies.binary(max_size=200), strategies.lists(strategies.integers(0, 200), max_size=3))
    def test_any_bytes(self, raw: bytes, cuts: list[int]) -> None:
        self.feed(raw, cuts)

    @QUICK
    @hypothesis.given(strategies.binary(max_size=60))
    def test_any_bytes_in_a_frame_end_the_connection_or_are_a_message(self, raw: bytes) -> None:
        transport = self.feed(struct.pack("!I", len(raw)) + raw)
        try:
            wire.decoder.decode(raw)
        except msgspec.MsgspecError:
            assert transport.aborted

    @QUICK
    @hypothesis.given(
        nested(
            strategies.none()
            | strategies.booleans()
            | strategies.integers(-(1 << 63), (1 << 64) - 1)
            | strategies.floats()
            | strategies.text(max_size=5)
            | strategies.binary(max_size=5)
            | strategies.sampled_from(["Ping", "Hello", "Pulse", "Look", "Elect", "Seat"]),
            strategies.text(max_size=5),
        ),
        strategies.integers(0, 3),
    )
    def test_values_of_wrong_types(self, value: object, kind: int) -> None:
        for document in (value, [kind, 1, value], [kind, value, ["Ping"]], [kind, 1, [value, value, value]]):
            raw = msgspec.msgpack.encode(document)
            self.feed(struct.pack("!I", len(raw)) + raw)

    @QUICK
    @hypothesis.given(strategies.integers(wire.Connection.MAX_LENGTH + 1, (1 << 32) - 1), strategies.binary(max_size=9))
    def test_lengths_beyond_the_bound_end_the_connection(self, length: int, raw: bytes) -> None:
        assert self.feed(struct.pack("!I", length) + raw).aborted

    def test_deep_nesting_ends_the_connection(self) -> None:
        for opening in (b"\x91", b"\x81\xa1a"):
            raw = b"\x93\x00\x01" + opening * 20_000 + b"\xc0"
            assert self.feed(struct.pack("!I", len(raw)) + raw).aborted

    @QUICK
    @hypothesis.given(strategies.data())
    def test_messages_with_bytes_changed(self, data: strategies.DataObject) -> None:
        good = wire.encoder.encode(wire.Envelope(0, 0, message.Worker("w", "h", 1, "p", "ready", 0)))
        good = (
            wire.encoder.encode(wire.Envelope(1, 1, message.WorkerListing([], (3, 1, 40))))
            if data.draw(strategies.booleans())
            else good
        )
        raw = bytearray(good)
        for place in data.draw(strategies.lists(strategies.integers(0, len(raw) - 1), min_size=1, max_size=4)):
            raw[place] = data.draw(strategies.integers(0, 255))
        self.feed(struct.pack("!I", len(raw)) + bytes(raw))


class InMemoryCore(core.Core):
    """A core that keeps its items in memory, and takes a change as the chain would: encoded."""

    def __init__(self) -> None:
        self.items = {}
        self.operator_api = operator_api.OperatorApi(
            self, None, self, None, replicas=None, counters=counters.Counters()
        )

    async def read(self) -> dict[str, Any]:
        return self.items

    async def change(self, order: change_orders.ChangeOrder) -> int:
        new = change_orders.items_after(order, self.items)
        msgspec.msgpack.decode(msgspec.msgpack.encode([order.identifier, configuration.difference(self.items, new)]))
        configuration.slice_for_node(new, "a")
        json.dumps(configuration_api.show(new))
        return 1

    async def apply_change(self, order: change_orders.ChangeOrder) -> int:
        return await self.change(order)


ODD_JSON = [
    None,
    True,
    -1,
    0,
    1.5,
    1 << 63,
    1 << 64,
    10**30,
    1e300,
    float("inf"),
    float("nan"),
    "",
    "x",
    "\x00",
    "\ud800",
    "a b",
    [],
    [[]],
    [{}],
    {},
    {"a": 1},
]
NAMES = strategies.sampled_from(
    [
        "version",
        "channels",
        "plants",
        "constraints",
        "name",
        "authority",
        "path_prefix",
        "mode",
        "cutoff_ms",
        "setpoint_ms",
        "urgency",
        "plant",
        "gain",
        "partition",
        "retries",
        "resumable",
        "probe",
        "conn_limit",
        "engine",
        "capacity",
        "stride",
        "idle_ms",
        "body_bytes",
        "upsert",
        "remove",
        "number",
        "built_on",
        "blueprint",
        "routes",
        "pools",
        "terms",
        "limits",
        "marks",
        "path",
        "pool",
        "split",
        "weight",
        "label",
    ]
)
TEXTS = strategies.sampled_from(["a", "r", "p", "/a/", "streaming", "idempotent", "mutating"])
DOCUMENTS = nested(SCALARS | TEXTS, NAMES | TEXTS | strategies.text(max_size=4))
CHANNEL = strategies.fixed_dictionaries(
    {
        "name": TEXTS | SCALARS,
        "path_prefix": strategies.just("/a/") | SCALARS,
        "mode": TEXTS | SCALARS,
        "cutoff_ms": strategies.just(5000) | SCALARS,
    },
    optional={
        "plant": strategies.just("p") | SCALARS,
        "partition": DOCUMENTS,
        "retries": strategies.just(1) | SCALARS,
        "authority": SCALARS,
        "urgency": SCALARS,
        "later": DOCUMENTS,
    },
)
PLANT = strategies.fixed_dictionaries({"name": strategies.just("p") | SCALARS}, optional={"engine": DOCUMENTS})
COMPLETE = strategies.fixed_dictionaries(
    {
        "version": strategies.integers(1, 9) | SCALARS,
        "channels": strategies.lists(CHANNEL, max_size=2) | DOCUMENTS,
        "plants": strategies.lists(PLANT, max_size=2) | DOCUMENTS,
    },
    optional={"constraints": DOCUMENTS, "upsert": DOCUMENTS, "remove": DOCUMENTS, "else": DOCUMENTS},
)
CHANGE = strategies.fixed_dictionaries(
    {"number": strategies.integers(1, 9) | SCALARS, "built_on": strategies.just(0) | SCALARS},
    optional={"upsert": DOCUMENTS, "remove": DOCUMENTS, "blueprint": DOCUMENTS},
)


class TestDocuments(LoggedErrors):
    """Operators' documents are taken or refused."""

    def call(self, method: str, path: str, body: bytes) -> int:
        _, runtime = new_runtime()
        server = http_server.Server(runtime, configuration_api.ConfigurationApi(InMemoryCore()).handle)
        channel = server.buildProtocol(None)
        transport = Transport()
        channel.makeConnection(transport)
        head = f"{method} {path} HTTP/1.1\r\nHost: a\r\nIf-Match: 0\r\nContent-Length: {len(body)}\r\n\r\n"
        channel.dataReceived(head.encode() + body)
        status = int(transport.value().split(b" ")[1])
        channel.connectionLost(testing.Failure(Exception()) if hasattr(testing, "Failure") else None)
        assert 200 <= status < 300 or 400 <= status < 500, (status, body, self.broken)
        assert self.broken == []
        return status

    @QUICK
    @hypothesis.given(COMPLETE | DOCUMENTS, strategies.sampled_from(["PUT", "PATCH"]))
    def test_any_configuration(self, document: object, method: str) -> None:
        self.call(method, "/configuration", json.dumps(document).encode())

    @QUICK
    @hypothesis.given(CHANGE | DOCUMENTS)
    def test_any_numbered_change(self, document: object) -> None:
        self.call("POST", "/changes", json.dumps(document).encode())

    @QUICK
    @hypothesis.given(strategies.binary(max_size=30))
    def test_any_bytes(self, raw: bytes) -> None:
        for method, path in (("PUT", "/configuration"), ("PATCH", "/configuration"), ("POST", "/changes")):
            self.call(method, path, raw)

    def test_deep_and_great_values(self) -> None:
        for depth in (50, 300, *range(880, 1000, 3), 100_000):
            for text in ("[" * depth + "]" * depth, '{"a":' * depth + "1" + "}" * depth):
                document = f'{{"version":1,"channels":[],"plants":[],"else":{text}}}'
                self.call("PUT", "/configuration", document.encode())
                change = f'{{"number":1,"built_on":0,"upsert":{{"pools":{{"p":{{"label":{{"a":{text}}}}}}}}}}}'
                self.call("POST", "/changes", change.encode())
        for text in ("NaN", "1e999", "9" * 30, "9" * 5000, '"\\ud800"'):
            document = f'{{"version":1,"channels":[],"plants":[],"else":{text}}}'
            assert self.call("PUT", "/configuration", document.encode()) == 400, text

    def test_each_odd_value_in_each_field(self) -> None:
        channel = {"name": "r", "path_prefix": "/a/", "mode": "streaming", "cutoff_ms": 5, "plant": "p"}
        fields = [*channel, "urgency", "retries", "authority", "partition", "later"]
        for field in fields:
            for value in ODD_JSON:
                document = {"version": 1, "channels": [{**channel, field: value}], "plants": [{"name": "p"}]}
                self.call("PUT", "/configuration", json.dumps(document).encode())
        for field in ("name", "probe", "conn_limit", "engine", "later"):
            for value in [*ODD_JSON, *({"capacity": value, "stride": value} for value in ODD_JSON)]:
                document = {"version": 1, "channels": [], "plants": [{"name": "p", field: value}]}
                self.call("PUT", "/configuration", json.dumps(document).encode())
        for field in ("header_bytes", "body_bytes", "header_deadline_ms", "idle_ms", "later"):
            for value in ODD_JSON:
                document = {"version": 1, "channels": [], "plants": [], "constraints": {field: value}}
                self.call("PUT", "/configuration", json.dumps(document).encode())
        for field in ("number", "built_on", "upsert", "remove", "blueprint", "later"):
            for value in [*ODD_JSON, *({"pools": {"p": {"cap": value, "label": {"a": value}}}} for value in ODD_JSON)]:
                document = {"number": 1, "built_on": 0, "upsert": {}, field: value}
                self.call("POST", "/changes", json.dumps(document).encode())

    def test_a_proper_one_is_taken(self) -> None:
        assert self.call("PUT", "/configuration", b'{"version":1,"channels":[],"plants":[]}') == 200
        assert self.call("POST", "/changes", b'{"number":1,"built_on":0,"upsert":{"pools":{"p":{}}}}') == 200


GOOD_SETTINGS = {
    "node": '"n1"',
    "bind_ip": '"10.0.0.1"',
    "zone": '"a"',
    "port_range": "[7300, 7315]",
    "seed_nodes": '["10.0.0.2:8262", "10.0.0.1:8262"]',
    "bind_addrs": '{front = "10.0.0.1:80", ready = "10.0.0.1:81"}',
    "data_dir": '"/data"',
    "bootstrap": "true",
    "tolerance": "{machines = 1}",
    "provider_api": '{address = "10.0.0.3:80", rate_per_s = 40}',
    "bounds": "{grace_s = 8, retry_ratio = 0.2}",
    "constraints": "{file_limit = 1000}",
}
ODD_VALUES = [
    "inf",
    "-inf",
    "nan",
    "-1",
    "0",
    "1.5",
    "9e99",
    "99999999999999999999",
    "true",
    '""',
    '"x"',
    '"10.0.0.1"',
    '"a:b"',
    '":"',
    "[]",
    "[1]",
    '["x"]',
    "[[]]",
    "{}",
    "{a=1}",
    "{machines=inf}",
    "{machines=-9}",
    "{grace_s=inf}",
    "{grace_s=nan}",
    "{retry_window_s=1e300}",
    "{file_limit=inf}",
    "{address=1}",
    "{rate_per_s=[]}",
    "{front=[]}",
    '{control="x"}',
    "1979-05-27",
    "07:32:00",
    '"\\u0000"',
]


class TestSettingsFiles(LoggedErrors):
    """A settings file gives options, or says what is wrong."""

    def read(self, raw: bytes) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "settings.toml"
            path.write_bytes(raw)
            for role in ("node", "core"):
                for read in (settings.read, lambda role, path: options.read(role, path, {})):
                    self.check(read, role, str(path))

    def check(self, read: Callable[..., Any], role: str, path: str) -> None:
        with contextlib.suppress(options.OptionsError):
            assert isinstance(read(role, path), options.Options)

    @QUICK
    @hypothesis.given(
        strategies.dictionaries(
            strategies.sampled_from(sorted(GOOD_SETTINGS)), strategies.sampled_from(ODD_VALUES), max_size=3
        ),
        strategies.sets(strategies.sampled_from(sorted(GOOD_SETTINGS)), max_size=2),
    )
    def test_odd_values(self, odd: dict[str, str], missing: set[str]) -> None:
        document = {name: value for name, value in {**GOOD_SETTINGS, **odd}.items() if name not in missing}
        self.read("".join(f"{name} = {value}\n" for name, value in document.items()).encode())

    def test_each_odd_value_in_each_place(self) -> None:
        for name in GOOD_SETTINGS:
            for value in ODD_VALUES:
                document = {**GOOD_SETTINGS, name: value}
                self.read("".join(f"{key} = {text}\n" for key, text in document.items()).encode())

    def test_a_rate_is_a_finite_number(self, tmp_path: pathlib.Path) -> None:
        path = tmp_path / "settings.toml"
        for rate in ("nan", "inf"):
            document = {**GOOD_SETTINGS, "provider_api": f'{{address = "10.0.0.3:80", rate_per_s = {rate}}}'}
            path.write_text("".join(f"{key} = {text}\n" for key, text in document.items()))
            with pytest.raises(options.OptionsError):
                settings.read("node", str(path))

    @QUICK
    @hypothesis.given(strategies.binary(max_size=60))
    def test_any_bytes(self, raw: bytes) -> None:
        self.read(raw)

    def test_deep_nesting(self) -> None:
        self.read(b"a = " + b"[" * 50_000 + b"]" * 50_000)


ATTEMPTS = ("a1", "a2", "a3", "a4")


def complete_answer(attempt: str, status: int, chunked: bool, size: int, bare: bool) -> bytes:
    """A whole answer whose body names its attempt over and over."""
    body = f"<{attempt}>".encode() * size
    head = "" if bare else f"{HEADERS['attempt']}: {attempt}\r\n{HEADERS['seal']}: s\r\n"
    if chunked:
        pieces = b"%x\r\n%s\r\n" % (len(body), body) if body else b""
        return f"HTTP/1.1 {status} S\r\n{head}Transfer-Encoding: chunked\r\n\r\n".encode() + pieces + b"0\r\n\r\n"
    return f"HTTP/1.1 {status} S\r\n{head}Content-Length: {len(body)}\r\n\r\n".encode() + body


ANSWERS = strategies.builds(
    complete_answer,
    strategies.sampled_from(ATTEMPTS),
    strategies.sampled_from([200, 500, 503, 100, 204]),
    strategies.booleans(),
    strategies.integers(0, 3),
    strategies.booleans(),
)
PIECES = ANSWERS | strategies.binary(max_size=9) | strategies.sampled_from([b"\r\n", b"<a2> more", b"HTTP/1.1 200"])


class RecordingFlow:
    """A request under way, and what was given to it."""

    bodyless = False

    def __init__(self, attempt: str) -> None:
        self.attempt = attempt
        self.low = None
        self.body = b""
        self.ends = []

    def owns(self, _status: int, low: dict[str, str], _used: int) -> bool | None:
        got = low.get(HEADERS["attempt"].lower())
        return None if got is None else got == self.attempt

    def head_received(self, _status: int, _headers: list[tuple[bytes, bytes]], low: dict[str, str]) -> None:
        assert self.low is None, "two answers to one request"
        self.low = low

    def data_received(self, data: bytes) -> None:
        self.body += data

    def answer_complete(self) -> None:
        self.ends.append("whole")

    def answer_lost(self) -> None:
        self.ends.append("lost")


class TestWorkerBytes(LoggedErrors):
    """Whatever a worker's connection brings, a request gets its own answer or none."""

    @QUICK
    @hypothesis.given(
        strategies.lists(strategies.lists(PIECES, max_size=4), min_size=1, max_size=4), strategies.integers(1, 400)
    )
    def test_answers_of_others(self, turns: list[list[bytes]], step: int) -> None:
        _, runtime = new_runtime()
        connection = worker_connections.WorkerConnection(runtime, "w1")
        transport = Transport()
        connection.makeConnection(transport)
        flows = []
        for attempt, pieces in zip(ATTEMPTS, turns, strict=False):
            if connection.must_close or connection.receiver is not None:
                break
            flows.append(RecordingFlow(attempt))
            connection.start(b"", flows[-1])
            raw = b"".join(pieces)
            for start in range(0, len(raw), step):
                if not transport.aborted:
                    connection.dataReceived(raw[start : start + step])
        connection.connectionLost()
        for flow in flows:
            assert len(flow.ends) == 1, flow.ends
            if flow.low is not None:
                assert flow.low[HEADERS["attempt"].lower()] == flow.attempt
            if "whole" in flow.ends:
                assert ({flow.attempt.encode()} if flow.body else set()) == set(re.findall(rb"<(a\d)>", flow.body))
