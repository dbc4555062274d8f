"""Worker selection by the node that received the request, for pools whose election is "node".

A node selects the worker with the least expected time to the first event. The estimate adds up the prompt tokens
that wait for prefill at the worker, its running batch, and the prefill of those parts of the request's prompt that the
worker's prefix cache probably does not hold. A node sees its own attempts at once, and learns of the load from other
nodes through the load exchange. No message is needed to agree which worker caches a shared prefix: all nodes rank the
workers for a prefix alike, by rendezvous hashing.

A prompt comes as a list of parts. All parts but the last may be shared with other requests; the last part, and tokens
that belong to no part, are the request's own or those of one conversation.

The suspicion of a worker, from 0 to 1, rises with its failures and decays with time. It adds to the worker's estimate,
and a worker with a high suspicion gets no requests while enough other workers are healthy.
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


PREFILL_TOKENS_PER_MS = 50  # prefill speed of a worker
BATCH_REQUESTS = 64  # requests that a worker runs at once, if the configuration does not set it
RUNNING_REQUEST_US = 60  # delay of a new request's first event per request running at the worker
FULL_BATCH_US = 700 * units.MILLISECOND_US  # time for which a request occupies its slot in a full batch
MAX_FIRST_TURNS = 16_384  # entries of `Placement.first_turns`
MAX_RANKINGS = 1_024  # entries of the cache `Placement.rankings`
LONG_PROMPT_TOKENS = 4_000  # least size of a long prompt, shared parts included
RESERVED_RATIO = 0.34  # share of the ready workers that are given no long prompts
HEAVY_PREFILL_TOKENS = 2_000  # least prefill of an attempt that is reported to other nodes at once
PREFIX_MISS_FACTOR = 15
"""Weight of the prefill of a shared part that is not in the worker's prefix cache.

It exceeds 1 because the prefill also delays other requests, and the new entry evicts other parts from the cache.
"""

JITTER_US = 3_000  # range of the random time added to each estimate, so that nearly equal workers share requests
REMOTE_LOAD_VALID_US = 1_500 * units.MILLISECOND_US  # age from which on the load reported by other nodes is ignored
SUSPICION_HALF_LIFE_US = 2 * units.SECOND_US  # time in which a suspicion decays to one half
SUSPICION_PENALTY_US = 1 * units.SECOND_US  # time added to the estimate of a worker of suspicion 1
COLD_PENALTY_US = 200 * units.MILLISECOND_US  # time added to the estimate of a cold worker
EJECTION_SUSPICION = 0.45  # a worker above it gets no requests while enough other workers are healthy
SUSPICION_AFTER_ANSWER = 0.7  # factor applied to the suspicion after a complete answer
REMOTE_SUSPICION_WEIGHT = 0.4  # weight of the other nodes' suspicion, against 1 for this node's own
MIN_FIRST_EVENT_TIMEOUT_US = 200 * units.MILLISECOND_US  # lower bound of the time-out for a first event
UNRESPONSIVE_US = 700 * units.MILLISECOND_US  # silence after which a worker with attempts counts as unresponsive
REQUEST_COST = 100  # session cost that counts as much as one running request
SMOOTHING = 16  # divisor of a new measurement in the moving averages of first-event times

LoadRow: typing.TypeAlias = tuple[str, int, int, int]
"""A row of the load exchange: worker, running requests, unread prompt tokens, suspicion in percent."""

RemoteLoad: typing.TypeAlias = tuple[int, int, int]
"""The sums over all other nodes for one worker: running requests, unread prompt tokens, suspicion in percent."""

NO_LOAD: RemoteLoad = (0, 0, 0)


class FirstTurn(typing.NamedTuple):
    """The worker of the first request with a list of prompt parts; a second one before the expiry opens a session."""

    worker: str
    expires_at_us: int


NO_FIRST_TURN = FirstTurn("", 0)


def prefix_keys(parts: list[str]) -> list[bytes]:
    """Return for each part the key of the prompt prefix that ends with it.

    >>> a, b = prefix_keys(["x", "y"]), prefix_keys(["z", "y"]); a[1] == b[1], prefix_keys(["x"])[0] == a[0]
    (False, True)
    """
    keys, key = [], b""
    for part in parts:
        key = hashlib.blake2b(key + part.encode(), digest_size=8).digest()
        keys.append(key)
    return keys


def rendezvous_weight(key: bytes, worker: str) -> bytes:
    """Return the rendezvous weight of a worker for a key, which is the same on every node.

    >>> weight = rendezvous_weight(b"k", "w1")
    >>> weight == rendezvous_weight(b"k", "w1"), weight == rendezvous_weight(b"k", "w2")
    (True, False)
    """
    return hashlib.blake2b(worker.encode(), digest_size=8, key=key).digest()


def prefill_time_us(tokens: int) -> int:
    """Return the prefill time of a number of prompt tokens.

    >>> prefill_time_us(100)
    2000
    """
    return tokens * 1000 // PREFILL_TOKENS_PER_MS


class SizedPrompt(typing.Protocol):
    """The sizes of a prompt's parts, which is all that placement needs of the prompt."""

    sizes: list[int]  # tokens of each part


class Placement:
    """Selects workers of one pool for the requests of one node, and keeps the load and suspicion of each worker."""

    def __init__(self, runtime: scheduler.Runtime, pool: str) -> None:
        self.runtime = runtime
        self.pool = pool
        self.estimates: dict[str, worker_estimate.WorkerEstimate] = {}  # by worker id
        self.remote_loads: dict[str, RemoteLoad] = {}  # load from all other nodes, by worker
        self.remote_loads_received_at_us = 0  # time of the last report of the load exchange
        # mean and mean deviation of the delay of first events beyond the expected time, for short prefills
        self.first_event_mean_us, self.first_event_deviation_us = 60_000.0, 30_000.0
        # called for a load change that other nodes must learn at once, and for every load change
        self.on_heavy_load_change: collections.abc.Callable[[], object] = lambda: None
        self.on_load_change: collections.abc.Callable[[], object] = lambda: None
        self.session_table: sessions.SessionTable[bytes] = sessions.SessionTable()
        # by the key of the whole prompt, the oldest first; a second turn makes an entry a session
        self.first_turns: collections.OrderedDict[bytes, FirstTurn] = collections.OrderedDict()
        # cache: (key, workers) -> the workers by descending rendezvous weight
        self.rankings: collections.OrderedDict[tuple[bytes, tuple[str, ...]], list[str]] = collections.OrderedDict()

    def estimate(self, worker: str) -> worker_estimate.WorkerEstimate:
        """Return this node's estimate of a worker; a new one if the worker has none yet.

        >>> Placement(scheduler.Runtime(None, now=lambda: 0), "p").estimate("w1").running
        0
        """
        estimate = self.estimates.get(worker)
        if estimate is None:
            estimate = self.estimates[worker] = worker_estimate.WorkerEstimate()
        return estimate

    def rank(self, key: bytes, workers: tuple[str, ...]) -> list[str]:
        """Return the workers by descending rendezvous weight for a key.

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
        """Return the load of a worker from all other nodes; NO_LOAD if the last report is older than allowed.

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
        """Return the suspicion of a worker, 0 to 1: this node's own plus the weighted one of all other nodes.

        >>> placement = Placement(scheduler.Runtime(None, now=lambda: 0), "p"); placement.record_failure("w1", 0.5)
        >>> placement.suspicion("w1", 0)
        0.5
        """
        _, _, remote_percent = self.recent_remote_load(worker, now)
        return min(1.0, self.own_suspicion(worker, now) + REMOTE_SUSPICION_WEIGHT * remote_percent / 100)

    def own_suspicion(self, worker: str, now: int) -> float:
        """Return this node's own suspicion of a worker, which decays exponentially.

        >>> placement = Placement(scheduler.Runtime(None, now=lambda: 0), "p"); placement.record_failure("w1", 0.5)
        >>> placement.own_suspicion("w1", 2 * units.SECOND_US)
        0.25
        """
        estimate = self.estimates.get(worker)
        if estimate is None or not estimate.suspicion:
            return 0.0
        decay: float = 0.5 ** ((now - estimate.suspected_at_us) / SUSPICION_HALF_LIFE_US)
        return estimate.suspicion * decay

    def record_failure(self, worker: str, suspicion: float) -> None:
        """Raise the suspicion of a worker that failed or fell silent, and report it to the other nodes at once.

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
        """Lower the suspicion of a worker that gave a complete answer.

        >>> placement = Placement(scheduler.Runtime(None, now=lambda: 5), "p")
        >>> placement.record_failure("w1", 0.5); placement.record_success("w1"); placement.is_unhealthy("w1", 5)
        False
        """
        self.estimate(worker).suspicion *= SUSPICION_AFTER_ANSWER

    def record_return(self, worker: str) -> None:
        """Clear the suspicion of a worker that can be reached again.

        >>> placement = Placement(scheduler.Runtime(None, now=lambda: 5), "p")
        >>> placement.record_failure("w1", 0.5); placement.record_return("w1"); placement.suspicion("w1", 5)
        0.0
        """
        self.estimate(worker).suspicion = 0.0
        self.on_load_change()

    def is_unhealthy(self, worker: str, now: int) -> bool:
        """Whether a worker is to get no requests while enough other workers are healthy."""
        return self.suspicion(worker, now) > EJECTION_SUSPICION or self.is_unresponsive(worker, now)

    def is_unresponsive(self, worker: str, now: int) -> bool:
        """Whether a worker has sent nothing to this node for UNRESPONSIVE_US though it has attempts of this node.

        >>> Placement(scheduler.Runtime(None, now=lambda: 0), "p").is_unresponsive("w1", 0)
        False
        """
        estimate = self.estimates.get(worker)
        if estimate is None or not estimate.running:
            return False
        return now - max(estimate.busy_since_us, estimate.last_contact_us) > UNRESPONSIVE_US

    def first_event_timeout_us(self, expected_us: int) -> int:
        """Return the time-out for a first event, given the time after which it is expected.

        >>> Placement(scheduler.Runtime(None, now=lambda: 0), "p").first_event_timeout_us(10_000)
        200000
        """
        return max(
            MIN_FIRST_EVENT_TIMEOUT_US,
            int(expected_us * 1.5 + self.first_event_mean_us + 4 * self.first_event_deviation_us),
        )

    # ---- selection ----------------------------------------------------------------------

    def wait_us(self, worker: str, pool: configuration.Pool, now: int) -> int:
        """Return how long a new request would wait at a worker before the prefill of its own prompt starts.

        Only requests in flight count, not open sessions or suspicion, because admission decides by this value.
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
        """Return the workers that are given no long prompts; the same ones on every node.

        While many shared parts need their first prefill, long prompts would occupy every worker, and the short
        prompts, which are far more numerous, would all wait behind them.

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
        """Return the weighted prefill time of a prompt at a worker, without parts likely to be in its prefix cache.

        Shared parts are expected in the cache of their home worker, which ranks first for the last of them, and of
        workers to which this node sent them recently. From the first part that is missing there, the shared parts count
        PREFIX_MISS_FACTOR times.
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
            prompt: The sizes of the prompt's parts.
            keys: The prefix keys of the prompt's parts.
            unshared_tokens: The number of prompt tokens that no other request shares.
            ready: The workers to which this node may send the request.
            pool: The pool's configuration.
            excluded_workers: The workers to which earlier attempts went.
            cold_workers: The workers among `ready` that are cold.

        Returns:
            The worker, "" if there is none, and the wait before the prefill of the request there, in microseconds.
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
                return worker, self.wait_us(worker, pool, now)  # a second turn: that worker has the prefix in its cache
        # A cold worker is no home of shared parts, as most nodes may not send to it.
        workers = tuple(worker for worker in ready if worker not in cold_workers) or tuple(ready)
        shared_keys = keys[:-1]
        reserved = self.reserved_for_short_prompts(workers)
        if (
            unshared_tokens + sum(size for _, size in zip(shared_keys, prompt.sizes, strict=False))
            >= LONG_PROMPT_TOKENS
        ):
            workers = tuple(worker for worker in workers if worker not in reserved)
            candidates = [worker for worker in candidates if worker not in reserved] or candidates
        return self._select_fastest(
            candidates, shared_keys, prompt.sizes[:-1], unshared_tokens, workers, pool=pool, cold_workers=cold_workers
        )

    def _candidates(self, ready: list[str], excluded_workers: set[str], now: int) -> list[str]:
        """Return the healthy workers not yet tried, or all not yet tried if less than half of these are healthy.

        So many unhealthy workers at once point to a fault of this node or its network rather than of the workers.
        """
        untried = [worker for worker in ready if worker not in excluded_workers]
        healthy = [worker for worker in untried if not self.is_unhealthy(worker, now)]
        return healthy if 2 * len(healthy) >= len(untried) else untried

    def _select_fastest(
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
        """Return the candidate with the least estimate, and how long the request waits there before its prefill."""
        now = self.runtime.now()
        best, best_wait_us, least_us = "", 0, None
        for worker in candidates:
            wait_us = self.wait_us(worker, pool, now)
            total_us = wait_us + self.prefill_us(worker, keys, sizes, unshared_tokens, workers)
            # open sessions are expected to send further turns
            total_us += self.session_table.load(worker) * RUNNING_REQUEST_US // REQUEST_COST
            total_us += int(self.suspicion(worker, now) * SUSPICION_PENALTY_US)
            total_us += COLD_PENALTY_US if worker in cold_workers else 0
            total_us += self.runtime.rng.randrange(JITTER_US)
            if least_us is None or total_us < least_us:
                best, best_wait_us, least_us = worker, wait_us, total_us
        return best, best_wait_us

    # ---- attempts -----------------------------------------------------------------------

    def begin_attempt(self, worker: str, keys: list[bytes], sizes: list[int], unshared_tokens: int) -> int:
        """Add an attempt to its worker's load; returns the prompt tokens for which the worker likely needs prefill."""
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
        """Note the time to an attempt's first event, with which the prefill of its `tokens` is complete."""
        self.estimate(worker).unread_tokens -= tokens
        self.on_load_change()
        if tokens < HEAVY_PREFILL_TOKENS:
            error_us = took_us - expected_us - self.first_event_mean_us
            self.first_event_mean_us = max(0.0, self.first_event_mean_us + error_us / SMOOTHING)
            self.first_event_deviation_us += (abs(error_us) - self.first_event_deviation_us) / SMOOTHING

    def note_contact(self, worker: str) -> None:
        """Note that this node just received something from a worker."""
        self.estimate(worker).last_contact_us = self.runtime.now()

    def end_attempt(self, worker: str, tokens: int) -> None:
        """Remove an ended attempt from its worker's load; `tokens` are those still counted as unread for it."""
        estimate = self.estimate(worker)
        estimate.running -= 1
        self.on_load_change()
        estimate.unread_tokens -= tokens

    # ---- sessions -----------------------------------------------------------------------

    def note_turn(self, key: bytes, worker: str, terms: configuration.Terms, cap: int) -> None:
        """Note a turn: the second turn with the same key opens a session, if the worker's cap of sessions allows.

        A request does not say whether the last part of its prompt names a conversation or is used only once, and
        sessions for parts used only once would fill every cap. A first turn is therefore only remembered in
        `first_turns`: it directs the second turn to the same worker, but does not count as a session.
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
        """Close expired sessions and those of workers no longer ready; forget expired first turns and idle estimates.

        >>> Placement(scheduler.Runtime(None, now=lambda: 0), "p").sweep({"w1"})
        """
        now = self.runtime.now()
        self.session_table.sweep(now)
        for worker in [worker for worker in self.session_table.by_worker if worker not in ready]:
            self.session_table.evict(worker)
        while self.first_turns and next(iter(self.first_turns.values())).expires_at_us < now:
            self.first_turns.popitem(last=False)
        for worker in [name for name, estimate in self.estimates.items() if name not in ready and not estimate.running]:
            del self.estimates[worker]

    # ---- load exchange ------------------------------------------------------------------

    def export(self) -> list[LoadRow]:
        """Return this node's own load, for the load exchange.

        Suspicion is rounded down to steps of ten percent, so that its decay does not cause a report each time.

        >>> placement = Placement(scheduler.Runtime(None, now=lambda: 0), "p"); placement.record_failure("w1", 0.5)
        >>> placement.export()
        [('w1', 0, 0, 50)]
        """
        now = self.runtime.now()
        rows = [
            (worker, estimate.running, max(0, estimate.unread_tokens), int(self.own_suspicion(worker, now) * 10) * 10)
            for worker, estimate in sorted(self.estimates.items())
        ]
        return [row for row in rows if row[1] or row[3]]

    def apply_remote_loads(self, rows: list[LoadRow], complete: bool) -> None:
        """Store the load from the other nodes: all rows if `complete`, else only the rows that changed.

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
        """Return this placement's entry in the state that the node shows to operators.

        >>> Placement(scheduler.Runtime(None, now=lambda: 0), "p").state()["sessions"]
        {}
        """
        return {
            "pool": self.pool,
            "sessions": {
                worker: len(records) for worker, records in sorted(self.session_table.by_worker.items()) if records
            },
            "trials": len(self.first_turns),
            "running": {worker: estimate.running for worker, estimate in sorted(self.estimates.items())},
        }
