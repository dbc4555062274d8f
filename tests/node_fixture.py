"""The common fixture of tests that simulate one node's request path without a core."""

import types
from typing import Any

import pytest

from iriswheel.configuration import configuration
from iriswheel.dataplane import forwarding, retry_budget, routed_request
from iriswheel.runtime import scheduler, units
from iriswheel.transport import http_server
from simulation import event_log, host_model, platform_programs, process_model, world

SECOND = units.SECOND_US


class NodeFixture:
    """A node that serves one route to the pool "desk"; subclasses add the workers."""

    @pytest.fixture(autouse=True)
    def start_node(self) -> None:
        self.world = world.World(5)
        self.tape = event_log.EventLog()
        process = self.process = process_model.SimulatedProcess(
            self.world, "n1", host_model.Host(self.world, "10.0.2.1", "a")
        )
        self.runtime = process.runtime()
        self.follower = types.SimpleNamespace(
            workers=[],
            workers_by_id={},
            accepts_requests=lambda _worker: True,
            membership=types.SimpleNamespace(members=[]),
        )
        self.retry_budget = retry_budget.Budget(slack=9)
        self.node = types.SimpleNamespace(
            runtime=self.runtime,
            edge_protocol=platform_programs.formats.Formats(),
            follower=self.follower,
            draining=False,
            stopped=False,
            options_reloaded_at_us=None,
            options=types.SimpleNamespace(name="n1"),
            loads=types.SimpleNamespace(report_now=scheduler.Signal(), mark_changed=lambda: None),
            gateway=types.SimpleNamespace(
                retry_budgets=types.SimpleNamespace(budget=lambda _request: self.retry_budget)
            ),
        )
        self.forwarder = forwarding.Forwarder(self.node)
        process.reactor.listenTCP(
            80, http_server.Server(self.runtime, self.handle, error_format=self.node.edge_protocol)
        )
        self.runtime.spawn(self.forwarder.watch(), None)
        self.client_process = process_model.SimulatedProcess(
            self.world, "near", host_model.Host(self.world, "10.9.0.1", "a")
        )
        self.workers: list[Any] = []
        self.route = configuration.Route("/x/", "desk", repeat="may", resume=True, sends=2, cutoff_us=9 * SECOND)
        self.pool = configuration.Pool(election="node")

    async def handle(self, request: http_server.Request) -> None:
        """Forward a client's request by the fixture's route, as the gateway would."""
        routed = routed_request.RoutedRequest(request, "n1/0", self.runtime.now())
        routed.parsed, routed.raw, routed.idempotent = (
            self.node.edge_protocol.parse_request(request),
            request.content.read(),
            self.route.repeat == "may",
        )
        routed.route, routed.pool, routed.pool_name = self.route, self.pool, "desk"
        assert routed.parsed.left_us is not None
        routed.terms, routed.deadline_us = configuration.Terms(), routed.arrived_at_us + routed.parsed.left_us
        await self.forwarder.forward(routed)

    def go(self, ms: int) -> None:
        """Run the simulation for a number of milliseconds."""
        self.world.run(self.world.time + ms * units.MILLISECOND_US)
