"""A pool owner whose time for a selection runs out while another pool can't be asked yet chooses no worker."""

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


def select(clock: task.Clock, asked: list[str], *, takes_s: float) -> defer.Deferred[Any]:
    """Select for a request that was sent before, while the other pools can't say yet what became of it."""
    runtime = scheduler.Runtime(clock, now=lambda: round(clock.seconds() * units.SECOND_US))

    async def clear(_request: message.SelectWorker) -> tuple[bool, None]:
        asked.append("cleared")
        await runtime.sleep(int(takes_s * units.SECOND_US))
        return False, None

    async def choose(_request: message.SelectWorker, _pool: object) -> None:
        asked.append("chosen")

    owner: Any = SimpleNamespace(
        runtime=runtime,
        pool="desk",
        node=SimpleNamespace(follower=SimpleNamespace(pool=lambda _name: "a pool")),
        slot_freed=scheduler.Signal(),
        is_active=lambda: True,
        deny=lambda code, _text, outcome: (code, outcome),
        _immediate_response=lambda _request, _pool: None,
        _check_other_pools=clear,
        _choose=choose,
    )
    return defer.ensureDeferred(pool_owner.PoolOwner._select_until(owner, RETRIED, units.SECOND_US))


def test_a_retry_is_denied_without_a_worker_if_the_other_pools_do_not_answer_in_time() -> None:
    clock, asked = task.Clock(), list[str]()
    selected = select(clock, asked, takes_s=0.4)
    clock.pump([0.1] * 15)
    assert deferreds.result_of(selected) == ("busy", errors.ExecutionOutcome.MAY_HAVE_RUN)  # by the earlier send
    assert asked == ["cleared"] * 3
