"""Tenants in a simulated fleet: every node enforces keys and rate limits as of a confirmed configuration change."""

import hashlib
import json
from typing import Any

import pytest

from benchmarks import stand_in_worker
from iriswheel.transport import http_server
from simulation import addresses
from tests import outside

KEY = "a-key-that-nobody-may-see"
TENANT = {"keys": [hashlib.sha256(KEY.encode()).hexdigest()], "rate_unit": "requests", "rate": 1, "burst": 2}
NODES = ("10.0.2.1", "10.0.2.2")


class TestTenantsInAFleet:
    @pytest.fixture(autouse=True)
    def start_fleet(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.outside = outside.QuietFleet()
        self.cluster = self.outside.cluster
        self.worker_request_headers: list[dict[str, str]] = []  # headers of the requests that reached a worker
        handle: Any = stand_in_worker.Worker.handle

        async def record_headers(worker: stand_in_worker.Worker, request: http_server.Request) -> None:
            if request.method == b"POST":
                raw = request.requestHeaders.getAllRawHeaders()
                self.worker_request_headers.append({name.decode().lower(): values[0].decode() for name, values in raw})
            await handle(worker, request)

        monkeypatch.setattr(stand_in_worker.Worker, "handle", record_headers)
        self.cluster.begin()
        self.cluster.advance(2)
        self.configuration_number = 0
        self.confirm_change({"limits": {"door": {"require_key": True}}, "tenants": {"desk": TENANT}})

    def confirm_change(self, upsert: dict[str, Any]) -> None:
        """Submit a configuration change, which succeeds once all nodes apply it."""
        body = json.dumps(
            {"number": self.configuration_number + 1, "built_on": self.configuration_number, "upsert": upsert}
        )
        self.configuration_number += 1
        text = f"POST /changes HTTP/1.1\r\nHost: x\r\nContent-Length: {len(body)}\r\n\r\n{body}"
        assert b" 200 " in self.outside.query("10.0.1.1", addresses.HTTP_PORT, text).partition(b"\r\n")[0]

    def send(self, node: str, number: int, key: str | None = KEY) -> str:
        """Send one request to a node, and return the HTTP response."""
        credentials = "" if key is None else f"Authorization: Bearer {key}\r\n"
        headers = outside.REQUEST_ID.format(number) + credentials + "X-Tenant: forged\r\nContent-Length: 5\r\n"
        text = f"POST /v1/complete HTTP/1.1\r\nHost: x\r\n{headers}\r\nhello"
        return self.outside.query(node, addresses.HTTP_PORT, text).decode("latin-1")

    def test_every_node_requires_a_key_and_sends_it_to_no_worker(self) -> None:
        for number, node in enumerate(NODES):
            refused = self.send(node, 10 * number, key=None)
            assert refused.startswith("HTTP/1.1 401 ")
            assert "WWW-Authenticate: Bearer\r\n" in refused
            assert self.send(node, 10 * number + 1, key="another").startswith("HTTP/1.1 401 ")
            assert self.send(node, 10 * number + 2).startswith("HTTP/1.1 200 ")
            state = self.outside.query(node, addresses.HTTP_PORT, "GET /state HTTP/1.1\r\nHost: x\r\n\r\n")
            assert KEY.encode() not in state
        assert [headers["x-tenant"] for headers in self.worker_request_headers] == ["desk", "desk"]
        assert not any("authorization" in headers for headers in self.worker_request_headers)

    def test_a_removed_key_is_refused_by_all_nodes_once_the_change_is_confirmed(self) -> None:
        assert self.send(NODES[0], 1).startswith("HTTP/1.1 200 ")
        self.confirm_change({"tenants": {"desk": {**TENANT, "keys": []}}})
        for number, node in enumerate(NODES):
            assert self.send(node, 2 + number).startswith("HTTP/1.1 401 ")

    def test_a_rate_limit_applies_to_all_nodes_together(self) -> None:
        self.confirm_change({"tenants": {"desk": {**TENANT, "rate": 0.1, "burst": 0.5}}})
        answers = [self.send(NODES[number % 2], number) for number in range(6)]  # one every three seconds
        statuses = [answer.split()[1] for answer in answers]
        assert statuses.count("200") <= 3
        assert set(statuses) == {"200", "429"}
        assert all("Retry-After: " in answer for answer in answers if " 429 " in answer.partition("\r\n")[0])
