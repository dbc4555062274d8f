"""A pool owner selects no worker for a retry if it can't rule out in time that another pool sent the request.

Selecting a worker nevertheless could run a request twice that must not run twice.
"""

from types import SimpleNamespace
from typing import Any

from twisted.internet import defer, task

from iriswheel import errors
from iriswheel.pools import pool_owner
from iriswheel.runtime import scheduler, units
from iriswheel.transport import message
from tests import deferreds

RETRIED = message.SelectWorker(
    pool="desk",
    term=(1, 1),
    node="n1",
    attempt_id="n1-1/0",
    request_id="x1",
    attempt=2,
    idempotent=False,
    session="",
    prefix=[],
    work=20,
    long=False,
    excluded_workers=[],
    terms={},
    wait_us=0,
)


def select(clock: task.Clock, asked: list[str], *, query_s: float) -> defer.Deferred[Any]:
    """Select a worker for a retry within a second, while each check with the other pools takes `query_s` and fails."""
    runtime = scheduler.Runtime(clock, now=lambda: round(clock.seconds() * units.SECOND_US))

    async def check_other_pools(_request: message.SelectWorker) -> tuple[bool, None]:
        asked.append("other pools checked")
        await runtime.sleep(int(query_s * units.SECOND_US))
        return False, None

    async def choose(_request: message.SelectWorker, _pool: object) -> None:
        asked.append("worker chosen")

    owner: Any = SimpleNamespace(
        runtime=runtime,
        pool="desk",
        node=SimpleNamespace(follower=SimpleNamespace(pool=lambda _name: "a pool")),
        slot_freed=scheduler.Signal(),
        is_active=lambda: True,
        deny=lambda code, _text, outcome: (code, outcome),
        _immediate_response=lambda _request, _pool: None,
        _check_other_pools=check_other_pools,
        _choose=choose,
    )
    return defer.ensureDeferred(pool_owner.PoolOwner._select_until(owner, RETRIED, units.SECOND_US))


def test_a_retry_is_denied_without_a_worker_if_the_other_pools_do_not_answer_in_time() -> None:
    clock, asked = task.Clock(), list[str]()
    selected = select(clock, asked, query_s=0.4)
    clock.pump([0.1] * 15)
    # MAY_HAVE_RUN refers to the earlier attempt
    assert deferreds.result_of(selected) == ("busy", errors.ExecutionOutcome.MAY_HAVE_RUN)
    assert asked == ["other pools checked"] * 3
