"""Messages by which nodes charge requests to the tenants' rate limits."""

import enum

import iriswheel.transport.messages.base as message_base


class ChargeOutcome(enum.StrEnum):
    """The outcome of a charge; the field on the wire stays a plain string."""

    CHARGED = "charged"
    EXCEEDED = "exceeded"  # the tenant is above its limit
    NOT_OWNER = "not_owner"  # the member does not own this tenant's token bucket


class ChargeRequest(message_base.Message, tag="Charge", frozen=True):
    """A node asks the owner of a tenant's rate limit whether a request may run, and charges its cost."""

    tenant: str
    cost: float  # cost of the request in the unit of the tenant's limit


class ChargeResponse(message_base.Message, tag="Charged", frozen=True):
    """The answer to `ChargeRequest`."""

    outcome: str  # a `ChargeOutcome`
    wait_us: int = 0  # time after which a refused request should be sent again


class ChargeRefund(message_base.Message, tag="Refund", frozen=True):
    """Gives a charge back, since the request did not run."""

    tenant: str
    cost: float
