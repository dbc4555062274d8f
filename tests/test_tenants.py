"""Tenants and their keys: validation of the configuration, and authentication of requests at a node."""

from __future__ import annotations

import hashlib
import types
from typing import Any

import pytest
from twisted.web import http_headers

from iriswheel import errors
from iriswheel.configuration import configuration
from iriswheel.dataplane import authentication, edge_protocol
from iriswheel.node import follower
from iriswheel.runtime import options, scheduler, units

SECOND = units.SECOND_US
KEY, OTHER_KEY = "banfqasnmgkcuyj8pjbv", "k9m68k7b2ex5wa5xwyhk"


def digest(key: str) -> str:
    return hashlib.sha256(key.encode()).hexdigest()


class TestConfiguration:
    def test_a_key_of_two_tenants_is_an_error_that_names_both(self) -> None:
        items = {"tenants/a": {"keys": [digest(KEY)]}, "tenants/b": {"keys": [digest(KEY)]}}
        assert configuration.find_errors(items) == ["tenants/b: shares a key with tenants/a"]

    def test_a_key_that_is_no_digest_is_an_error(self) -> None:
        assert configuration.find_errors({"tenants/a": {"keys": [KEY]}}) == [
            "tenants/a: keys must be SHA-256 digests in hexadecimal digits"
        ]

    def test_all_errors_of_a_tenant_are_reported(self) -> None:
        item = {"rate_unit": "words", "rate": -1.0, "told_as": "a\r\nb", "urgency": 11}
        assert configuration.find_errors({"tenants/a": item}) == [
            "tenants/a: urgency is above 10",
            "tenants/a: told_as is not a valid header value",
            "tenants/a: rate_unit must be one of requests, tokens",
            "tenants/a: rate is out of range",
        ]

    def test_the_slice_of_a_node_has_every_tenant_without_labels(self) -> None:
        items = {"tenants/a": {"keys": [digest(KEY)], "label": {"sent": {"api_keys": [KEY]}}}}
        assert configuration.slice_for_node(items, "north") == {"tenants/a": {"keys": [digest(KEY)]}}

    def test_the_cost_of_a_request_is_its_tokens_or_one_by_rate_unit(self) -> None:
        assert configuration.Tenant(rate_unit="tokens", unstated_tokens=7).cost(1540) == 1540
        assert configuration.Tenant(rate_unit="tokens", unstated_tokens=7).cost(0) == 7
        assert configuration.Tenant(rate_unit="requests", unstated_tokens=7).cost(1540) == 1


class TestAuthentication:
    @pytest.fixture(autouse=True)
    def set_up(self) -> None:
        self.now = 100 * SECOND
        node: Any = types.SimpleNamespace(
            runtime=scheduler.Runtime(None, now=lambda: self.now), on_update=lambda: None, options=None
        )
        self.follower = node.follower = follower.Follower(
            node, options.Options("node", serve_on=True, revocation_us=5 * SECOND)
        )
        self.authenticator = authentication.Authenticator(node)
        items: dict[str, Any] = {"limits/door": {"require_key": True}, "tenants/desk": {"keys": [digest(KEY)]}}
        self.follower.apply_items(3, items, is_snapshot=True)
        self.lease_until(self.now + SECOND)

    def lease_until(self, until: int) -> None:
        """Let the node's lease end at a time."""
        self.follower.session.lease.expires_at_us = until

    def authenticate(self, credentials: str | None, public: bool = False, forged: str = "") -> Any:  # noqa: ANN401 - a stand-in for a request
        received = http_headers.Headers({edge_protocol.TENANT_HEADER: [forged]} if forged else {})
        if credentials is not None:
            received.setRawHeaders(edge_protocol.AUTHORIZATION_HEADER, [credentials])
        request = types.SimpleNamespace(
            parsed=edge_protocol.ParsedRequest(key_digest=edge_protocol.key_digest(received)),
            route=configuration.Route("/", "p", public=public),
            http_request=types.SimpleNamespace(requestHeaders=received),
            tenant=None,
            tenant_name="",
        )
        self.authenticator.authenticate(request)  # type: ignore[arg-type] # it stands for one
        return request

    def refusal(self, credentials: str | None) -> tuple[str, int]:
        with pytest.raises(errors.ServiceError) as caught:
            self.authenticate(credentials)
        return caught.value.code, caught.value.status

    def test_the_tenant_header_replaces_the_key_and_a_tenant_header_forged_by_the_client(self) -> None:
        request = self.authenticate(f"Bearer {KEY}", forged="desk-9")
        assert request.tenant_name == "desk"
        assert list(request.http_request.requestHeaders.getAllRawHeaders()) == [(b"X-Tenant", [b"desk"])]

    def test_unknown_missing_and_malformed_keys_are_refused(self) -> None:
        for credentials in (None, "", "Bearer", f"Basic {KEY}", f"Bearer {OTHER_KEY}", KEY):
            assert self.refusal(credentials) == ("unauthenticated", 401)

    def test_a_public_route_needs_no_key_and_drops_a_forged_tenant_header(self) -> None:
        request = self.authenticate(None, public=True, forged="desk-9")
        assert request.tenant is None
        assert list(request.http_request.requestHeaders.getAllRawHeaders()) == []

    def test_without_required_keys_the_request_headers_stay(self) -> None:
        self.follower.apply_items(4, {"limits/door": {}}, is_snapshot=False)
        request = self.authenticate("Bearer any", forged="mine")
        assert request.http_request.requestHeaders.hasHeader("Authorization")
        assert request.http_request.requestHeaders.hasHeader("X-Tenant")

    def test_a_revoked_key_is_refused(self) -> None:
        self.follower.apply_items(4, {"tenants/desk": {"keys": []}}, is_snapshot=False)
        assert self.refusal(f"Bearer {KEY}") == ("unauthenticated", 401)

    def test_a_key_moved_to_another_tenant_authenticates_as_that_tenant(self) -> None:
        moved: dict[str, Any] = {"tenants/desk": {"keys": []}, "tenants/annex": {"keys": [digest(KEY)]}}
        self.follower.apply_items(4, moved, is_snapshot=False)
        assert self.authenticate(f"Bearer {KEY}").tenant_name == "annex"

    def test_a_node_without_a_lease_accepts_known_keys_until_the_allowed_revocation_time_is_over(self) -> None:
        self.now += 5 * SECOND  # the lease expired four seconds ago
        assert self.authenticate(f"Bearer {KEY}").tenant_name == "desk"
        self.now += 1 * SECOND
        assert self.refusal(f"Bearer {KEY}") == ("not_ready", 503)
        self.lease_until(self.now + 1)
        assert self.authenticate(f"Bearer {KEY}").tenant_name == "desk"

    def test_a_new_process_accepts_no_key_before_its_first_lease(self) -> None:
        self.now = 1 * SECOND
        self.lease_until(0)
        assert self.refusal(f"Bearer {KEY}") == ("not_ready", 503)

    def test_a_node_that_may_have_missed_a_new_key_answers_not_ready(self) -> None:
        self.now += 7 * SECOND
        assert self.refusal(f"Bearer {OTHER_KEY}") == ("not_ready", 503)

    def test_without_an_allowed_revocation_time_a_node_that_serves_on_accepts_known_keys(self) -> None:
        self.follower.options.revocation_us = 0
        self.now += 60 * SECOND
        assert self.authenticate(f"Bearer {KEY}").tenant_name == "desk"
