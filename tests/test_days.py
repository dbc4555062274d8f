"""Days of the users' platform keep its rules, and break them once a guard of the product is taken out.

A guard is taken out where the day's trouble needs it: so the judge is seen to complain of the product itself, not
of doctored logs alone.
"""

import contextlib
import functools
import multiprocessing
from unittest import mock

import pytest

from iriswheel import errors
from iriswheel.dataplane import answer_stream, forwarded_request, forwarding, retry_budget
from iriswheel.node import follower, node
from iriswheel.runtime import units
from simulation import disk_model, platform_days, platform_programs, platform_rules

CLEAN = [
    ("calm", 1, "magnolia"),
    ("calm", 1, "swan"),
    ("changes", 1, "magnolia"),
    ("race", 1, "swan"),
    ("crash_dark", 1, "swan"),
    ("release_all", 1, "magnolia"),
    ("other_service", 1, "magnolia"),
    ("kill_core", 1, "magnolia"),
    ("roll", 1, "swan"),
    ("cut_node", 1, "swan"),
    ("garble", 1, "swan"),
    ("surplus", 1, "magnolia"),
    ("answers_lost", 1, "swan"),
    ("broken_off", 1, "magnolia"),
    ("grey", 1, "magnolia"),
    ("closing_power", 1, "magnolia"),
    ("mixed", 1, "swan"),
]


def _always_repeat(self, request_id, place, init=forwarded_request.ForwardedRequest.__init__):
    init(self, request_id, place)
    self.idempotent = True


def _promise(self, x, code, text, back_us=0):
    return errors.ServiceError("busy", text, retry_us=150_000)


def _first_list(self, workers, *more, take=follower.Follower.apply_workers):
    take(self, self.workers or workers, *more)


def _first_items(self, n, items, whole, take=follower.Follower.apply_items):
    """Says that it has applied everything, and goes by the first that it got."""
    if self.items is None or not self.items:
        take(self, n, items, whole)
    else:
        self.applied_index = max(self.applied_index, n)


async def _leave_at_once(self):
    self.stopped = True


async def _leave_with_the_last_request(self):
    self.draining = True
    while (
        not self.drain_noticed_at_us
        or self.runtime.now() < self.drain_noticed_at_us + self.options.notice_us
        or self.gateway.open
    ):
        await self.runtime.pause(self.gateway.closed, 100 * units.MILLISECOND_US)
    self.stopped = True


_sent_headers = []


def _stale_head(self, request, size, *more, head=platform_programs.formats.Formats.head):
    _sent_headers.append(head(self, request, size, *more))
    return _sent_headers[-2] if len(_sent_headers) > 50 else _sent_headers[-1]


def _no_target(self, *args, head=platform_programs.formats.Formats.head):
    return b"\r\n".join(line for line in head(self, *args).split(b"\r\n") if not line.lower().startswith(b"x-target"))


# guard -> what is put in its place, the day, its seed, the rule that must be seen broken
GUARDS = {
    "own_answers": (
        [(platform_programs.formats.Formats, "is_answer_to", lambda self, tag, status, headers: True)],
        "surplus",
        1,
        "mixed",
    ),
    "seal": (
        [(platform_programs.formats.Formats, "client_headers", lambda self, headers, worker: [])],
        "calm",
        1,
        "mixed",
    ),
    "own_heads": ([(platform_programs.formats.Formats, "head", _stale_head)], "calm", 1, "unasked"),
    "target": ([(platform_programs.formats.Formats, "head", _no_target)], "other_service", 1, "route"),
    "once": (
        [
            (forwarded_request.ForwardedRequest, "__init__", _always_repeat),
            (forwarding.Forwarder, "may_repeat", lambda self, x: x.sends < 3),
        ],
        "some_fail",
        1,
        "twice",
    ),
    "promises": ([(forwarding.Forwarder, "give_up", _promise)], "some_fail", 1, "refused"),
    "complete_events": ([(answer_stream, "complete_events", lambda raw: (raw, b""))], "broken_off", 1, "order"),
    "worker_states": ([(follower.Follower, "apply_workers", _first_list)], "release", 1, "drain"),
    "drain": ([(node.Node, "stop", _leave_at_once)], "roll", 1, "lost"),
    "last_bytes": ([(node.Node, "stop", _leave_with_the_last_request)], "roll", 4, "lost"),
    "routes": ([(follower.Follower, "find", lambda self, host, path: None)], "calm", 1, "denied"),
    "news": ([(follower.Follower, "apply_items", _first_items)], "changes", 1, "config"),
    "budget": ([(retry_budget.Budget, "has_capacity", lambda self, now: True)], "all_fail", 1, "budget"),
    "disk": ([(disk_model.Disk, "read", lambda self: {})], "closing_power", 1, "config"),
}
OWN = {  # days that only a guard's absence needs
    "some_fail": lambda site: (site.advance(2), site.faults.make_unhealthy(site.live_workers(), 8, garble=0.3)),
    "all_fail": lambda site: (site.advance(2), site.faults.make_unhealthy(site.live_workers(), 12, garble=0.9)),
}


def play(job):
    """Play a day, perhaps with a guard out: what the judge says, the log of a calm one, and what ills there were."""
    name, seed, shape, guard = job
    with contextlib.ExitStack() as stack:
        for owner, what, instead in GUARDS[guard][0] if guard else ():
            stack.enter_context(mock.patch.object(owner, what, instead))
        stack.enter_context(mock.patch.dict(platform_days.DAYS, OWN))
        s = platform_days.play(name, seed, shape)
    ran = {r["how"] for r in s.event_log.rows if r["kind"] == "ran"}
    return (
        job,
        platform_rules.examine(s.event_log.rows),
        s.event_log.text() if name == "calm" and not guard else "",
        ran,
        platform_days.totals(s),
    )


@functools.cache
def played(name, seed, shape):
    """What a day with all guards gives; a process plays each such day once."""
    return play((name, seed, shape, ""))


def test_a_seed_gives_the_same_log_to_the_byte() -> None:
    job = ("calm", 1, "magnolia", "")
    with multiprocessing.Pool(2, maxtasksperchild=1) as pool:
        (_, _, one, *_), (_, _, other, *_) = pool.map(play, [job, job], chunksize=1)
    assert len(other) > 100_000
    differ = other != one  # not compared within the assertion: a report of the difference takes minutes
    assert not differ


@pytest.mark.parametrize(("name", "seed", "shape"), [pytest.param(*run, id="{}-{}-{}".format(*run)) for run in CLEAN])
def test_a_day_breaks_no_rule(name: str, seed: int, shape: str) -> None:
    _, complaints, *_ = played(name, seed, shape)
    assert complaints == {}


@pytest.mark.parametrize(
    ("name", "shape", "unhealthy"),
    [("garble", "swan", "garble"), ("answers_lost", "swan", "lost"), ("broken_off", "magnolia", "broke")],
)
def test_the_faults_of_a_day_happen(name: str, shape: str, unhealthy: str) -> None:
    _, _, _, ran, _ = played(name, 1, shape)
    assert unhealthy in ran


@pytest.mark.parametrize("shape", ["magnolia", "swan"])
def test_a_calm_day_is_served_in_its_aim(shape: str) -> None:
    *_, got = played("calm", 1, shape)
    # a long answer beside three long prompts may pass its deadline, as it does once on swan
    assert got["none"] < 0.001 * got["asked"]
    assert got["in_aim"] > 0.95 * got["asked"]


@pytest.mark.parametrize("guard", GUARDS)
def test_a_day_without_a_guard_breaks_its_rule(guard: str) -> None:
    _, day, seed, rule = GUARDS[guard]
    _, complaints, *_ = play((day, seed, "magnolia", guard))
    assert rule in complaints
