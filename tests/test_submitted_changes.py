"""Decisions on changes whose id was dropped, or whose configuration is already in force."""

from typing import Any

from iriswheel import errors
from iriswheel.configuration import configuration
from iriswheel.control import submitted_changes

FORGOTTEN = submitted_changes.KnownState(
    version=9, items={}, accepted_version=0, highest_dropped_number=5, read_at_tail=True
)


def test_a_change_whose_id_may_have_been_dropped_has_an_unknown_outcome() -> None:
    change = submitted_changes.SubmittedChange("c4-3-0a", number=4, built_on=3, make_items=dict)
    decision = submitted_changes.decide(FORGOTTEN, change)
    assert isinstance(decision, submitted_changes.Refused)
    assert decision.error.execution is errors.ExecutionOutcome.MAY_HAVE_RUN
    assert decision.error.text == "Changes of that age are no longer remembered."


def test_a_configuration_already_in_force_is_proposed_so_that_its_id_is_stored() -> None:
    items: dict[str, Any] = {"pools/p": {}, "marks/operator": {"number": 4}}
    known = submitted_changes.KnownState(
        version=9, items=items, accepted_version=0, highest_dropped_number=0, read_at_tail=True
    )
    change = submitted_changes.SubmittedChange("c3-4-0a", 4, 3, lambda _items: {"pools/p": {}}, complete=True)
    assert submitted_changes.decide(known, change) == submitted_changes.Applicable([])


# Clients that do not behave: a refusal kept the change's document until the next search for garbage.
def test_a_refusal_does_not_refer_to_the_change() -> None:
    def refuse(_items: object) -> dict[str, Any]:
        raise configuration.InvalidConfigurationError(["channels: no list"])

    known = submitted_changes.KnownState(0, {}, 0, 0, read_at_tail=True)
    decision = submitted_changes.decide(known, submitted_changes.SubmittedChange("c0-3-x", 3, 0, refuse))
    assert isinstance(decision, submitted_changes.Refused)
    assert decision.error.__traceback__ is None
    assert decision.error.__context__ is None
