"""One node's request path in the simulator, without a core: what tests of it have in common."""

import types

import testtools

import bench.sim as sim
import bench.site as site
import bench.town as town
import iriswheel.blueprint as blueprint
import iriswheel.budget as budget
import iriswheel.carry as carry
import iriswheel.door as door
import iriswheel.machine as machine
import iriswheel.web as web

S = machine.SECOND


class NodeFixture(testtools.TestCase):
    """A node that serves one route; subclasses bring the workers."""

    def setUp(self):
        super().setUp()
        self.world = sim.World(5)
        self.tape = town.Tape()
        proc = self.proc = sim.Proc(self.world, "n1", sim.Machine(self.world, "10.0.2.1", "a"))
        self.mach = proc.mach()
        self.fol = types.SimpleNamespace(workers=[], states={}, state=lambda name: "ready")
        self.tally = budget.Budget(slack=9)
        self.node = types.SimpleNamespace(
            mach=self.mach,
            outer=site.formats.Formats(),
            follower=self.fol,
            stopping=False,
            left=False,
            renewed_at=None,
            loads=types.SimpleNamespace(soon=machine.Signal(), touch=lambda: None),
            door=types.SimpleNamespace(tally=lambda x: self.tally),
        )
        self.carrier = carry.Carrier(self.node)
        proc.reactor.listenTCP(80, web.Server(self.mach, self.handle, formats=self.node.outer))
        self.mach.spawn(self.carrier.look(), None)
        self.near = sim.Proc(self.world, "near", sim.Machine(self.world, "10.9.0.1", "a"))
        self.workers = []
        self.route = blueprint.Route("/x/", "desk", repeat="may", resume=True, sends=2, cutoff_us=9 * S)

    async def handle(self, req):
        x = door.Exchange(req, "n1/0", self.mach.now())
        x.said, x.raw, x.repeatable = self.node.outer.ask(req), req.content.read(), self.route.repeat == "may"
        x.route, x.pool, x.pool_name = self.route, blueprint.Pool(election="node"), "desk"
        x.terms, x.until = blueprint.Terms(), x.arrived + x.said.left_us
        await self.carrier.carry(x)

    def go(self, ms):
        """Let simulated milliseconds pass."""
        self.world.run(self.world.time + ms * machine.MILLI)
