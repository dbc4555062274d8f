"""What operators are told of an order that is too old for a decision."""

from iriswheel import errors
from iriswheel.control import change_orders

FORGOTTEN = change_orders.KnownState(version=9, items={}, taken_as=0, forgotten=5, read_at_tail=True)


def test_an_order_that_may_have_been_forgotten_is_unknown_and_says_why() -> None:
    order = change_orders.ChangeOrder("c4-3-0a", number=4, built_on=3, make=dict)
    decision = change_orders.decide(FORGOTTEN, order)
    assert isinstance(decision, change_orders.Refused)
    assert decision.error.execution is errors.ExecutionOutcome.MAY_HAVE_RUN
    assert decision.error.text == "Changes of that age are no longer remembered."
