"""Whatever documents operators send, they are accepted or refused with a client error, and no task fails."""

import json
from typing import Any

import configuration_api
import hypothesis
import msgspec
from hypothesis import strategies
from twisted.internet import testing

from iriswheel.configuration import configuration
from iriswheel.control import core, counters, operator_api, submitted_changes
from iriswheel.transport import http_server, message
from tests import fuzzing


class InMemoryCore(core.Core):
    """A core machine that keeps its items in memory, and encodes a change as the replication chain would."""

    def __init__(self) -> None:
        self.items: dict[str, Any] = {}
        stand_in: Any = self
        missing: Any = None  # parts that no document reaches
        self.operator_api = operator_api.OperatorApi(
            self, missing, stand_in, missing, replicas=missing, counters=counters.Counters()
        )

    async def read(self) -> message.ReadResponse:
        return message.ReadResponse(True, 1, self.items)

    async def change(self, change: submitted_changes.SubmittedChange) -> int:
        new = submitted_changes.items_after(change, self.items)
        msgspec.msgpack.decode(msgspec.msgpack.encode([change.identifier, configuration.difference(self.items, new)]))
        configuration.slice_for_node(new, "a")
        json.dumps(configuration_api.show(new))
        return 1

    async def apply_change(self, change: submitted_changes.SubmittedChange) -> int:
        return await self.change(change)


UNUSUAL_JSON: list[Any] = [
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
DOCUMENTS = fuzzing.nested(fuzzing.SCALARS | TEXTS, NAMES | TEXTS | strategies.text(max_size=4))
CHANNEL = strategies.fixed_dictionaries(
    {
        "name": TEXTS | fuzzing.SCALARS,
        "path_prefix": strategies.just("/a/") | fuzzing.SCALARS,
        "mode": TEXTS | fuzzing.SCALARS,
        "cutoff_ms": strategies.just(5000) | fuzzing.SCALARS,
    },
    optional={
        "plant": strategies.just("p") | fuzzing.SCALARS,
        "partition": DOCUMENTS,
        "retries": strategies.just(1) | fuzzing.SCALARS,
        "authority": fuzzing.SCALARS,
        "urgency": fuzzing.SCALARS,
        "later": DOCUMENTS,
    },
)
PLANT = strategies.fixed_dictionaries({"name": strategies.just("p") | fuzzing.SCALARS}, optional={"engine": DOCUMENTS})
COMPLETE_CONFIGURATION = strategies.fixed_dictionaries(
    {
        "version": strategies.integers(1, 9) | fuzzing.SCALARS,
        "channels": strategies.lists(CHANNEL, max_size=2) | DOCUMENTS,
        "plants": strategies.lists(PLANT, max_size=2) | DOCUMENTS,
    },
    optional={"constraints": DOCUMENTS, "upsert": DOCUMENTS, "remove": DOCUMENTS, "else": DOCUMENTS},
)
NUMBERED_CHANGE = strategies.fixed_dictionaries(
    {"number": strategies.integers(1, 9) | fuzzing.SCALARS, "built_on": strategies.just(0) | fuzzing.SCALARS},
    optional={"upsert": DOCUMENTS, "remove": DOCUMENTS, "blueprint": DOCUMENTS},
)


class TestDocuments(fuzzing.LoggedErrors):
    """Operators' documents are answered with 2xx or 4xx, and nothing is logged as an error."""

    def call(self, method: str, path: str, body: bytes) -> int:
        _, runtime = fuzzing.new_runtime()
        server = http_server.Server(runtime, configuration_api.ConfigurationApi(InMemoryCore()).handle)
        channel: Any = server.buildProtocol(None)
        transport = fuzzing.Transport()
        channel.makeConnection(transport)
        head = f"{method} {path} HTTP/1.1\r\nHost: a\r\nIf-Match: 0\r\nContent-Length: {len(body)}\r\n\r\n"
        channel.dataReceived(head.encode() + body)
        status = int(transport.value().split(b" ")[1])
        channel.connectionLost(testing.Failure(Exception()) if hasattr(testing, "Failure") else None)
        assert 200 <= status < 300 or 400 <= status < 500, (status, body, self.task_errors)
        assert self.task_errors == []
        return status

    @fuzzing.QUICK
    @hypothesis.given(COMPLETE_CONFIGURATION | DOCUMENTS, strategies.sampled_from(["PUT", "PATCH"]))
    def test_any_configuration_is_accepted_or_refused(self, document: object, method: str) -> None:
        self.call(method, "/configuration", json.dumps(document).encode())

    @fuzzing.QUICK
    @hypothesis.given(NUMBERED_CHANGE | DOCUMENTS)
    def test_any_numbered_change_is_accepted_or_refused(self, document: object) -> None:
        self.call("POST", "/changes", json.dumps(document).encode())

    @fuzzing.QUICK
    @hypothesis.given(strategies.binary(max_size=30))
    def test_a_body_of_any_bytes_is_accepted_or_refused(self, raw: bytes) -> None:
        for method, path in (("PUT", "/configuration"), ("PATCH", "/configuration"), ("POST", "/changes")):
            self.call(method, path, raw)

    def test_deeply_nested_and_very_large_values_are_accepted_or_refused(self) -> None:
        for depth in (50, 300, *range(880, 1000, 3), 100_000):
            for text in ("[" * depth + "]" * depth, '{"a":' * depth + "1" + "}" * depth):
                document = f'{{"version":1,"channels":[],"plants":[],"else":{text}}}'
                self.call("PUT", "/configuration", document.encode())
                change = f'{{"number":1,"built_on":0,"upsert":{{"pools":{{"p":{{"label":{{"a":{text}}}}}}}}}}}'
                self.call("POST", "/changes", change.encode())
        for text in ("NaN", "1e999", "9" * 30, "9" * 5000, '"\\ud800"'):
            document = f'{{"version":1,"channels":[],"plants":[],"else":{text}}}'
            assert self.call("PUT", "/configuration", document.encode()) == 400, text

    def test_each_unusual_value_of_each_field_is_accepted_or_refused(self) -> None:
        channel = {"name": "r", "path_prefix": "/a/", "mode": "streaming", "cutoff_ms": 5, "plant": "p"}
        fields = [*channel, "urgency", "retries", "authority", "partition", "later"]
        for field in fields:
            for value in UNUSUAL_JSON:
                document = {"version": 1, "channels": [{**channel, field: value}], "plants": [{"name": "p"}]}
                self.call("PUT", "/configuration", json.dumps(document).encode())
        for field in ("name", "probe", "conn_limit", "engine", "later"):
            for value in [*UNUSUAL_JSON, *({"capacity": value, "stride": value} for value in UNUSUAL_JSON)]:
                document = {"version": 1, "channels": [], "plants": [{"name": "p", field: value}]}
                self.call("PUT", "/configuration", json.dumps(document).encode())
        for field in ("header_bytes", "body_bytes", "header_deadline_ms", "idle_ms", "later"):
            for value in UNUSUAL_JSON:
                document = {"version": 1, "channels": [], "plants": [], "constraints": {field: value}}
                self.call("PUT", "/configuration", json.dumps(document).encode())
        for field in ("number", "built_on", "upsert", "remove", "blueprint", "later"):
            for value in [
                *UNUSUAL_JSON,
                *({"pools": {"p": {"cap": value, "label": {"a": value}}}} for value in UNUSUAL_JSON),
            ]:
                document = {"number": 1, "built_on": 0, "upsert": {}, field: value}
                self.call("POST", "/changes", json.dumps(document).encode())

    def test_a_valid_configuration_and_a_valid_change_are_accepted(self) -> None:
        assert self.call("PUT", "/configuration", b'{"version":1,"channels":[],"plants":[]}') == 200
        assert self.call("POST", "/changes", b'{"number":1,"built_on":0,"upsert":{"pools":{"p":{}}}}') == 200
