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

import benchmarks.fleet as fleet
import benchmarks.stand_ins as stand_ins
import iriswheel.cli.command as command
import iriswheel.cli.load_generator as load_generator
import iriswheel.control.core as core
import iriswheel.dataplane.dispatch as dispatch
import iriswheel.dataplane.edge_protocol as edge_protocol
import iriswheel.node.node as node
import iriswheel.runtime.options as options
import iriswheel.runtime.scheduler as scheduler
import iriswheel.runtime.units as units
import iriswheel.transport.http_server as http_server
import iriswheel.transport.wire as wire
import iriswheel.verification.linearizability as linearizability
import simulation.disk_model as disk_model
import simulation.host_model as host_model
import simulation.process_model as process_model
import simulation.world as world

if typing.TYPE_CHECKING:
    import twisted.web.client as client

    import iriswheel.runtime.scheduler as scheduler


S = units.SECOND_US
PEER, HTTP = 7001, 8001

log = loguru.logger.bind(part="cluster")


RUDE = ("leaves", "reads slowly", "bad head", "no length", "bad field", "too large")


class RudeConnection(protocol.Protocol):
    """Keeps what comes back to a rude client.

    >>> RudeConnection().got
    []
    """

    def __init__(self) -> None:
        self.got: list[typing.Any] = []

    def dataReceived(self, data: typing.Any) -> None:
        self.got.append(data)


class EventLog:
    """An event log in memory, in the form of load.Events.

    >>> t = EventLog(); t.put(5, "sent", exchange="x1"); t.rows
    [{'at': 5, 'kind': 'sent', 'exchange': 'x1'}]
    """

    def __init__(self) -> None:
        self.rows: list[dict[str, typing.Any]] = []

    def put(self, at: int, kind: str, **more: typing.Any) -> None:
        """Keep one event.

        >>> EventLog().put(1, "sent")
        """
        self.rows.append({"at": at, "kind": kind, **more})

    def text(self) -> str:
        """The log as it would stand in a file.

        >>> EventLog().text()
        ''
        """
        return "".join(json.dumps(r) + "\n" for r in self.rows)


class SimulatedCluster:
    """One simulated run."""

    def __init__(
        self,
        seed: int,
        shape: str = "magnolia",
        long_rate: float = 1.5,
        short_rate: float = 8.0,
        talks: int = 6,
        seconds: int = 600,
        configuration: dict[str, dict[str, dict[str, typing.Any]]] | None = None,
        halls: list[str] | None = None,
        cores: int = 3,
        **more: int,
    ) -> None:
        self.seed = seed
        self.world = world.World(seed)
        self.rng = self.world.rng
        self.tape = EventLog()
        self.zones, self.worker_count, self.pool, name = fleet.SHAPES[shape]
        self.zones = halls or self.zones
        with open(os.path.join(fleet.EXAMPLES, name)) as f:
            self.configuration = configuration or json.load(f)
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

    def machine(self, host: str, zone: str) -> host_model.Host:
        """The machine of a host, made when first named."""
        return self.world.machines.get(host) or host_model.Host(self.world, host, zone)

    def begin(self) -> None:
        """Start everything and let the configuration be confirmed."""
        zones = sorted(set(self.zones))
        self.seeds = [f"10.0.1.{k}:{PEER}" for k in range(1, min(3, self.core_count) + 1)]
        self.platform_proc = process_model.SimulatedProcess(self.world, "platform", self.machine("10.0.4.1", zones[0]))
        self.platform = stand_ins.Platform(self.platform_proc.runtime(), self.tape)
        self.listen(self.platform_proc, 9000, http_server.Server(self.platform.runtime, self.platform.handle))
        for k in range(1, self.worker_count + 1):
            self.start_worker(f"w{k}", f"10.0.3.{k}")
        for k in range(1, self.core_count + 1):  # the seeds name three, however many there are
            self.start_core(f"c{k}", f"10.0.1.{k}", zones[(k - 1) % len(zones)])
        for k, zone_name in enumerate(self.zones, 1):
            self.start_node(f"n{k}", f"10.0.2.{k}", zone_name)
        self.platform.runtime.spawn(self.platform.poll_nodes(), log)
        self.callers = process_model.SimulatedProcess(self.world, "callers", self.machine("10.9.0.1", "far"))
        self.operator_site = process_model.SimulatedProcess(self.world, "office", self.machine("10.9.0.2", "far"))
        self.operator_runtime = self.operator_site.runtime()
        self.operator = Operator(self, self.operator_runtime, "boss")
        first = self.operator_runtime.spawn(self.operator.change(self.with_probe(0)), log)
        self.until(lambda: first.called, 30)
        self.until(lambda: all(self.platform.heartbeat_sent_at.get(n) for n in self.nodes), 30)
        self.tape.put(
            self.world.time,
            "begun",
            cap=self.configuration["pools"][self.pool].get("cap", 10),
            lifetime_us=60 * S,
            blueprint=self.configuration,
            zones={f"{host}:{HTTP}": zone for n, (host, zone) in self.options.items() if n in self.nodes},
        )
        runtime = self.callers.runtime()
        self.load = load_generator.LoadGenerator(
            runtime, self.platform.places, "/v1/complete", self.seconds * S, *self.rates, self.tape
        )
        self.load_done = runtime.spawn(self.load.run(), log)
        runtime.spawn(self.probe_all(runtime), log)

    def listen(
        self, process: process_model.SimulatedProcess, port: int, factory: http_server.Server | wire.Listener
    ) -> None:
        """Let a process listen."""
        process.reactor.listenTCP(port, factory)

    def place(
        self, role: str, name: str, host: str, zone: str, **more: str
    ) -> tuple[process_model.SimulatedProcess, scheduler.Runtime, options.Options]:
        """A new process on a machine with power, its Machine object and its options."""
        m = self.machine(host, zone)
        m.power = True
        process = process_model.SimulatedProcess(self.world, name, m)
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
        runtime = process.runtime()
        runtime.protocol_version = self.versions.get(name, runtime.protocol_version)
        return process, runtime, o

    def start_core(self, name: str, host: str, zone: str) -> None:
        """Start a core machine's process, on the disk that is there."""
        process, runtime, o = self.place("core", name, host, zone, data="sim")
        c = self.cores[name] = core.Core(runtime, disk_model.Disk(process), o)
        c.process = process
        self.listen(process, PEER, wire.Listener(runtime, c.serve, log))
        self.listen(process, HTTP, http_server.Server(runtime, c.handle))
        c.start()

    def start_node(self, name: str, host: str, zone: str) -> None:
        """Start a node's process."""
        process, runtime, o = self.place("node", name, host, zone, platform="10.0.4.1:9000")
        n = self.nodes[name] = node.Node(runtime, o)
        n.process = process
        self.listen(process, PEER, wire.Listener(runtime, n.serve, log))
        self.listen(process, HTTP, http_server.Server(runtime, n.gateway.handle))
        n.start(PEER, HTTP)
        self.platform.nodes[name] = (host, HTTP)

    def start_worker(self, name: str, host: str) -> None:
        """Start a worker and list it."""
        process = process_model.SimulatedProcess(self.world, name, self.machine(host, sorted(set(self.zones))[0]))
        runtime = process.runtime()
        w = self.workers[name] = stand_ins.Worker(runtime, name, self.tape)
        w.process, w.host = process, host
        self.listen(process, 9001, http_server.Server(runtime, w.handle))
        self.platform.put(name, host=host, port=9001, pool=self.pool, state="ready")

    # ---- time ---------------------------------------------------------------------------

    def go(self, seconds: float) -> None:
        """Let virtual time pass."""
        self.world.run(self.world.time + int(seconds * S))

    def until(self, condition: collections.abc.Callable[..., object], seconds: float) -> bool:
        """Let time pass until a condition holds; False where it did not in time."""
        end = self.world.time + seconds * S
        while not condition():
            if self.world.time >= end:
                return False
            self.go(0.05)
        return True

    def end(self) -> None:
        """The day's end: what is open ends, and the configuration is read back."""
        self.until(lambda: self.load_done.called, self.seconds + 120)
        self.go(2)  # the probes go on: a fresh request at every ready node after the last fault
        self.probing = False
        self.go(9)
        done = self.operator_runtime.spawn(self.operator.read(), log)
        self.until(lambda: done.called, 40)
        self.tape.put(self.world.time, "ended")

    # ---- users ----------------------------------------------------------------------------

    def with_probe(
        self, k: int, more: dict[str, dict[str, str]] | None = None
    ) -> dict[str, dict[str, dict[str, typing.Any]]]:
        """The configuration with probe route k, and perhaps more routes."""
        document = json.loads(json.dumps(self.configuration))
        document["routes"]["probe"] = {"path": f"/p/{k}", "pool": self.pool}
        document["routes"].update(more or {})
        return document

    async def probe_all(self, runtime: scheduler.Runtime) -> None:
        """Every second, try the newest probe route, the one before, and `paths` at every ready node."""
        agent = dispatch.Dispatcher(runtime).fresh
        while self.probing:
            await runtime.sleep(S)
            for name in [n for n in sorted(self.nodes) if self.platform.heartbeat_sent_at.get(n)]:
                for path in [f"/p/{k}" for k in (self.probe, self.probe - 1) if k >= 0] + self.paths:
                    runtime.spawn(self.probe_one(runtime, agent, name, path), log)

    async def rude(self, host: typing.Any, how: typing.Any) -> None:
        """A client that misbehaves: leaves, reads slowly, or sends bad HTTP."""
        runtime = self.load.runtime
        point = endpoints.TCP4ClientEndpoint(runtime.reactor, host, HTTP, timeout=2)
        try:
            peer_protocol = await point.connect(protocol.Factory.forProtocol(RudeConnection))
        except Exception:
            return
        head = "POST /v1/complete HTTP/1.1\r\nHost: x\r\nX-May-Repeat: yes\r\n"
        match how:
            case "leaves":
                peer_protocol.transport.write((head + "Content-Length: 5\r\n\r\nhello").encode())
                await runtime.sleep(40 * units.MILLISECOND_US)
                peer_protocol.transport.abortConnection()
                return
            case "reads slowly":
                peer_protocol.transport.write((head + "Content-Length: 5\r\n\r\nhello").encode())
                peer_protocol.transport.pauseProducing()
                await runtime.sleep(3 * S)
                peer_protocol.transport.resumeProducing()
            case "bad head":
                peer_protocol.transport.write(b"\x00\x01 nonsense\r\n\r\n")
            case "no length":
                peer_protocol.transport.write((head + "\r\n").encode())
            case "bad field":
                peer_protocol.transport.write((head + "X-Send-Number: minus\r\nContent-Length: 0\r\n\r\n").encode())
            case "too large":
                peer_protocol.transport.write((head + "Content-Length: 99999999\r\n\r\n").encode())
        await runtime.sleep(2 * S)
        text = b"".join(peer_protocol.got).decode("latin-1")
        self.tape.put(runtime.now(), "rude", how=how, host=f"{host}:{HTTP}", status=text[9:12], text=text[-300:])
        peer_protocol.transport.abortConnection()

    async def probe_one(self, runtime: scheduler.Runtime, agent: client.Agent, name: str, path: str) -> None:
        """Try one path at one node."""
        started_at = runtime.now()
        self.probes += 1
        identifier = f"p{self.probes}"
        host, port = self.platform.nodes[name]
        headers = load_generator.http_headers.Headers(
            {edge_protocol.REPEAT: ["yes"], edge_protocol.REQUEST_ID: [identifier]}
        )
        try:
            response = await runtime.within(
                agent.request(b"POST", f"http://{host}:{port}{path}".encode(), headers, dispatch.Body(b"probe")), 8 * S
            )
        except Exception:
            self.tape.put(
                started_at,
                "probe",
                node=f"{host}:{port}",
                zone=self.options[name][1],
                path=path,
                exchange=identifier,
                status=0,
                worker=None,
                done=runtime.now(),
                code="lost",
            )
            return
        row = dict(
            node=f"{host}:{port}",
            zone=self.options[name][1],
            path=path,
            exchange=identifier,
            status=response.code,
            worker=(response.headers.getRawHeaders(edge_protocol.TARGET) or [None])[0],
            done=runtime.now(),
        )
        response.deliverBody(
            dispatch.Collect(
                lambda raw: self.tape.put(
                    started_at, "probe", code=json.loads(raw)["code"] if raw and response.code != 200 else "", **row
                )
            )
        )

    # ---- what the faults aim at -------------------------------------------------------------

    def tail(self) -> core.Core | None:
        """The core that is the leased tail, or None."""
        return next((c for c in self.cores.values() if c.process.alive and c.consensus.leased()), None)

    def head(self) -> core.Core:
        """The core that is the head of the newest view, or None."""
        live = [c for c in self.cores.values() if c.process.alive and c.consensus.view is not None]
        v = max((c.consensus.view for c in live), key=lambda v: v.number, default=None)
        return next((c for c in live if v is not None and c.consensus.me.id == v.chain[0].id), None)

    def owner(self) -> node.Node | None:
        """The node that is the seated pool owner, or None."""
        for n in self.nodes.values():
            w = n.pool_owners.get(self.pool)
            if n.process.alive and w is not None and w.active():
                return n
        return None

    def fault(self, what: str, target: str, large: bool = False, role: None = None) -> None:
        """Note a fault in the log."""
        role = role or next(
            (
                r
                for r, group in (("core", self.cores), ("node", self.nodes), ("worker", self.workers))
                if target in group
            ),
            "all",
        )
        address = f"{self.options[target][0]}:{HTTP}" if role in ("node", "link") else ""
        self.tape.put(
            self.world.time,
            "fault",
            what=what,
            target=target,
            large=large,
            role=role,
            addr=address,
            duty=role == "node" and target in self.assigned_owners(),
        )

    def repair(self, what: str, target: str) -> None:
        """Note that a fault of this target, or of "all", is over."""
        self.tape.put(self.world.time, "mend", what=what, target=target)

    def assigned_owners(self) -> set[str]:
        """The nodes that are a pool's pool owner or keep its copies, by the newest membership."""
        newest = max((n.follower.membership for n in self.nodes.values()), key=lambda r: r.version)
        return {i.rsplit("-", 1)[0] for d in newest.assignments for i in [d.holder, *d.copies]}

    def hosts(self, *groups: str) -> list[str]:
        """The hosts of some groups: "cores", "nodes", "workers", "platform", "outside"."""
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
    """An operator at a desk: plans, confirms, reads back, and logs it all."""

    def __init__(self, cluster: SimulatedCluster, runtime: scheduler.Runtime, name: str) -> None:
        self.cluster, self.runtime, self.name = cluster, runtime, name

    async def query(
        self, method: str, path: str, document: dict[str, typing.Any] | None = None
    ) -> tuple[int, dict[str, typing.Any]]:
        """Ask any core, in a chance order."""
        places = [f"{self.cluster.options[c][0]}:{HTTP}" for c in self.cluster.cores]
        self.runtime.rng.shuffle(places)
        try:
            return await self.runtime.within(
                defer.ensureDeferred(command.send_request(self.runtime, places, method, path, document)), 6 * S
            )
        except Exception as e:
            return 504, {"code": "unknown_outcome", "verdict": "may_have_run", "text": repr(e)}

    async def stale_plans(self, document: typing.Any) -> None:
        """Plan twice on one base; confirm one at one core and again at another, then the other plan, late."""
        probe = int(document["routes"]["probe"]["path"][3:])
        other = json.loads(json.dumps(document))
        other["routes"]["late"] = {"path": "/late", "pool": self.cluster.pool}
        plans = []
        for d in (document, other):
            for _ in range(40):
                status, plan = await self.query("POST", "/plans", {"blueprint": d})
                if status == 200:
                    plans.append((plan, d))
                    break
                await self.runtime.sleep(300 * units.MILLISECOND_US)
        for plan, d in plans + plans:
            self.cluster.tape.put(
                self.runtime.now(),
                "confirm_sent",
                plan=plan["id"],
                base=plan["base"],
                probe=probe,
                who=self.name,
                blueprint=d,
            )
            for _ in range(40):
                status, response = await self.query("POST", f"/plans/{plan['id']}/confirm", {})
                if status == 200:
                    self.cluster.tape.put(
                        self.runtime.now(),
                        "confirmed",
                        plan=plan["id"],
                        stamp=response["stamp"],
                        probe=probe,
                        who=self.name,
                    )
                if status == 200 or response.get("code") in ("base_moved", "not_found"):
                    break
                await self.runtime.sleep(300 * units.MILLISECOND_US)
        self.cluster.probe = max(self.cluster.probe, probe)

    async def change(
        self, document: dict[str, dict[str, dict[str, typing.Any]]], attempts: int = 40, patch: bool = False
    ) -> int:
        """Get a configuration confirmed, whole or as a JSON Patch; the version, or 0."""
        tape, probe = self.cluster.tape, int(document["routes"]["probe"]["path"][3:])
        tape.put(self.runtime.now(), "wanted", probe=probe, who=self.name)
        for _ in range(attempts):
            intent = {"blueprint": document}
            if patch:
                status, was = await self.query("GET", "/blueprint")
                intent = {
                    "base": was.get("stamp"),
                    "patch": [
                        {"op": "replace", "path": f"/{kind}", "value": document.get(kind, {})}
                        for kind in ("pools", "routes", "terms")
                        if status == 200 and was["blueprint"].get(kind) != document.get(kind)
                    ],
                }
            status, plan = await self.query("POST", "/plans", intent)
            if status != 200:
                await self.runtime.sleep(300 * units.MILLISECOND_US)
                continue
            identifier = plan["id"]
            tape.put(
                self.runtime.now(),
                "confirm_sent",
                plan=identifier,
                base=plan["base"],
                probe=probe,
                who=self.name,
                blueprint=document,
            )
            for _ in range(attempts):
                status, response = await self.query("POST", f"/plans/{identifier}/confirm", {})
                if status == 200:
                    tape.put(
                        self.runtime.now(),
                        "confirmed",
                        plan=identifier,
                        stamp=response["stamp"],
                        probe=probe,
                        who=self.name,
                    )
                    self.cluster.probe = max(self.cluster.probe, probe)
                    return response["stamp"]
                tape.put(
                    self.runtime.now(),
                    "confirm_refused",
                    plan=identifier,
                    code=response.get("code"),
                    verdict=response.get("verdict"),
                    who=self.name,
                )
                if response.get("code") in ("base_moved", "not_found"):
                    break
                await self.runtime.sleep(300 * units.MILLISECOND_US)
        return 0

    async def number(
        self,
        number: int,
        built_on: int,
        what: dict[str, dict[str, dict[str, dict[typing.Any, typing.Any]]]],
        attempts: int = 60,
        patience_us: int = S,
    ) -> int:
        """Have a numbered change taken as the users' operators do: by 5xx or silence on to another core.

        Returns the last status: 200, a 4xx that ended the call, or 0 where it never got clear.
        """
        document = {"number": number, "built_on": built_on, **what}
        places = [f"{self.cluster.options[c][0]}:{HTTP}" for c in self.cluster.cores]
        self.runtime.rng.shuffle(places)
        self.cluster.numbered_calls += 1
        row = dict(call=f"{self.name}-{self.cluster.numbered_calls}", number=number, built_on=built_on, who=self.name)
        self.cluster.tape.put(self.runtime.now(), "number_sent", content=linearizability.digest(what), **row)
        for k in range(attempts):
            try:
                status, _ = await self.runtime.within(
                    defer.ensureDeferred(
                        command.send_request(self.runtime, [places[k % len(places)]], "POST", "/changes", document)
                    ),
                    patience_us,
                )
            except Exception:
                status = 504
            if status < 500:
                self.cluster.tape.put(self.runtime.now(), "numbered", status=status, **row)
                return status
            await self.runtime.sleep(100 * units.MILLISECOND_US)
        return 0

    async def read(self, attempts: int = 60) -> None:
        """Read the configuration back."""
        started_at = self.runtime.now()
        for _ in range(attempts):
            status, document = await self.query("GET", "/blueprint")
            if status == 200:
                row = dict(stamp=document["stamp"], blueprint=document["blueprint"], began=started_at, who=self.name)
                self.cluster.tape.put(self.runtime.now(), "read", **row)
                return
            await self.runtime.sleep(500 * units.MILLISECOND_US)
