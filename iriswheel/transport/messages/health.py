"""Messages between nodes about workers that one of the nodes can't reach: probes and relays."""

import enum

import iriswheel.transport.messages.base as message_base
import iriswheel.transport.messages.membership as membership_messages


class ProbeOutcome(enum.StrEnum):
    """The outcome of a probe of a worker; the field on the wire stays a plain string."""

    ANSWERED = "answer"
    UNRESPONSIVE = "mute"  # it accepts the connection but sends no answer
    NOT_REACHED = "none"


class ProbeRequest(message_base.Message, tag="Probe", frozen=True):
    """A pool owner asks another node to probe a worker."""

    worker: membership_messages.Worker


class ProbeResponse(message_base.Message, tag="Probed", frozen=True):
    """The answer to `ProbeRequest`."""

    outcome: str  # a `ProbeOutcome`
    load: tuple[int, int] | None  # requests running and queued; None if the worker did not report them


class WorkerUnreachable(message_base.Message, tag="Dark", frozen=True):
    """Announces that no node reaches a worker, so that waiting for a first byte from it is useless."""

    worker: str


class RelayRequest(message_base.Message, tag="Pass", frozen=True):
    """Ask a member to relay one request to a worker that the asking node does not reach."""

    worker: str


class RelayResponse(message_base.Message, tag="Passed", frozen=True):
    """The answer to `RelayRequest`."""

    token: str  # admits one request at the member's HTTP port; "" if the member can't relay
