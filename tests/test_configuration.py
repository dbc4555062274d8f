"""Validation of configuration items, the slices that nodes get, and a node's look-up of routes."""

import random
import types
from typing import Any

from twisted.internet import task

from iriswheel.configuration import configuration
from iriswheel.control import slices
from iriswheel.dataplane import request_router
from iriswheel.node import follower
from iriswheel.replication import replicated_state, snapshot_format
from iriswheel.runtime import options, scheduler


def make_follower() -> follower.Follower:
    """Return a follower of a stand-in node, which ignores updates."""
    runtime = scheduler.Runtime(task.Clock(), now=lambda: 0, seed=1)
    node: Any = types.SimpleNamespace(runtime=runtime, on_update=lambda: None)
    return follower.Follower(node, options.Options("node"))


def longest_matching_route(routes: dict[str, configuration.Route], host: str, path: str) -> configuration.Route | None:
    """Look a route up by a search of all routes: an exact host before any host, then the longest path prefix."""
    for h in (host, ""):
        matching = [r for r in routes.values() if r.host == h and request_router.covers(r.path, path)]
        if matching:
            return max(matching, key=lambda r: (len(r.path), bool(r.zones)))
    return None


class TestConfigurationItems:
    def errors(self, routes: dict[str, Any], pools: tuple[str, str] = ("p", "q"), **more: dict[str, Any]) -> list[str]:
        document = {"routes": routes, "pools": {p: {} for p in pools}, "terms": {"default": {}}, **more}
        try:
            configuration.flatten(document)
        except configuration.InvalidConfigurationError as e:
            return e.errors
        return []

    def test_each_mistake_is_reported_with_the_key_of_its_item(self) -> None:
        route = {"path": "/a", "pool": "p"}
        assert self.errors({"r": route, "s": {**route, "host": "h"}}) == []
        assert self.errors({"r": {**route, "host": "h"}, "s": {**route, "host": "H"}}) == [
            "routes/s: same host, path and zone as routes/r"
        ]
        for split, why in (
            ([{"pool": "p", "weight": 0}, {"pool": "q", "weight": 0}], "the weights sum to 0"),
            ([{"pool": "p", "weight": -1}], "split must list pools with their weights"),
            ([{"pool": "p", "weight": True}], "split must list pools with their weights"),
            ([{"pool": "q", "weight": 1}], "pool is not the first pool of split"),
            ([{"pool": "p", "weight": 1}, {"pool": "x", "weight": 1}], "no pool 'x'"),
        ):
            assert self.errors({"r": {**route, "split": split}}) == [f"routes/r: {why}"]
        assert self.errors({"r": {**route, "repeat": "x"}}) == ["routes/r: repeat must be one of asked, may, never"]
        assert self.errors({}, marks={"other": {}}) == ["marks/other: invalid name"]
        assert self.errors({}, limits={"door": {"idle_us": 0}}) == ["limits/door: idle_us must be above 0"]

    def test_a_node_slice_has_all_items_that_its_routes_use_and_no_label(self) -> None:
        state = replicated_state.ReplicatedState().with_changes(
            [
                (
                    "routes/r",
                    {
                        "path": "/",
                        "pool": "p",
                        "split": [{"pool": "p", "weight": 1}, {"pool": "q", "weight": 1}],
                        "label": {"a": 1},
                    },
                ),
                ("pools/p", {"label": {"b": 2}}),
                ("pools/q", {}),
                ("pools/other", {}),
                ("terms/default", {}),
                ("limits/door", {"label": {}}),
                ("marks/operator", {"number": 4}),
            ]
        )
        node_slice = slices.Slices().slice(snapshot_format.decode(snapshot_format.encode(state)), "north", ())
        assert set(node_slice.items) == {"routes/r", "pools/p", "pools/q", "terms/default", "limits/door"}
        assert "label" not in str(node_slice)
        assert state.items["routes/r"]["label"] == {"a": 1}


class TestRouteLookup:
    def test_find_route_agrees_with_a_search_of_all_routes(self) -> None:
        rng = random.Random(7)

        def part() -> str:
            return "/" + "/".join(rng.choices(["a", "b", "ab"], k=rng.randrange(4))) + rng.choice(["", "/"])

        follower = make_follower()
        items: dict[str, Any] = {}
        for n in range(1, 200):
            change = {}
            for _ in range(rng.randrange(3)):
                host, path = rng.choice(["", "x", "y"]), part().replace("//", "/")
                change[f"routes/{host}-{path}"] = rng.choice(
                    [None, {"path": path, "pool": "p", "host": host, "urgency": rng.randrange(9)}]
                )
            items = {k: v for k, v in {**items, **change}.items() if v is not None}
            is_snapshot = rng.random() < 0.1 or n == 1
            follower.apply_items(n, items if is_snapshot else change, is_snapshot=is_snapshot)
            assert {k[7:]: configuration.Route.from_dict(v) for k, v in items.items()} == follower.routes
            for _ in range(20):
                host, path = rng.choice(["x", "z"]), part()
                assert longest_matching_route(follower.routes, host, path) == follower.find_route(host, path), (
                    host,
                    path,
                )

    def test_a_host_matches_in_any_case_and_with_any_port(self) -> None:
        follower = make_follower()
        follower.apply_items(1, {"routes/r": {"path": "/", "pool": "p", "host": "Desk.example"}}, is_snapshot=True)
        route = follower.find_route("desk.EXAMPLE:8080", "/x")
        assert route is not None
        assert route.pool == "p"
        assert follower.find_route("other", "/x") is None

    def test_only_changed_items_are_parsed_again(self) -> None:
        follower = make_follower()
        items = {f"routes/r{k}": {"path": f"/{k}", "pool": "p"} for k in range(50)}
        follower.apply_items(1, items, is_snapshot=True)
        routes_before = dict(follower.routes)
        follower.apply_items(
            2, {"routes/r7": {"path": "/7", "pool": "q"}, "limits/door": {"head_us": 5}}, is_snapshot=False
        )
        assert [k for k in routes_before if follower.routes[k] is not routes_before[k]] == ["r7"]
        assert follower.limits.head_us == 5
        follower.apply_items(3, items, is_snapshot=True)
        assert [k for k in routes_before if follower.routes[k] is not routes_before[k]] == ["r7"]
        assert configuration.Limits() == follower.limits
