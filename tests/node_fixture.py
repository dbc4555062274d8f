"""One node's request path in the simulator, without a core: what tests of it have in common."""

import types

import pytest

import bench.platform_model as platform_model
import bench.sim as sim
import bench.simulated_cluster as simulated_cluster
import iriswheel.budget as budget
import iriswheel.configuration as configuration
import iriswheel.forwarding as forwarding
import iriswheel.gateway as gateway
import iriswheel.machine as machine
import iriswheel.web as web

S = machine.SECOND


class NodeFixture:
    """A node that serves one route; subclasses bring the workers."""

    @pytest.fixture(autouse=True)
    def start_node(self) -> None:
        self.world = sim.World(5)
        self.tape = simulated_cluster.Tape()
        proc = self.proc = sim.Proc(self.world, "n1", sim.Machine(self.world, "10.0.2.1", "a"))
        self.mach = proc.mach()
        self.fol = types.SimpleNamespace(workers=[], states={}, state=lambda name: "ready")
        self.tally = budget.Budget(slack=9)
        self.node = types.SimpleNamespace(
            mach=self.mach,
            outer=platform_model.formats.Formats(),
            follower=self.fol,
            stopping=False,
            left=False,
            renewed_at=None,
            loads=types.SimpleNamespace(soon=machine.Signal(), touch=lambda: None),
            door=types.SimpleNamespace(tally=lambda x: self.tally),
        )
        self.forwarder = forwarding.Forwarder(self.node)
        proc.reactor.listenTCP(80, web.Server(self.mach, self.handle, formats=self.node.outer))
        self.mach.spawn(self.forwarder.look(), None)
        self.near = sim.Proc(self.world, "near", sim.Machine(self.world, "10.9.0.1", "a"))
        self.workers = []
        self.route = configuration.Route("/x/", "desk", repeat="may", resume=True, sends=2, cutoff_us=9 * S)

    async def handle(self, req):
        x = gateway.Exchange(req, "n1/0", self.mach.now())
        x.said, x.raw, x.repeatable = self.node.outer.ask(req), req.content.read(), self.route.repeat == "may"
        x.route, x.pool, x.pool_name = self.route, configuration.Pool(election="node"), "desk"
        x.terms, x.until = configuration.Terms(), x.arrived + x.said.left_us
        await self.forwarder.carry(x)

    def go(self, ms):
        """Let simulated milliseconds pass."""
        self.world.run(self.world.time + ms * machine.MILLI)
