"""Placement: a node selects the worker itself, for pools whose election is "node".

What decides is the time to the first event: the tokens that wait to be read at a worker, the
batch that runs there, and how much of the prompt its cache is likely to hold. A node knows its
own attempts at once, those of the others from the load exchange; which worker keeps a shared part
needs no message: all nodes rank the workers alike for it (rendezvous hashing).
"""

from __future__ import annotations

import collections
import collections.abc
import hashlib
import typing

from iriswheel.dataplane import sessions, worker_estimate
from iriswheel.runtime import scheduler, units

if typing.TYPE_CHECKING:
    from iriswheel.configuration import configuration


PREFILL_TOKENS_PER_MS = 50  # that a worker reads of a prompt
BATCH_REQUESTS = 64  # that a worker runs at once, where the configuration does not say
RUNNING_REQUEST_US = 60  # what one more running request costs a new one, in time to its first event
FULL_BATCH_US = 700 * units.MILLISECOND_US  # how long a request holds its place in a full batch
MAX_FIRST_TURNS = 16_384  # first turns remembered
MAX_RANKINGS = 1_024  # rankings remembered
LONG_PROMPT_TOKENS = 4_000  # of a prompt, shared parts and all, from which on it is long
RESERVED_RATIO = 0.34  # of the workers that read no long prompts
HEAVY_PREFILL_TOKENS = 2_000  # to read, from which on the load is reported to other nodes at once
PREFIX_MISS_FACTOR = 15  # reading a shared part anew counts so many times its time: others wait, and parts give way
JITTER_US = 3_000  # workers nearer than this are alike
REMOTE_LOAD_VALID_US = 1_500 * units.MILLISECOND_US  # others' sums older than this count for nothing
SUSPICION_HALF_LIFE_US = 2 * units.SECOND_US
SUSPICION_US = 1 * units.SECOND_US  # what full suspicion counts for in time
COLD_US = 200 * units.MILLISECOND_US  # what it counts for in time that a worker is cold
EJECTION_SUSPICION = 0.45  # from here on a worker gets nothing, as long as others are well
SUSPICION_AFTER_ANSWER = 0.7  # the part of it that is left after a complete answer
REMOTE_SUSPICION_WEIGHT = 0.4  # how much another node's suspicion counts beside one's own
MIN_FIRST_EVENT_TIMEOUT_US = 200 * units.MILLISECOND_US  # no first event is waited for less than this
UNRESPONSIVE_US = 700 * units.MILLISECOND_US  # a worker with attempts under way that says nothing for so long
REQUEST_COST = 100  # an open session's cost that counts like one request
SMOOTHING = 16  # the weight of what was measured before, against one more first event

LoadRow: typing.TypeAlias = tuple[str, int, int, int]  # worker, running, unread tokens, suspicion in percent
RemoteLoad: typing.TypeAlias = tuple[int, int, int]  # the same without the worker, of all other nodes together

NO_LOAD: RemoteLoad = (0, 0, 0)


class FirstTurn(typing.NamedTuple):
    """The first request with a prompt's last part: if another comes before it expires, they are a session."""

    worker: str
    expires_at_us: int


NO_FIRST_TURN = FirstTurn("", 0)


def prefix_keys(parts: list[str]) -> list[bytes]:
    """Return a key for each part that stands for all parts up to it.

    >>> a, b = prefix_keys(["x", "y"]), prefix_keys(["z", "y"]); a[1] == b[1], prefix_keys(["x"])[0] == a[0]
    (False, True)
    """
    keys, key = [], b""
    for part in parts:
        key = hashlib.blake2b(key + part.encode(), digest_size=8).digest()
        keys.append(key)
    return keys


def rendezvous_weight(key: bytes, worker: str) -> bytes:
    """Return the weight of a worker for a key; the same on every node.

    >>> rendezvous_weight(b"k", "w1") == rendezvous_weight(b"k", "w1"), rendezvous_weight(b"k", "w1") == rendezvous_weight(b"k", "w2")
    (True, False)
    """
    return hashlib.blake2b(worker.encode(), digest_size=8, key=key).digest()


def prefill_time_us(tokens: int) -> int:
    """Return how long a worker reads at so many tokens of a prompt.

    >>> prefill_time_us(100)
    2000
    """
    return tokens * 1000 // PREFILL_TOKENS_PER_MS


class SizedPrompt(typing.Protocol):
    """A request as far as placement concerns it."""

    sizes: list[int]  # the tokens of its parts


class Placement:
    """One node's placement over one pool."""

    def __init__(self, runtime: scheduler.Runtime, pool: str) -> None:
        self.runtime = runtime
        self.pool = pool
        self.workers: dict[str, worker_estimate.WorkerEstimate] = {}
        self.remote_loads: dict[str, RemoteLoad] = {}  # by worker
        self.remote_loads_received_at_us = 0  # when the others' load last came
        # mean and deviation of the first events of short prompts, beyond what was expected
        self.first_event_mean_us, self.first_event_deviation_us = 60_000.0, 30_000.0
        # called when an attempt changes a worker's load by much, and when anything changes
        self.on_heavy_load_change: collections.abc.Callable[[], object] = lambda: None
        self.on_load_change: collections.abc.Callable[[], object] = lambda: None
        self.session_table: sessions.SessionTable[bytes] = sessions.SessionTable()
        # by last part's key, the oldest first: each may yet become a session
        self.first_turns: collections.OrderedDict[bytes, FirstTurn] = collections.OrderedDict()
        # (key, workers) -> the workers by weight
        self.rankings: collections.OrderedDict[tuple[bytes, tuple[str, ...]], list[str]] = collections.OrderedDict()

    def estimate(self, worker: str) -> worker_estimate.WorkerEstimate:
        """Return what is known of a worker.

        >>> Placement(scheduler.Runtime(None, now=lambda: 0), "p").estimate("w1").running
        0
        """
        estimate = self.workers.get(worker)
        if estimate is None:
            estimate = self.workers[worker] = worker_estimate.WorkerEstimate()
        return estimate

    def rank(self, key: bytes, workers: tuple[str, ...]) -> list[str]:
        """Return the workers by weight for a key, the heaviest first.

        >>> placement = Placement(scheduler.Runtime(None, now=lambda: 0), "p")
        >>> sorted(placement.rank(b"k", ("w1", "w2")))
        ['w1', 'w2']
        """
        ranking = self.rankings.get((key, workers))
        if ranking is None:
            ranking = sorted(workers, key=lambda worker: rendezvous_weight(key, worker), reverse=True)
            self.rankings[key, workers] = ranking
            if len(self.rankings) > MAX_RANKINGS:
                self.rankings.popitem(last=False)
        return ranking

    def recent_remote_load(self, worker: str, now: int) -> RemoteLoad:
        """Return what all other nodes together say of a worker, unless that is old.

        >>> Placement(scheduler.Runtime(None, now=lambda: 0), "p").recent_remote_load("w1", 0)
        (0, 0, 0)
        """
        return (
            self.remote_loads.get(worker, NO_LOAD)
            if now - self.remote_loads_received_at_us < REMOTE_LOAD_VALID_US
            else NO_LOAD
        )

    # ---- health -------------------------------------------------------------------------

    def suspicion(self, worker: str, now: int) -> float:
        """Return the suspicion of a worker, 0 to 1: one's own, and a part of the others'.

        >>> placement = Placement(scheduler.Runtime(None, now=lambda: 0), "p"); placement.record_failure("w1", 0.5)
        >>> placement.suspicion("w1", 0)
        0.5
        """
        _, _, remote_percent = self.recent_remote_load(worker, now)
        return min(1.0, self.own_suspicion(worker, now) + REMOTE_SUSPICION_WEIGHT * remote_percent / 100)

    def own_suspicion(self, worker: str, now: int) -> float:
        """Return this node's own suspicion of a worker, which fades.

        >>> placement = Placement(scheduler.Runtime(None, now=lambda: 0), "p"); placement.record_failure("w1", 0.5)
        >>> placement.own_suspicion("w1", 2 * units.SECOND_US)
        0.25
        """
        estimate = self.workers.get(worker)
        if estimate is None or not estimate.suspicion:
            return 0.0
        fading: float = 0.5 ** ((now - estimate.suspected_at_us) / SUSPICION_HALF_LIFE_US)
        return estimate.suspicion * fading

    def record_failure(self, worker: str, suspicion: float) -> None:
        """Trust a worker less that failed or fell silent, and let the other nodes know.

        >>> placement = Placement(scheduler.Runtime(None, now=lambda: 5), "p")
        >>> placement.record_failure("w1", 0.5); placement.is_unhealthy("w1", 5)
        True
        """
        now = self.runtime.now()
        estimate = self.estimate(worker)
        estimate.suspicion, estimate.suspected_at_us = min(1.0, self.own_suspicion(worker, now) + suspicion), now
        self.on_load_change()
        self.on_heavy_load_change()

    def record_success(self, worker: str) -> None:
        """Trust a worker more that gave a complete answer.

        >>> placement = Placement(scheduler.Runtime(None, now=lambda: 5), "p")
        >>> placement.record_failure("w1", 0.5); placement.record_success("w1"); placement.is_unhealthy("w1", 5)
        False
        """
        self.estimate(worker).suspicion *= SUSPICION_AFTER_ANSWER

    def record_return(self, worker: str) -> None:
        """Trust a worker again that could not be reached for a while.

        >>> placement = Placement(scheduler.Runtime(None, now=lambda: 5), "p")
        >>> placement.record_failure("w1", 0.5); placement.record_return("w1"); placement.suspicion("w1", 5)
        0.0
        """
        self.estimate(worker).suspicion = 0.0
        self.on_load_change()

    def is_unhealthy(self, worker: str, now: int) -> bool:
        """Whether a worker is to get nothing as long as others are well."""
        return self.suspicion(worker, now) > EJECTION_SUSPICION or self.is_unresponsive(worker, now)

    def is_unresponsive(self, worker: str, now: int) -> bool:
        """Whether a worker that has attempts of this node says nothing to any of them.

        >>> Placement(scheduler.Runtime(None, now=lambda: 0), "p").is_unresponsive("w1", 0)
        False
        """
        estimate = self.workers.get(worker)
        if estimate is None or not estimate.running:
            return False
        return now - max(estimate.busy_since_us, estimate.last_contact_us) > UNRESPONSIVE_US

    def first_event_timeout_us(self, expected_us: int) -> int:
        """Return how long a first event is waited for that was expected after so long.

        >>> Placement(scheduler.Runtime(None, now=lambda: 0), "p").first_event_timeout_us(10_000)
        200000
        """
        return max(
            MIN_FIRST_EVENT_TIMEOUT_US,
            int(expected_us * 1.5 + self.first_event_mean_us + 4 * self.first_event_deviation_us),
        )

    # ---- selection ----------------------------------------------------------------------

    def wait_us(self, worker: str, pool: configuration.Pool, now: int) -> int:
        """Return how long a new request would wait at a worker before its own prompt is read.

        Only real requests in flight count here: this is what admission looks at.
        """
        estimate = self.estimate(worker)
        running, unread, _ = self.recent_remote_load(worker, now)
        running += estimate.running
        unread += estimate.unread_tokens
        batch = pool.batch or BATCH_REQUESTS
        wait_us = unread * 1000 // PREFILL_TOKENS_PER_MS + running * RUNNING_REQUEST_US
        if running >= batch:
            wait_us += FULL_BATCH_US * (running - batch + 1) // batch
        return wait_us

    def reserved_for_short_prompts(self, workers: tuple[str, ...]) -> set[str]:
        """Return the workers that read no long prompts; the same on every node.

        While many shared parts are read for the first time, long prompts would fill every worker,
        and all short ones, which are many more, would wait behind them.

        >>> placement = Placement(scheduler.Runtime(None, now=lambda: 0), "p")
        >>> len(placement.reserved_for_short_prompts(tuple("abcdef")))
        2
        """
        if len(workers) <= 2:
            return set()
        return set(self.rank(b"spared", workers)[: round(len(workers) * RESERVED_RATIO)])

    def prefill_us(
        self, worker: str, keys: list[bytes], sizes: list[int], unshared_tokens: int, workers: tuple[str, ...]
    ) -> int:
        """Return how long a worker would read at a prompt, less what its cache is likely to hold.

        The shared parts are kept at their home, the worker that ranks first for the last of them,
        and where this node sent them lately.
        """
        parts = self.estimate(worker).parts
        prefill_us = unshared_tokens * 1000 // PREFILL_TOKENS_PER_MS
        if not keys or (workers and self.rank(keys[-1], workers)[0] == worker):
            return prefill_us
        missing = False
        for key, size in zip(keys, sizes, strict=False):
            missing = missing or key not in parts
            if missing:
                prefill_us += size * 1000 * PREFIX_MISS_FACTOR // PREFILL_TOKENS_PER_MS
        return prefill_us

    def pick(
        self,
        prompt: SizedPrompt,
        keys: list[bytes],
        unshared_tokens: int,
        ready: list[str],
        *,
        pool: configuration.Pool,
        excluded_workers: set[str],
        cold_workers: collections.abc.Set[str] = frozenset(),
    ) -> tuple[str, int]:
        """Select the worker for a request.

        Args:
            prompt: The request's parts' sizes.
            keys: The parts' chain keys.
            own_tokens: Its tokens that no other request shares.
            ready: The workers that may be sent to.
            pool: The pool's configuration.
            excluded_workers: The workers that earlier attempts went to.
            cold_workers: Those of the ready workers that are cold.

        Returns:
            The worker, "" where there is none, and how long the request waits there in microseconds.
        """
        now = self.runtime.now()
        session = self.session_table.affinity(keys[-1]) if keys else None
        if session is not None and session.worker in ready and session.worker not in excluded_workers:
            return session.worker, self.wait_us(session.worker, pool, now)
        candidates = self._candidates(ready, excluded_workers, now)
        if not candidates:
            return "", 0
        if keys:
            first_turn = self.first_turns.get(keys[-1], NO_FIRST_TURN)
            worker = first_turn.worker
            if worker in candidates and first_turn.expires_at_us > now:
                return worker, self.wait_us(worker, pool, now)  # a second turn: its prefix is held there
        # No shared part has its home at a cold worker, which most nodes can't send to.
        workers = tuple(worker for worker in ready if worker not in cold_workers) or tuple(ready)
        shared_keys = keys[:-1]
        reserved = self.reserved_for_short_prompts(workers)
        if (
            unshared_tokens + sum(size for _, size in zip(shared_keys, prompt.sizes, strict=False))
            >= LONG_PROMPT_TOKENS
        ):
            workers = tuple(worker for worker in workers if worker not in reserved)
            candidates = [worker for worker in candidates if worker not in reserved] or candidates
        return self._nearest(
            candidates, shared_keys, prompt.sizes[:-1], unshared_tokens, workers, pool=pool, cold_workers=cold_workers
        )

    def _candidates(self, ready: list[str], excluded_workers: set[str], now: int) -> list[str]:
        """Return the healthy workers not yet tried; all not yet tried where less than half of them are healthy.

        So many failures at once point to this node or its network rather than to the workers.
        """
        untried = [worker for worker in ready if worker not in excluded_workers]
        healthy = [worker for worker in untried if not self.is_unhealthy(worker, now)]
        return healthy if 2 * len(healthy) >= len(untried) else untried

    def _nearest(
        self,
        candidates: list[str],
        keys: list[bytes],
        sizes: list[int],
        unshared_tokens: int,
        workers: tuple[str, ...],
        *,
        pool: configuration.Pool,
        cold_workers: collections.abc.Set[str],
    ) -> tuple[str, int]:
        """Return the candidate with the least time to the first event, and how long the request waits there."""
        now = self.runtime.now()
        best, best_wait_us, least_us = "", 0, None
        for worker in candidates:
            wait_us = self.wait_us(worker, pool, now)
            total_us = wait_us + self.prefill_us(worker, keys, sizes, unshared_tokens, workers)
            total_us += self.session_table.load(worker) * RUNNING_REQUEST_US // REQUEST_COST  # reserved by sessions
            total_us += int(self.suspicion(worker, now) * SUSPICION_US)
            total_us += COLD_US if worker in cold_workers else 0
            total_us += self.runtime.rng.randrange(JITTER_US)
            if least_us is None or total_us < least_us:
                best, best_wait_us, least_us = worker, wait_us, total_us
        return best, best_wait_us

    # ---- attempts -----------------------------------------------------------------------

    def begin_attempt(self, worker: str, keys: list[bytes], sizes: list[int], unshared_tokens: int) -> int:
        """Count an attempt in its worker's load; returns the prompt tokens that the worker will likely read for it."""
        estimate = self.estimate(worker)
        tokens = unshared_tokens
        for key, size in zip(keys, sizes, strict=False):
            if key not in estimate.parts:
                tokens += size
        estimate.note_parts(keys, sizes)
        if not estimate.running:
            estimate.busy_since_us = self.runtime.now()
        estimate.running += 1
        estimate.unread_tokens += tokens
        self.on_load_change()
        if tokens >= HEAVY_PREFILL_TOKENS:
            self.on_heavy_load_change()
        return tokens

    def record_first_event(self, worker: str, tokens: int, took_us: int, expected_us: int) -> None:
        """Note that an attempt's first event came after so long: its prompt's tokens are read."""
        self.estimate(worker).unread_tokens -= tokens
        self.on_load_change()
        if tokens < HEAVY_PREFILL_TOKENS:
            error_us = took_us - expected_us - self.first_event_mean_us
            self.first_event_mean_us = max(0.0, self.first_event_mean_us + error_us / SMOOTHING)
            self.first_event_deviation_us += (abs(error_us) - self.first_event_deviation_us) / SMOOTHING

    def note_contact(self, worker: str) -> None:
        """Note that a worker said something."""
        self.estimate(worker).last_contact_us = self.runtime.now()

    def end_attempt(self, worker: str, tokens: int) -> None:
        """Take an ended attempt out of its worker's load; `tokens` are those of its prompt that were never read."""
        estimate = self.estimate(worker)
        estimate.running -= 1
        self.on_load_change()
        estimate.unread_tokens -= tokens

    # ---- sessions -----------------------------------------------------------------------

    def note_turn(self, key: bytes, worker: str, terms: configuration.Terms, cap: int) -> None:
        """Note a turn: the second one with the same last part opens a session, if the cap allows.

        Nobody says whether a prompt's last part is a conversation's or one request's own, and a
        record for each of the latter would fill every cap. So the first turn is only remembered, which
        counts for nothing but placement.
        """
        now = self.runtime.now()
        session = self.session_table.affinity(key)
        if session is not None and session.worker != worker:
            self.session_table.close(key)
            session = None
        if session is not None:
            session.lifetime_us, session.cost = terms.lifetime_us, terms.cost
            self.session_table.extend(session, now)
            return
        first_turn = self.first_turns.pop(key, NO_FIRST_TURN)
        if first_turn.expires_at_us > now and (not cap or self.session_table.count(worker) < cap):
            self.session_table.open(key, worker, now, terms.lifetime_us, terms.cost)
            return
        self.first_turns[key] = FirstTurn(worker, now + terms.lifetime_us)
        if len(self.first_turns) > MAX_FIRST_TURNS:
            self.first_turns.popitem(last=False)

    def sweep(self, ready: set[str]) -> None:
        """Close sessions past their lifetime, and those of workers that are ready no more.

        >>> Placement(scheduler.Runtime(None, now=lambda: 0), "p").sweep({"w1"})
        """
        now = self.runtime.now()
        self.session_table.sweep(now)
        for worker in [worker for worker in self.session_table.by_worker if worker not in ready]:
            self.session_table.evict(worker)
        while self.first_turns and next(iter(self.first_turns.values())).expires_at_us < now:
            self.first_turns.popitem(last=False)
        for worker in [name for name, estimate in self.workers.items() if name not in ready and not estimate.running]:
            del self.workers[worker]

    # ---- load exchange ------------------------------------------------------------------

    def export(self) -> list[LoadRow]:
        """Return this node's own load, for the load exchange.

        Suspicion travels in steps of ten percent, so that its decay does not cause a report each time.

        >>> placement = Placement(scheduler.Runtime(None, now=lambda: 0), "p"); placement.record_failure("w1", 0.5)
        >>> placement.export()
        [('w1', 0, 0, 50)]
        """
        now = self.runtime.now()
        rows = [
            (worker, estimate.running, max(0, estimate.unread_tokens), int(self.own_suspicion(worker, now) * 10) * 10)
            for worker, estimate in sorted(self.workers.items())
        ]
        return [row for row in rows if row[1] or row[3]]

    def apply_remote_loads(self, rows: list[LoadRow], complete: bool) -> None:
        """Take the other nodes' sums: all of them, or what changed.

        >>> placement = Placement(scheduler.Runtime(None, now=lambda: 0), "p")
        >>> placement.apply_remote_loads([("w1", 3, 900, 0)], True); placement.remote_loads["w1"]
        (3, 900, 0)
        """
        if complete:
            self.remote_loads = {}
        for worker, running, unread, suspicion in rows:
            if running or unread or suspicion:
                self.remote_loads[worker] = (running, unread, suspicion)
            else:
                self.remote_loads.pop(worker, None)
        self.remote_loads_received_at_us = self.runtime.now()

    def state(self) -> dict[str, typing.Any]:
        """Return what this placement shows of itself in the node's state.

        >>> Placement(scheduler.Runtime(None, now=lambda: 0), "p").state()["sessions"]
        {}
        """
        return {
            "pool": self.pool,
            "sessions": {
                worker: len(records) for worker, records in sorted(self.session_table.by_worker.items()) if records
            },
            "trials": len(self.first_turns),
            "running": {worker: estimate.running for worker, estimate in sorted(self.workers.items())},
        }
