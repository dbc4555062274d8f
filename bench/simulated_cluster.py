"""A simulated town: a whole fleet of either deployment's shape, its users and its faults."""

from __future__ import annotations

import collections.abc
import json
import os
import typing

import loguru
import twisted.internet.defer as defer
import twisted.internet.endpoints as endpoints
import twisted.internet.protocol as protocol

import bench.fleet as fleet
import bench.sim as sim
import bench.stand_ins as stand_ins
import iriswheel.command as command
import iriswheel.core as core
import iriswheel.dispatch as dispatch
import iriswheel.edge_protocol as edge_protocol
import iriswheel.linearizability as linearizability
import iriswheel.load as load
import iriswheel.machine as machine
import iriswheel.node as node
import iriswheel.options as options
import iriswheel.web as web
import iriswheel.wire as wire

if typing.TYPE_CHECKING:
    import twisted.web.client as client

    import iriswheel.machine as machine_module


S = machine.SECOND
PEER, HTTP = 7001, 8001

log = loguru.logger.bind(part="town")


RUDE = ("leaves", "reads slowly", "bad head", "no length", "bad field", "too large")


class Rude(protocol.Protocol):
    """Keeps what comes back to a rude client.

    >>> Rude().got
    []
    """

    def __init__(self) -> None:
        self.got: list[typing.Any] = []

    def dataReceived(self, data: typing.Any) -> None:
        self.got.append(data)


class Tape:
    """An event log in memory, in the form of load.Events.

    >>> t = Tape(); t.put(5, "sent", exchange="x1"); t.rows
    [{'at': 5, 'kind': 'sent', 'exchange': 'x1'}]
    """

    def __init__(self) -> None:
        self.rows: list[dict[str, typing.Any]] = []

    def put(self, at: int, kind: str, **more: typing.Any) -> None:
        """Keep one event.

        >>> Tape().put(1, "sent")
        """
        self.rows.append({"at": at, "kind": kind, **more})

    def text(self) -> str:
        """The log as it would stand in a file.

        >>> Tape().text()
        ''
        """
        return "".join(json.dumps(r) + "\n" for r in self.rows)


class SimulatedCluster:
    """One simulated run.

    Example: `t = SimulatedCluster(seed=7, shape="magnolia"); t.begin(); t.go(30); t.end()`
    """

    def __init__(
        self,
        seed: int,
        shape: str = "magnolia",
        long_rate: float = 1.5,
        short_rate: float = 8.0,
        talks: int = 6,
        seconds: int = 600,
        blueprint: dict[str, dict[str, dict[str, typing.Any]]] | None = None,
        halls: list[str] | None = None,
        cores: int = 3,
        **more: int,
    ) -> None:
        self.seed = seed
        self.world = sim.World(seed)
        self.rng = self.world.rng
        self.tape = Tape()
        self.halls, self.worker_count, self.pool, name = fleet.SHAPES[shape]
        self.halls = halls or self.halls
        with open(os.path.join(fleet.EXAMPLES, name)) as f:
            self.blueprint = blueprint or json.load(f)
        self.rates = (long_rate, short_rate, talks)
        self.seconds = seconds
        self.core_count, self.more = cores, more  # and options that all processes get
        self.cores, self.nodes, self.workers = {}, {}, {}
        self.options: dict[str, tuple[str, str]] = {}
        self.seeds: list[str] = []
        self.numbered_calls = 0  # calls with a numbered change so far
        self.probe = 0  # which probe route was confirmed last
        self.probing = True
        self.probes = 0
        self.versions: dict[str, int] = {}  # process -> version of our messages that it speaks, where not this one
        self.paths: list[str] = []  # more paths to try at every node

    # ---- building -----------------------------------------------------------------

    def machine(self, host: str, zone: str) -> sim.Machine:
        """The machine of a host, made when first named.

        Example: `town.machine("10.0.1.1", "a")`
        """
        return self.world.machines.get(host) or sim.Machine(self.world, host, zone)

    def begin(self) -> None:
        """Start everything and let the configuration be confirmed.

        Example: `town.begin()`
        """
        zones = sorted(set(self.halls))
        self.seeds = [f"10.0.1.{k}:{PEER}" for k in range(1, min(3, self.core_count) + 1)]
        self.platform_proc = sim.Proc(self.world, "platform", self.machine("10.0.4.1", zones[0]))
        self.platform = stand_ins.Platform(self.platform_proc.mach(), self.tape)
        self.listen(self.platform_proc, 9000, web.Server(self.platform.mach, self.platform.handle))
        for k in range(1, self.worker_count + 1):
            self.start_worker(f"w{k}", f"10.0.3.{k}")
        for k in range(1, self.core_count + 1):  # the seeds name three, however many there are
            self.start_core(f"c{k}", f"10.0.1.{k}", zones[(k - 1) % len(zones)])
        for k, hall in enumerate(self.halls, 1):
            self.start_node(f"n{k}", f"10.0.2.{k}", hall)
        self.platform.mach.spawn(self.platform.ask_nodes(), log)
        self.callers = sim.Proc(self.world, "callers", self.machine("10.9.0.1", "far"))
        self.office = sim.Proc(self.world, "office", self.machine("10.9.0.2", "far"))
        self.office_mach = self.office.mach()
        self.boss = Operator(self, self.office_mach, "boss")
        first = self.office_mach.spawn(self.boss.change(self.with_probe(0)), log)
        self.until(lambda: first.called, 30)
        self.until(lambda: all(self.platform.told.get(n) for n in self.nodes), 30)
        self.tape.put(
            self.world.time,
            "begun",
            cap=self.blueprint["pools"][self.pool].get("cap", 10),
            lifetime_us=60 * S,
            blueprint=self.blueprint,
            zones={f"{host}:{HTTP}": zone for n, (host, zone) in self.options.items() if n in self.nodes},
        )
        mach = self.callers.mach()
        self.load = load.Load(mach, self.platform.places, "/v1/complete", self.seconds * S, *self.rates, self.tape)
        self.load_done = mach.spawn(self.load.run(), log)
        mach.spawn(self.probe_all(mach), log)

    def listen(self, proc: sim.Proc, port: int, factory: web.Server | wire.Listener) -> None:
        """Let a process listen.

        Example: `town.listen(proc, 9000, server)`
        """
        proc.reactor.listenTCP(port, factory)

    def place(
        self, role: str, name: str, host: str, zone: str, **more: str
    ) -> tuple[sim.Proc, machine_module.Machine, options.Options]:
        """A new process on a machine with power, its Machine object and its options.

        Example: `proc, mach, o = town.place("node", "n9", "10.0.2.9", "a", platform="10.0.4.1:9000")`
        """
        m = self.machine(host, zone)
        m.power = True
        proc = sim.Proc(self.world, name, m)
        self.options[name] = (host, zone)
        o = options.Options(
            role,
            name=name,
            host=host,
            port=PEER,
            http_port=HTTP,
            zone=zone,
            seeds=list(self.seeds),
            **{**self.more, **more},
        )
        mach = proc.mach()
        mach.version = self.versions.get(name, mach.version)
        return proc, mach, o

    def start_core(self, name: str, host: str, zone: str) -> None:
        """Start a core machine's process, on the disk that is there.

        Example: `town.start_core("c4", "10.0.1.4", "a")`
        """
        proc, mach, o = self.place("core", name, host, zone, data="sim")
        c = self.cores[name] = core.Core(mach, sim.Disk(proc), o)
        c.proc = proc
        self.listen(proc, PEER, wire.Listener(mach, c.serve, log))
        self.listen(proc, HTTP, web.Server(mach, c.handle))
        c.start()

    def start_node(self, name: str, host: str, zone: str) -> None:
        """Start a node's process.

        Example: `town.start_node("n9", "10.0.2.9", "a")`
        """
        proc, mach, o = self.place("node", name, host, zone, platform="10.0.4.1:9000")
        n = self.nodes[name] = node.Node(mach, o)
        n.proc = proc
        self.listen(proc, PEER, wire.Listener(mach, n.serve, log))
        self.listen(proc, HTTP, web.Server(mach, n.door.handle))
        n.start(PEER, HTTP)
        self.platform.nodes[name] = (host, HTTP)

    def start_worker(self, name: str, host: str) -> None:
        """Start a worker and list it.

        Example: `town.start_worker("w9", "10.0.3.9")`
        """
        proc = sim.Proc(self.world, name, self.machine(host, sorted(set(self.halls))[0]))
        mach = proc.mach()
        w = self.workers[name] = stand_ins.Worker(mach, name, self.tape)
        w.proc, w.host = proc, host
        self.listen(proc, 9001, web.Server(mach, w.handle))
        self.platform.put(name, host=host, port=9001, pool=self.pool, state="ready")

    # ---- time ---------------------------------------------------------------------------

    def go(self, seconds: float) -> None:
        """Let virtual time pass.

        Example: `town.go(5)`
        """
        self.world.run(self.world.time + int(seconds * S))

    def until(self, cond: collections.abc.Callable[..., object], seconds: float) -> bool:
        """Let time pass until a condition holds; False where it did not in time.

        Example: `town.until(lambda: town.tail() is not None, 10)`
        """
        end = self.world.time + seconds * S
        while not cond():
            if self.world.time >= end:
                return False
            self.go(0.05)
        return True

    def end(self) -> None:
        """The day's end: what is open ends, and the configuration is read back.

        Example: `town.end()`
        """
        self.until(lambda: self.load_done.called, self.seconds + 120)
        self.go(2)  # the probes go on: a fresh exchange at every ready node after the last fault
        self.probing = False
        self.go(9)
        done = self.office_mach.spawn(self.boss.read(), log)
        self.until(lambda: done.called, 40)
        self.tape.put(self.world.time, "ended")

    # ---- users ----------------------------------------------------------------------------

    def with_probe(
        self, k: int, more: dict[str, dict[str, str]] | None = None
    ) -> dict[str, dict[str, dict[str, typing.Any]]]:
        """The configuration with probe route k, and perhaps more routes.

        Example: `town.with_probe(3)`
        """
        doc = json.loads(json.dumps(self.blueprint))
        doc["routes"]["probe"] = {"path": f"/p/{k}", "pool": self.pool}
        doc["routes"].update(more or {})
        return doc

    async def probe_all(self, mach: machine_module.Machine) -> None:
        """Every second, try the newest probe route, the one before, and `paths` at every ready node.

        Example: `mach.spawn(town.probe_all(mach))`
        """
        agent = dispatch.Dispatcher(mach).fresh
        while self.probing:
            await mach.sleep(S)
            for name in [n for n in sorted(self.nodes) if self.platform.told.get(n)]:
                for path in [f"/p/{k}" for k in (self.probe, self.probe - 1) if k >= 0] + self.paths:
                    mach.spawn(self.probe_one(mach, agent, name, path), log)

    async def rude(self, host: typing.Any, how: typing.Any) -> None:
        """A client that misbehaves: leaves, reads slowly, or sends bad HTTP.

        Example: `await town.rude("10.0.2.1", "bad head")`
        """
        mach = self.load.mach
        point = endpoints.TCP4ClientEndpoint(mach.reactor, host, HTTP, timeout=2)
        try:
            proto = await point.connect(protocol.Factory.forProtocol(Rude))
        except Exception:
            return
        head = "POST /v1/complete HTTP/1.1\r\nHost: x\r\nX-May-Repeat: yes\r\n"
        match how:
            case "leaves":
                proto.transport.write((head + "Content-Length: 5\r\n\r\nhello").encode())
                await mach.sleep(40 * machine.MILLI)
                proto.transport.abortConnection()
                return
            case "reads slowly":
                proto.transport.write((head + "Content-Length: 5\r\n\r\nhello").encode())
                proto.transport.pauseProducing()
                await mach.sleep(3 * S)
                proto.transport.resumeProducing()
            case "bad head":
                proto.transport.write(b"\x00\x01 nonsense\r\n\r\n")
            case "no length":
                proto.transport.write((head + "\r\n").encode())
            case "bad field":
                proto.transport.write((head + "X-Send-Number: minus\r\nContent-Length: 0\r\n\r\n").encode())
            case "too large":
                proto.transport.write((head + "Content-Length: 99999999\r\n\r\n").encode())
        await mach.sleep(2 * S)
        text = b"".join(proto.got).decode("latin-1")
        self.tape.put(mach.now(), "rude", how=how, host=f"{host}:{HTTP}", status=text[9:12], text=text[-300:])
        proto.transport.abortConnection()

    async def probe_one(self, mach: machine_module.Machine, agent: client.Agent, name: str, path: str) -> None:
        """Try one path at one node.

        Example: `await town.probe_one(mach, agent, "n1", "/p/3")`
        """
        began = mach.now()
        self.probes += 1
        ident = f"p{self.probes}"
        host, port = self.platform.nodes[name]
        heads = load.http_headers.Headers({edge_protocol.REPEAT: ["yes"], edge_protocol.EXCHANGE: [ident]})
        try:
            res = await mach.within(
                agent.request(b"POST", f"http://{host}:{port}{path}".encode(), heads, dispatch.Body(b"probe")), 8 * S
            )
        except Exception:
            self.tape.put(
                began,
                "probe",
                node=f"{host}:{port}",
                zone=self.options[name][1],
                path=path,
                exchange=ident,
                status=0,
                worker=None,
                done=mach.now(),
                code="lost",
            )
            return
        row = dict(
            node=f"{host}:{port}",
            zone=self.options[name][1],
            path=path,
            exchange=ident,
            status=res.code,
            worker=(res.headers.getRawHeaders(edge_protocol.TARGET) or [None])[0],
            done=mach.now(),
        )
        res.deliverBody(
            dispatch.Collect(
                lambda raw: self.tape.put(
                    began, "probe", code=json.loads(raw)["code"] if raw and res.code != 200 else "", **row
                )
            )
        )

    # ---- what the faults aim at -------------------------------------------------------------

    def tail(self) -> core.Core | None:
        """The core that is the leased tail, or None.

        Example: `town.tail().options.name`
        """
        return next((c for c in self.cores.values() if c.proc.alive and c.membership.leased()), None)

    def head(self) -> core.Core:
        """The core that is the head of the newest view, or None.

        Example: `town.head()`
        """
        live = [c for c in self.cores.values() if c.proc.alive and c.membership.view is not None]
        v = max((c.membership.view for c in live), key=lambda v: v.number, default=None)
        return next((c for c in live if v is not None and c.membership.me.id == v.chain[0].id), None)

    def warden(self) -> node.Node | None:
        """The node that is the seated warden, or None.

        Example: `town.warden().me.name`
        """
        for n in self.nodes.values():
            w = n.wardens.get(self.pool)
            if n.proc.alive and w is not None and w.seated():
                return n
        return None

    def fault(self, what: str, target: str, large: bool = False, role: None = None) -> None:
        """Note a fault in the log.

        Example: `town.fault("kill", "n1")`
        """
        role = role or next(
            (
                r
                for r, group in (("core", self.cores), ("node", self.nodes), ("worker", self.workers))
                if target in group
            ),
            "all",
        )
        addr = f"{self.options[target][0]}:{HTTP}" if role in ("node", "link") else ""
        self.tape.put(
            self.world.time,
            "fault",
            what=what,
            target=target,
            large=large,
            role=role,
            addr=addr,
            duty=role == "node" and target in self.on_duty(),
        )

    def mend(self, what: str, target: str) -> None:
        """Note that a fault of this target, or of "all", is over.

        Example: `town.mend("start", "n1")`
        """
        self.tape.put(self.world.time, "mend", what=what, target=target)

    def on_duty(self) -> set[str]:
        """The nodes that are a pool's warden or keep its copies, by the newest roster.

        Example: `"n1" in town.on_duty()`
        """
        newest = max((n.follower.roster for n in self.nodes.values()), key=lambda r: r.stamp)
        return {i.rsplit("-", 1)[0] for d in newest.duties for i in [d.holder, *d.copies]}

    def hosts(self, *groups: str) -> list[str]:
        """The hosts of some groups: "cores", "nodes", "workers", "platform", "outside".

        Example: `town.hosts("cores", "nodes")`
        """
        out = []
        for g in groups:
            match g:
                case "cores":
                    out += [self.options[n][0] for n in self.cores]
                case "nodes":
                    out += [self.options[n][0] for n in self.nodes]
                case "workers":
                    out += [w.host for w in self.workers.values()]
                case "platform":
                    out.append("10.0.4.1")
                case "outside":
                    out += ["10.9.0.1", "10.9.0.2"]
        return out


class Operator:
    """An operator at a desk: plans, confirms, reads back, and logs it all.

    Example: `mach.spawn(Operator(town, mach, "boss").change(doc))`
    """

    def __init__(self, town: SimulatedCluster, mach: machine.Machine, name: str) -> None:
        self.town, self.mach, self.name = town, mach, name

    async def ask(
        self, method: str, path: str, doc: dict[str, typing.Any] | None = None
    ) -> tuple[int, dict[str, typing.Any]]:
        """Ask any core, in a chance order.

        Example: `status, doc = await operator.ask("GET", "/blueprint")`
        """
        places = [f"{self.town.options[c][0]}:{HTTP}" for c in self.town.cores]
        self.mach.rng.shuffle(places)
        try:
            return await self.mach.within(
                defer.ensureDeferred(command.ask(self.mach, places, method, path, doc)), 6 * S
            )
        except Exception as e:
            return 504, {"code": "unknown_outcome", "verdict": "may_have_run", "text": repr(e)}

    async def stale_plans(self, doc: typing.Any) -> None:
        """Plan twice on one base; confirm one at one core and again at another, then the other plan, late.

        Example: `await operator.stale_plans(doc)`
        """
        probe = int(doc["routes"]["probe"]["path"][3:])
        other = json.loads(json.dumps(doc))
        other["routes"]["late"] = {"path": "/late", "pool": self.town.pool}
        plans = []
        for d in (doc, other):
            for _ in range(40):
                status, plan = await self.ask("POST", "/plans", {"blueprint": d})
                if status == 200:
                    plans.append((plan, d))
                    break
                await self.mach.sleep(300 * machine.MILLI)
        for plan, d in plans + plans:
            self.town.tape.put(
                self.mach.now(),
                "confirm_sent",
                plan=plan["id"],
                base=plan["base"],
                probe=probe,
                who=self.name,
                blueprint=d,
            )
            for _ in range(40):
                status, res = await self.ask("POST", f"/plans/{plan['id']}/confirm", {})
                if status == 200:
                    self.town.tape.put(
                        self.mach.now(), "confirmed", plan=plan["id"], stamp=res["stamp"], probe=probe, who=self.name
                    )
                if status == 200 or res.get("code") in ("base_moved", "not_found"):
                    break
                await self.mach.sleep(300 * machine.MILLI)
        self.town.probe = max(self.town.probe, probe)

    async def change(
        self, doc: dict[str, dict[str, dict[str, typing.Any]]], tries: int = 40, patch: bool = False
    ) -> int:
        """Get a configuration confirmed, whole or as a JSON Patch; the stamp, or 0.

        Example: `stamp = await operator.change(doc)`
        """
        tape, probe = self.town.tape, int(doc["routes"]["probe"]["path"][3:])
        tape.put(self.mach.now(), "wanted", probe=probe, who=self.name)
        for _ in range(tries):
            intent = {"blueprint": doc}
            if patch:
                status, was = await self.ask("GET", "/blueprint")
                intent = {
                    "base": was.get("stamp"),
                    "patch": [
                        {"op": "replace", "path": f"/{kind}", "value": doc.get(kind, {})}
                        for kind in ("pools", "routes", "terms")
                        if status == 200 and was["blueprint"].get(kind) != doc.get(kind)
                    ],
                }
            status, plan = await self.ask("POST", "/plans", intent)
            if status != 200:
                await self.mach.sleep(300 * machine.MILLI)
                continue
            ident = plan["id"]
            tape.put(
                self.mach.now(),
                "confirm_sent",
                plan=ident,
                base=plan["base"],
                probe=probe,
                who=self.name,
                blueprint=doc,
            )
            for _ in range(tries):
                status, res = await self.ask("POST", f"/plans/{ident}/confirm", {})
                if status == 200:
                    tape.put(self.mach.now(), "confirmed", plan=ident, stamp=res["stamp"], probe=probe, who=self.name)
                    self.town.probe = max(self.town.probe, probe)
                    return res["stamp"]
                tape.put(
                    self.mach.now(),
                    "confirm_refused",
                    plan=ident,
                    code=res.get("code"),
                    verdict=res.get("verdict"),
                    who=self.name,
                )
                if res.get("code") in ("base_moved", "not_found"):
                    break
                await self.mach.sleep(300 * machine.MILLI)
        return 0

    async def number(
        self,
        number: int,
        built_on: int,
        what: dict[str, dict[str, dict[str, dict[typing.Any, typing.Any]]]],
        tries: int = 60,
        patience_us: int = S,
    ) -> int:
        """Have a numbered change taken as the users' operators do: by 5xx or silence on to another core.

        Returns the last status: 200, a 4xx that ended the call, or 0 where it never got clear.

        Example: `status = await operator.number(9, 7, {"remove": {"routes": ["old"]}})`
        """
        doc = {"number": number, "built_on": built_on, **what}
        places = [f"{self.town.options[c][0]}:{HTTP}" for c in self.town.cores]
        self.mach.rng.shuffle(places)
        self.town.numbered_calls += 1
        row = dict(call=f"{self.name}-{self.town.numbered_calls}", number=number, built_on=built_on, who=self.name)
        self.town.tape.put(self.mach.now(), "number_sent", content=linearizability.digest(what), **row)
        for k in range(tries):
            try:
                status, _ = await self.mach.within(
                    defer.ensureDeferred(command.ask(self.mach, [places[k % len(places)]], "POST", "/changes", doc)),
                    patience_us,
                )
            except Exception:
                status = 504
            if status < 500:
                self.town.tape.put(self.mach.now(), "numbered", status=status, **row)
                return status
            await self.mach.sleep(100 * machine.MILLI)
        return 0

    async def read(self, tries: int = 60) -> None:
        """Read the configuration back.

        Example: `await operator.read()`
        """
        began = self.mach.now()
        for _ in range(tries):
            status, doc = await self.ask("GET", "/blueprint")
            if status == 200:
                row = dict(stamp=doc["stamp"], blueprint=doc["blueprint"], began=began, who=self.name)
                self.town.tape.put(self.mach.now(), "read", **row)
                return
            await self.mach.sleep(500 * machine.MILLI)
