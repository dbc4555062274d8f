"""Placement: a node elects the worker itself, for pools whose election is "node".

What decides is the time to the first event: the tokens that wait to be read at a worker, the
batch that runs there, and how much of the prompt its cache is likely to hold. A node knows its
own sends at once, those of the others from the load request; which worker keeps a shared part
needs no message: all nodes rank the workers alike for it (rendezvous hashing).
"""

from __future__ import annotations

import collections
import hashlib
import types
import typing

import loguru

import iriswheel.dataplane.sessions as sessions
import iriswheel.runtime.scheduler as scheduler
import iriswheel.runtime.units as units

if typing.TYPE_CHECKING:
    import iriswheel.configuration.configuration as configuration
    import iriswheel.dataplane.edge_protocol as edge_protocol


READ_RATE = 50  # tokens that a worker reads in a millisecond, until measured
BATCH = 64  # requests that a worker runs at once, where the configuration does not say
STEP_US = 6_000  # a step of a worker's batch
SLOT_US = 60  # what one more running request costs a new one, in time to its first event
TURN_US = 700 * units.MILLISECOND_US  # how long a request holds its place in a full batch
TRIALS = 16_384  # first turns remembered
RANKS = 1_024  # rankings remembered
KEPT = 512  # parts remembered per worker
LONG = 4_000  # tokens of a prompt, shared parts and all, from which on it is long
SPARED = 0.34  # of the workers read no long prompts
HEAVY = 2_000  # tokens to read from which on all other nodes are told at once
AGAIN = 15  # reading a shared part anew counts so many times its time: others wait, and parts give way
JITTER_US = 3_000  # workers nearer than this are alike
OLD_US = 1_500 * units.MILLISECOND_US  # others' sums older than this count for nothing
SUSPICION_HALF_LIFE_US = 2 * units.SECOND_US  # suspicion of a worker halves in so long
SUSPICION_US = 1 * units.SECOND_US  # what full suspicion counts for in time
SUSPICION_EJECT = 0.45  # from here on a worker gets nothing, as long as others are well
OTHERS_SUSPICION = 0.4  # how much another node's suspicion counts beside one's own
PATIENCE_US = 200 * units.MILLISECOND_US  # no first event is waited for less than this
MUTE_US = 700 * units.MILLISECOND_US  # a worker with sends under way that says nothing for so long
COST = 100  # an open session's cost that counts like one request

NONE = (0, 0, 0)

log = loguru.logger.bind(part="place")


class Worker:
    """What this node knows of one worker.

    >>> w = Worker(); w.running, w.unread
    (0, 0)
    """

    __slots__ = ("running", "unread", "kept", "last_contact", "asked", "suspicion", "suspected_at")

    def __init__(self) -> None:
        self.running = 0  # own requests there
        self.unread = 0  # own prompt tokens that it has still to read
        self.kept = collections.OrderedDict()  # chain key of a part -> tokens, the latest used last
        self.last_contact = 0  # when it last said anything to this node
        self.asked = 0  # when the first of the sends now under way went out
        self.suspicion = 0.0  # suspicion, 0 to 1, as it was at ill_at
        self.suspected_at = 0

    def note(self, keys: list[typing.Any], sizes: list[int]) -> None:
        """Note the parts that a prompt brings there.

        >>> w = Worker(); w.note([7], [100]); list(w.kept.items())
        [(7, 100)]
        """
        for key, size in zip(keys, sizes, strict=False):
            self.kept.pop(key, None)
            self.kept[key] = size
        while len(self.kept) > KEPT:
            self.kept.popitem(last=False)


def chain(parts: list[str]) -> list[bytes]:
    """A key for each part that stands for all parts up to it.

    >>> a, b = chain(["x", "y"]), chain(["z", "y"]); a[1] == b[1], chain(["x"])[0] == a[0]
    (False, True)
    """
    out, key = [], b""
    for part in parts:
        key = hashlib.blake2b(key + part.encode(), digest_size=8).digest()
        out.append(key)
    return out


def weigh(key: bytes, worker: str) -> bytes:
    """The weight of a worker for a key; the same on every node.

    >>> weigh(b"k", "w1") == weigh(b"k", "w1"), weigh(b"k", "w1") == weigh(b"k", "w2")
    (True, False)
    """
    return hashlib.blake2b(worker.encode(), digest_size=8, key=key).digest()


class Placement:
    """One node's placement over one pool."""

    def __init__(self, runtime: scheduler.Runtime, pool: str) -> None:
        self.runtime = runtime
        self.pool = pool
        self.workers: dict[str, Worker] = {}  # id -> Worker
        # id -> (running, unread, suspicion in percent) of all other nodes together
        self.others: dict[str, tuple[int, int, int]] = {}
        self.base_us, self.dev_us = 60_000.0, 30_000.0  # of first events of short prompts, beyond what was expected
        self.others_at = 0
        self.reported_heavy = lambda: None  # called when a send changes a worker's load by much
        self.reported_some = lambda: None  # called when anything changes
        self.session_table = sessions.SessionTable()
        self.trials = collections.OrderedDict()  # last part's key -> (worker, until): may yet be a session
        self.ranks = collections.OrderedDict()  # key -> workers by weight

    def at(self, name: str) -> Worker:
        """What is known of a worker.

        >>> Placement(scheduler.Runtime(None, now=lambda: 0), "p").at("w1").running
        0
        """
        w = self.workers.get(name)
        if w is None:
            w = self.workers[name] = Worker()
        return w

    def rank(self, key: bytes, names: tuple[str, ...]) -> list[str]:
        """The workers by weight for a key, the heaviest first.

        >>> p = Placement(scheduler.Runtime(None, now=lambda: 0), "p")
        >>> sorted(p.rank(b"k", ("w1", "w2")))
        ['w1', 'w2']
        """
        out = self.ranks.get((key, names))
        if out is None:
            out = self.ranks[key, names] = sorted(names, key=lambda n: weigh(key, n), reverse=True)
            if len(self.ranks) > RANKS:
                self.ranks.popitem(last=False)
        return out

    def of_others(self, name: str, now: int) -> tuple[int, int, int]:
        """What all other nodes together say of a worker, unless that is old.

        >>> Placement(scheduler.Runtime(None, now=lambda: 0), "p").of_others("w1", 0)
        (0, 0, 0)
        """
        return self.others.get(name, NONE) if now - self.others_at < OLD_US else NONE

    def suspicion(self, name: str, now: int) -> float:
        """The suspicion of a worker, 0 to 1: one's own, and a part of the others'.

        >>> p = Placement(scheduler.Runtime(None, now=lambda: 0), "p"); p.blame("w1", 0.5); p.suspicion("w1", 0)
        0.5
        """
        return min(1.0, self.own_suspicion(name, now) + OTHERS_SUSPICION * self.of_others(name, now)[2] / 100)

    def own_suspicion(self, name: str, now: int) -> float:
        """This node's own suspicion of a worker, fading.

        >>> p = Placement(scheduler.Runtime(None, now=lambda: 0), "p"); p.blame("w1", 0.5)
        >>> p.own_suspicion("w1", 2 * units.SECOND_US)
        0.25
        """
        w = self.workers.get(name)
        return (
            w.suspicion * 0.5 ** ((now - w.suspected_at) / SUSPICION_HALF_LIFE_US)
            if w is not None and w.suspicion
            else 0.0
        )

    def blame(self, name: str, much: float) -> None:
        """A worker failed, or fell silent: trust it less, and let the other nodes know.

        >>> p = Placement(scheduler.Runtime(None, now=lambda: 5), "p"); p.blame("w1", 0.5); p.is_unhealthy("w1", 5)
        True
        """
        now = self.runtime.now()
        w = self.at(name)
        w.suspicion, w.suspected_at = min(1.0, self.own_suspicion(name, now) + much), now
        self.reported_some()
        self.reported_heavy()

    def forgive(self, name: str) -> None:
        """A worker gave a whole answer.

        >>> p = Placement(scheduler.Runtime(None, now=lambda: 5), "p")
        >>> p.blame("w1", 0.5); p.forgive("w1"); p.is_unhealthy("w1", 5)
        False
        """
        w = self.at(name)
        w.suspicion *= 0.7

    def wait_us(self, name: str, pool: configuration.Pool, now: int) -> int:
        """How long a new request would wait at a worker before its own prompt is read.

        Only real requests in flight count here: this is what admission looks at.
        """
        w = self.at(name)
        running, unread, _ = self.of_others(name, now)
        running += w.running
        unread += w.unread
        batch = pool.batch or BATCH
        us = unread * 1000 // READ_RATE + running * SLOT_US
        if running >= batch:
            us += TURN_US * (running - batch + 1) // batch
        return us

    def spared(self, names: tuple[str, ...]) -> set[str]:
        """The workers that read no long prompts; the same on every node.

        While many shared parts are read for the first time, long prompts would fill every worker,
        and all short ones, which are many more, would wait behind them.

        >>> p = Placement(scheduler.Runtime(None, now=lambda: 0), "p"); len(p.spared(tuple("abcdef")))
        2
        """
        return set(self.rank(b"spared", names)[: round(len(names) * SPARED)] if len(names) > 2 else ())

    def read_us(self, name: str, keys: list[bytes], sizes: list[int], own: int, names: tuple[str, ...]) -> int:
        """How long a worker would read at a prompt, less what its cache is likely to hold.

        The shared parts are kept at their home, the worker that ranks first for the last of them,
        and where this node sent them lately.
        """
        kept = self.at(name).kept
        home = not keys or bool(names) and self.rank(keys[-1], names)[0] == name
        us = own * 1000 // READ_RATE
        if home:
            return us
        missing = False
        for key, size in zip(keys, sizes, strict=False):
            missing = missing or key not in kept
            if missing:
                us += size * 1000 * AGAIN // READ_RATE
        return us

    def is_unhealthy(self, name: str, now: int) -> bool:
        """Whether a worker is to get nothing as long as others are well."""
        return self.suspicion(name, now) > SUSPICION_EJECT or self.mute(name, now)

    def patience_us(self, expected: int) -> int:
        """How long a first event is waited for that was expected after so long.

        >>> Placement(scheduler.Runtime(None, now=lambda: 0), "p").patience_us(10_000)
        200000
        """
        return max(PATIENCE_US, int(expected * 1.5 + self.base_us + 4 * self.dev_us))

    def mute(self, name: str, now: int) -> bool:
        """Whether a worker that has sends of this node says nothing to any of them.

        >>> Placement(scheduler.Runtime(None, now=lambda: 0), "p").mute("w1", 0)
        False
        """
        w = self.workers.get(name)
        return w is not None and bool(w.running) and now - max(w.asked, w.last_contact) > MUTE_US

    def pick(
        self,
        ask: edge_protocol.ParsedRequest | types.SimpleNamespace,
        keys: list[bytes],
        own: int,
        ready: list[str],
        pool: configuration.Pool,
        shun: set[str],
    ) -> tuple[str, int]:
        """The worker for a request, or "" where there is none; (name, time it waits there)."""
        now = self.runtime.now()
        names = tuple(ready)
        r = self.session_table.affinity(keys[-1]) if keys else None
        if r is not None and r.worker in ready and r.worker not in shun:
            return r.worker, self.wait_us(r.worker, pool, now)
        fit = [n for n in names if n not in shun]
        well = [n for n in fit if not self.is_unhealthy(n, now)]
        fit = well if 2 * len(well) >= len(fit) else fit  # where most look ill, it is not they
        if not fit:
            return "", 0
        if keys:
            worker, until = self.trials.get(keys[-1], ("", 0))
            if worker in fit and until > now:
                return worker, self.wait_us(worker, pool, now)  # a second turn: its prefix is held there
        best, least = "", None
        spared = self.spared(names)
        long = own + sum(size for key, size in zip(keys[:-1], ask.sizes, strict=False)) >= LONG
        if long:
            names = tuple(n for n in names if n not in spared)
            fit = [n for n in fit if n not in spared] or fit
        for n in fit:
            wait = self.wait_us(n, pool, now)
            us = wait + self.read_us(n, keys[:-1], ask.sizes[:-1], own, names)
            us += self.session_table.load(n) * SLOT_US // COST  # reserved cost of open sessions
            us += int(self.suspicion(n, now) * SUSPICION_US)
            us += self.runtime.rng.randrange(JITTER_US)
            if least is None or us < least:
                best, least, its_wait = n, us, wait
        return best, its_wait

    # ---- sends ------------------------------------------------------------------------

    def begin(self, name: str, keys: list[bytes], sizes: list[int], own: int) -> int:
        """A send goes out; the tokens that the worker will likely read for it."""
        w = self.at(name)
        tokens = own
        for key, size in zip(keys, sizes, strict=False):
            if key not in w.kept:
                tokens += size
        w.note(keys, sizes)
        if not w.running:
            w.asked = self.runtime.now()
        w.running += 1
        w.unread += tokens
        self.reported_some()
        if tokens >= HEAVY:
            self.reported_heavy()
        return tokens

    def first(self, name: str, tokens: int, took: int, expected: int) -> None:
        """The first event came after `took` microseconds: the prompt is read."""
        self.at(name).unread -= tokens
        self.reported_some()
        if tokens < HEAVY:
            off = took - expected - self.base_us
            self.base_us = max(0.0, self.base_us + off / 16)
            self.dev_us += (abs(off) - self.dev_us) / 16

    def hear(self, name: str) -> None:
        """A worker said something."""
        self.at(name).last_contact = self.runtime.now()

    def end(self, name: str, tokens: int) -> None:
        """A send is over; `tokens` are those that were never read."""
        w = self.at(name)
        w.running -= 1
        self.reported_some()
        w.unread -= tokens

    # ---- sessions ---------------------------------------------------------------------

    def turn(self, key: bytes, name: str, terms: configuration.Terms, cap: int) -> None:
        """Note a turn: the second one with the same last part opens a session, if the cap allows.

        Nobody says whether a prompt's last part is a conversation's or one request's own, and a
        record for each of the latter would fill every cap. So the first turn leaves a trial, which
        counts for nothing but placement.
        """
        now = self.runtime.now()
        r = self.session_table.affinity(key)
        if r is not None and r.worker != name:
            self.session_table.close(key)
            r = None
        if r is not None:
            r.lifetime_us, r.cost = terms.lifetime_us, terms.cost
            self.session_table.extend(r, now)
            return
        worker, until = self.trials.pop(key, ("", 0))
        if until > now and (not cap or self.session_table.count(name) < cap):
            self.session_table.open(key, name, now, terms.lifetime_us, terms.cost)
            return
        self.trials[key] = (name, now + terms.lifetime_us)
        if len(self.trials) > TRIALS:
            self.trials.popitem(last=False)

    def sweep(self, ready: set[str]) -> None:
        """Close sessions past their lease, and those of workers that are ready no more.

        >>> Placement(scheduler.Runtime(None, now=lambda: 0), "p").sweep({"w1"})
        """
        now = self.runtime.now()
        self.session_table.sweep(now)
        for name in [n for n in self.session_table.at if n not in ready]:
            self.session_table.evict(name)
        while self.trials and next(iter(self.trials.values()))[1] < now:
            self.trials.popitem(last=False)
        for name in [n for n, w in self.workers.items() if n not in ready and not w.running]:
            del self.workers[name]

    def export(self) -> list[tuple[str, int, int, int]]:
        """This node's own load, for the load request: rows of worker, running, unread tokens, suspicion.

        Suspicion travels in steps of ten percent, so that its fading is not news all the time.

        >>> p = Placement(scheduler.Runtime(None, now=lambda: 0), "p"); p.blame("w1", 0.5); p.export()
        [('w1', 0, 0, 50)]
        """
        now = self.runtime.now()
        rows = [
            (n, w.running, max(0, w.unread), int(self.own_suspicion(n, now) * 10) * 10)
            for n, w in sorted(self.workers.items())
        ]
        return [r for r in rows if r[1] or r[3]]

    def take(self, rows: list[tuple[str, int, int, int]], complete: bool) -> None:
        """Take the other nodes' sums: all of them, or what changed.

        >>> p = Placement(scheduler.Runtime(None, now=lambda: 0), "p"); p.take([("w1", 3, 900, 0)], True)
        >>> p.others["w1"]
        (3, 900, 0)
        """
        if complete:
            self.others = {}
        for name, *values in rows:
            self.others[name] = tuple(values)
            if not any(values):
                del self.others[name]
        self.others_at = self.runtime.now()

    def state(self) -> dict[str, typing.Any]:
        """What this placement shows of itself.

        >>> Placement(scheduler.Runtime(None, now=lambda: 0), "p").state()["sessions"]
        {}
        """
        return {
            "pool": self.pool,
            "sessions": {w: len(rs) for w, rs in sorted(self.session_table.at.items()) if rs},
            "trials": len(self.trials),
            "running": {n: w.running for n, w in sorted(self.workers.items())},
        }
