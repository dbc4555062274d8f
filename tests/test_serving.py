"""The stand-ins of the users' side say what the platform's pages say, and err in the ways they tell of."""

import json

import httptools
import testtools
import twisted.internet.protocol as protocol

import bench.engine as engine
import bench.serving as serving
import bench.sim as sim
import bench.simulated_cluster as simulated_cluster
import bench.words as words
import iriswheel.machine as machine

MS, S = machine.MILLI, machine.SECOND
H = words.HEAD


class Answer:
    def __init__(self):
        self.heads, self.body, self.code, self.whole = {}, b"", 0, False


class Caller(protocol.Protocol):
    """Parses whatever comes back."""

    def __init__(self):
        self.answers, self.closed, self.raw = [], None, b""
        self.parser = httptools.HttpResponseParser(self)

    def dataReceived(self, data):
        self.raw += data
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self.garbage = True

    garbage = False

    def connectionLost(self, reason=protocol.connectionDone):
        self.closed = reason.type.__name__

    def on_message_begin(self):
        self.answers.append(Answer())

    def on_header(self, name, value):
        self.answers[-1].heads[name.decode().lower()] = value.decode()

    def on_headers_complete(self):
        self.answers[-1].code = self.parser.get_status_code()

    def on_body(self, data):
        self.answers[-1].body += data

    def on_message_complete(self):
        self.answers[-1].whole = True


class Serving(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.world = sim.World(5)
        self.tape = simulated_cluster.Tape()
        self.proc = sim.Proc(self.world, "w1", sim.Machine(self.world, "10.0.3.1", "a"))
        self.worker = serving.Worker(self.proc.mach(), "w1", "desk", self.tape, engine.Figures(enter_us=0), conns=5)
        self.worker.closes = self.worker.lingers = 0
        self.proc.reactor.listenTCP(8080, self.worker)
        self.near = sim.Proc(self.world, "near", sim.Machine(self.world, "10.0.2.1", "a"))

    def go(self, ms):
        self.world.run(self.world.time + ms * MS)

    def dial(self, host="10.0.3.1", port=8080):
        c = Caller()
        f = protocol.ClientFactory()
        f.noisy = False
        f.buildProtocol = lambda addr: c
        self.near.reactor.connectTCP(host, port, f)
        self.go(2)
        return c

    def ask(self, c, attempt="a1", tokens="10,9", parts="aa:10", left=5000, path="/x/", **more):
        heads = {
            H["attempt"]: attempt,
            H["tokens"]: tokens,
            H["parts"]: parts,
            H["left"]: left,
            "Host": "h.example",
            "Content-Length": 2,
            **{H[k]: v for k, v in more.items()},
        }
        lines = "".join(f"{k}: {v}\r\n" for k, v in heads.items() if v is not None)
        c.transport.write(f"POST {path} HTTP/1.1\r\n{lines}\r\nhi".encode())

    def kinds(self, *kinds):
        return [r for r in self.tape.rows if r["kind"] in kinds]

    def test_a_stream_has_seal_attempt_and_rising_events(self):
        c = self.dial()
        self.ask(c, target=self.worker.id)
        self.go(300)
        (a,) = c.answers
        seal = a.heads[H["seal"].lower()]
        self.assertEqual(
            (200, True, "a1", "text/event-stream"),
            (a.code, a.whole, a.heads[H["attempt"].lower()], a.heads["content-type"]),
        )
        self.assertEqual(
            "".join(f"id: {k}\ndata: {seal} a1 {k}{' last' if k == 3 else ''}\n\n" for k in (1, 2, 3)), a.body.decode()
        )
        self.assertEqual(["arrived", "run", "ran"], [r["kind"] for r in self.kinds("arrived", "run", "ran")])
        self.ask(c, attempt="a2")
        self.go(300)
        self.assertEqual(["a1", "a2"], [x.heads[H["attempt"].lower()] for x in c.answers])

    def test_what_does_not_run_says_so(self):
        c = self.dial()
        self.ask(c, attempt="a1", target="i-other")
        self.ask(c, attempt=None)
        self.ask(c, attempt="a3", left=0)
        self.ask(c, attempt="a4", weights_wanted="2")
        self.ask(c, attempt="a5", tokens="10,99000000")
        self.go(50)
        self.assertEqual([421, 400, 503, 421, 503], [a.code for a in c.answers])
        self.assertTrue(all(H["not_run"].lower() in a.heads for a in c.answers))
        self.assertEqual([], self.kinds("run"))

    def test_a_deadline_that_passes_in_the_queue_is_told_as_not_run(self):
        self.worker.engine.figures.capacity = 1
        c, d = self.dial(), self.dial()
        self.ask(c, attempt="a1", tokens="10,400")
        self.go(20)
        self.ask(d, attempt="a2", left=100)
        self.go(200)
        self.assertEqual([503], [a.code for a in d.answers])
        self.assertIn(H["not_run"].lower(), d.answers[0].heads)
        self.assertEqual(["a1"], [r["attempt"] for r in self.kinds("run")])

    def test_a_deadline_in_the_middle_of_a_stream_cuts_it(self):
        c = self.dial()
        self.ask(c, tokens="10,400", left=200)
        self.go(400)
        self.assertEqual((False, "ConnectionLost"), (c.answers[0].whole, c.closed))

    def test_a_stream_is_taken_up_after_its_last_event(self):
        c = self.dial()
        self.ask(c, tokens="10,17", after="3")
        self.go(300)
        self.assertEqual([b"id: 4", b"id: 5"], [p.split(b"\n")[0] for p in c.answers[0].body.split(b"\n\n") if p])

    def test_nothing_is_left_to_take_up_after_the_last_event(self):
        c = self.dial()
        self.ask(c, tokens="10,17", after="5")
        self.go(300)
        self.assertEqual((200, True, b""), (c.answers[0].code, c.answers[0].whole, c.answers[0].body))

    def test_a_request_is_dropped_with_its_connection(self):
        c = self.dial()
        self.ask(c, tokens="10,400")
        self.go(100)
        c.transport.abortConnection()
        self.go(50)
        self.assertEqual(["cut"], [r["how"] for r in self.kinds("ran")])
        self.assertEqual([], self.worker.engine.running)

    def test_too_many_connections_are_reset(self):
        callers = [self.dial() for _ in range(7)]
        self.go(10)
        self.assertEqual([None] * 5 + ["ConnectionLost"] * 2, [c.closed for c in callers])

    def test_idle_connections_end_in_time_or_silently(self):
        c = self.dial()
        self.go(6000)
        self.assertEqual("ConnectionDone", c.closed)
        self.worker.silent_drop = True
        c = self.dial()
        self.go(6000)
        self.assertIs(None, c.closed)
        self.ask(c)
        self.go(50)
        self.assertEqual(("ConnectionLost", []), (c.closed, c.answers))

    def test_ills_show(self):
        want = {
            "garble": lambda c: c.garbage and not any(a.whole for a in c.answers),
            "errors": lambda c: [a.code for a in c.answers] == [500],
            "break": lambda c: c.closed == "ConnectionLost" and not c.answers[0].whole and c.answers[0].body,
            "lost": lambda c: c.closed == "ConnectionLost" and not c.answers[0].whole,
            "mute": lambda c: not c.answers and c.closed is None,
            "hang": lambda c: not c.answers[0].whole and c.closed is None,
            "surplus": lambda c: [a.whole for a in c.answers] == [True, True],
            "late": lambda c: [a.whole for a in c.answers] == [True, True],
        }
        for way, seen in want.items():
            self.worker.ills = {way: 1.0}
            c = self.dial()
            self.ask(c, attempt=way)
            self.go(800)
            self.assertTrue(seen(c), (way, c.raw))
            c.transport.abortConnection()
            self.go(50)
        self.assertEqual(sorted(want), sorted({r["attempt"] for r in self.kinds("run")}), "all of these have run")

    def test_health_is_told_truly_or_falsely(self):
        c = self.dial()
        for health, ills, code in (("", {}, 200), ("", {"mute": 1}, 503), ("good", {"mute": 1}, 200), ("bad", {}, 503)):
            self.worker.health, self.worker.ills = health, ills
            c.transport.write(b"GET /health HTTP/1.1\r\nHost: x\r\n\r\n")
            self.go(50)
            self.assertEqual((code, self.worker.id), (c.answers[-1].code, c.answers[-1].heads[H["worker"].lower()]))

    def test_the_report_is_old(self):
        c, d = self.dial(), self.dial()
        self.go(300)
        self.ask(c, tokens="10,400")
        for ms, running in ((50, 0), (250, 1)):
            self.go(ms)
            d.transport.write(b"GET /report HTTP/1.1\r\nHost: x\r\n\r\n")
            self.go(5)
            self.assertEqual(running, json.loads(d.answers[-1].body)[words.REPORT["running"]])

    def test_the_list_comes_late_in_pages_and_at_a_rate(self):
        proc = sim.Proc(self.world, "list", sim.Machine(self.world, "10.0.4.1", "a"))
        listing = serving.Listing(proc.mach(), self.tape, page=2, rate=4)
        proc.reactor.listenTCP(9000, listing)
        for k in range(5):
            listing.show(f"i-{k}", pool="desk", address=f"10.0.3.{k}:80", zone="ab"[k % 2])
        c = self.dial("10.0.4.1", 9000)

        def page(query=""):
            c.transport.write(f"GET /workers{query} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
            self.go(5)
            return json.loads(c.answers[-1].body or b"{}")

        self.assertEqual([], page()["worker_pool"])
        self.go(1500)
        got, token = [], ""
        for _ in range(3):
            doc = page(f"?page_token={token}")
            got += [r["id"] for r in doc["worker_pool"]]
            token = doc["next_cursor"]
        self.assertEqual(([f"i-{k}" for k in range(5)], None), (got, token))
        self.assertEqual(["i-1", "i-3"], [r["id"] for r in page("?zone=b")["worker_pool"]])
        page()
        self.assertEqual(429, c.answers[-1].code)
        self.go(1000)
        listing.show("i-0", state="draining")
        listing.drop("i-1")
        self.go(500)
        self.assertEqual(["i-0", "i-1"], [r["id"] for r in page()["worker_pool"]])
        self.go(1500)
        rows = page()["worker_pool"]
        self.assertEqual([("i-0", "draining"), ("i-2", "ready")], [(r["id"], r["state"]) for r in rows])
