"""Messages by which nodes charge requests to the tenants' rate limits."""

import enum

import iriswheel.transport.messages.base as message_base


class ChargeOutcome(enum.StrEnum):
    """What became of a charge; the field on the wire stays a plain string."""

    CHARGED = "charged"
    EXCEEDED = "exceeded"  # the tenant is beyond its limit
    NOT_OWNER = "not_owner"  # the member that was asked does not keep this tenant's bucket


class ChargeRequest(message_base.Message, tag="Charge", frozen=True):
    """A node asks a tenant's owner: may this request run?"""

    tenant: str
    cost: float  # in the unit of the tenant's limit


class ChargeResponse(message_base.Message, tag="Charged", frozen=True):
    """The answer to `ChargeRequest`."""

    outcome: str  # a `ChargeOutcome`
    wait_us: int = 0  # how long the refused request should wait


class ChargeRefund(message_base.Message, tag="Refund", frozen=True):
    """A charged request did not run."""

    tenant: str
    cost: float
