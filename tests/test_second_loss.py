"""A second core machine is lost during the repair after a first loss: changes must go on being acknowledged.

A few of the cases are played here; `python -m simulation.second_loss` plays all.
"""

import pytest

from iriswheel.consensus import view_formation
from iriswheel.runtime import units
from iriswheel.transport import message
from simulation import second_loss, second_loss_cases

Case, Loss, Step, Target = (
    second_loss_cases.Case,
    second_loss_cases.Loss,
    second_loss_cases.Step,
    second_loss_cases.Target,
)

CASES = [
    Case(3, Loss.WIPED, Step.SEATED, Target.SAME, Loss.GONE, 1),
    Case(3, Loss.GONE, Step.REFILLED, Target.SAME, Loss.WIPED, 2),
    Case(3, Loss.PLANNED, Step.CHAINED, Target.SAME, Loss.PLANNED, 3),
    Case(3, Loss.GONE, Step.ACKNOWLEDGED, Target.SETTLED, Loss.GONE, 4),
    Case(3, Loss.WIPED, Step.SYNCED, Target.STRESS, Loss.WIPED, 5, slow_disk=True),
    Case(5, Loss.GONE, Step.CHAINED, Target.OTHER, Loss.GONE, 1),
    Case(5, Loss.PLANNED, Step.ACKNOWLEDGED, Target.SETTLED, Loss.WIPED, 2),
]
UNSYNCED_HEAD_CASES = [Case(3, Loss.GONE, Step.SYNCED, Target.STRESS, Loss.GONE, seed) for seed in (1, 2, 3)]


def chain_ignoring_synced_views(
    _view: message.View, _promises: dict[str, message.Promise], alive: dict[str, str]
) -> list[message.ChainReplica]:
    """In place of `view_formation.next_chain`: orders the chain by descending id, whichever copies are synced."""
    return [message.ChainReplica(identifier, alive[identifier]) for identifier in sorted(alive, reverse=True)]


def parameter_id(case: second_loss_cases.Case) -> str:
    """Return the id of a test parameter."""
    words = (case.first, case.step, case.target, case.second)
    return "-".join([str(case.cores), *(word.name.lower() for word in words), str(case.seed)])


@pytest.mark.parametrize("case", CASES, ids=parameter_id)
def test_changes_are_acknowledged_before_and_after_a_second_loss_during_a_repair(case: second_loss_cases.Case) -> None:
    outcome = second_loss.play(case)
    assert outcome.complaints == [], case.options()
    # Changes are acknowledged before and after the second loss.
    assert outcome.acknowledged > 10, case.options()
    assert outcome.first_change_us is not None, case.options()
    assert outcome.first_change_us < second_loss.REPAIR_TIMEOUT_S * units.SECOND_US, case.options()


def test_a_chain_with_an_unsynced_head_acknowledges_no_changes(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(view_formation, "next_chain", chain_ignoring_synced_views)
    found = [line for case in UNSYNCED_HEAD_CASES for line in second_loss.play(case).complaints]
    assert f"no change was acknowledged for {second_loss.REPAIR_TIMEOUT_S} s" in found
