"""Client for the head and the tail of the chain: it sends proposals to the head and reads to the tail.

Where this machine is itself the head or the tail, the call stays in the process.
"""

from __future__ import annotations

import collections.abc
import typing

import loguru
from twisted.internet import defer
from twisted.python import failure

from iriswheel import errors
from iriswheel.control import tail_reads
from iriswheel.runtime import scheduler, units
from iriswheel.transport import message, wire

if typing.TYPE_CHECKING:
    from iriswheel.configuration import configuration
    from iriswheel.control import core_parts, counters

HEAD, TAIL = 0, -1  # indexes of replicas in the chain
TIMEOUT_US = 3 * units.SECOND_US  # longest duration of one call to the head or the tail
READ_RETRY_US = 900 * units.MILLISECOND_US  # time for which a failed read is retried, as while the tail has no lease
RETRY_DELAY_US = 30 * units.MILLISECOND_US

Result = typing.TypeVar("Result")

log = loguru.logger.bind(part="core")


def shield(deferred: defer.Deferred[Result]) -> defer.Deferred[Result]:
    """A Deferred with the result of the given one; cancelling it does not cancel the given one.

    A write in progress must run to its end, even if its caller has stopped waiting for the result.

    >>> deferred = defer.Deferred()
    >>> shield(deferred).addErrback(lambda f: None).cancel()
    >>> deferred.called
    False
    """
    shielded: defer.Deferred[Result] = defer.Deferred()

    def pass_on(result: Result | failure.Failure) -> None:
        if not shielded.called:
            shielded.callback(result)
        elif isinstance(result, failure.Failure):
            log.error(
                "A call to this machine's own replica failed after its caller had stopped waiting: {traceback}",
                traceback=result.getTraceback(),
            )

    deferred.addBoth(pass_on)
    return shielded


class ChainClient:
    """Proposes changes to the head and reads the committed state at the tail."""

    def __init__(self, parts: core_parts.CoreParts, counters: counters.Counters) -> None:
        self.parts = parts
        self.counters = counters
        self._reads = tail_reads.TailReads(parts.runtime, self._read)
        self._reads_view = 0  # number of the view whose tail they go to

    async def read_at_tail(self, identifier: str, timeout_us: int = TIMEOUT_US) -> message.ReadResponse:
        """Read the committed state at the tail, which must hold the lease, and look up a plan or a change by id.

        Raises:
            errors.ServiceError: `no_chain` if the tail does not answer or has no lease.
        """
        view = self.parts.consensus.view
        if view is not None and view.number != self._reads_view:
            self._reads = tail_reads.TailReads(self.parts.runtime, self._read)
            self._reads_view = view.number
        try:
            read = await self._reads.read(identifier, timeout_us)
        except (errors.ServiceError, scheduler.DeadlineError):
            raise errors.ServiceError("no_chain", "The tail does not answer now.") from None
        if not read.ok:
            raise errors.ServiceError("no_chain", "The tail holds no lease now.")
        return read

    async def _read(self, identifier: str) -> message.ReadResponse:
        response = await self._call(TAIL, lambda view: message.ReadRequest(view, identifier), TIMEOUT_US)
        return typing.cast(message.ReadResponse, response)  # the only answer to a ReadRequest

    def refuse_if_cut_off(self) -> None:
        """Refuse a call at once if this machine can't reach a majority, so that the operator tries another machine.

        Raises:
            errors.ServiceError: `no_chain`, if this machine knows that it is cut off from the majority.
        """
        if self.parts.consensus.is_cut_off():
            raise errors.ServiceError("no_chain", "This machine is cut off from the others.")

    async def read_state(self) -> message.ReadResponse:
        """Read the committed state at the tail, with retries for READ_RETRY_US.

        Raises:
            errors.ServiceError: `no_chain`; without retries if this machine knows that it is cut off.
        """
        until = self.parts.runtime.now() + READ_RETRY_US
        while True:
            try:
                return await self.read_at_tail("", max(1, until - self.parts.runtime.now()))
            except errors.ServiceError:
                if self.parts.runtime.now() >= until:
                    raise
                self.refuse_if_cut_off()
            await self.parts.runtime.sleep(RETRY_DELAY_US)

    async def propose(
        self,
        kind: message.ChangeKind,
        identifier: str,
        base: int = 0,
        changes: collections.abc.Sequence[configuration.ItemChange] = (),
        timeout_us: int = TIMEOUT_US,
    ) -> message.ProposeChangeResponse:
        """Propose a change to the head and wait until it is committed.

        Raises:
            errors.ServiceError: The change was refused, or it is unknown whether it was committed.
        """
        response = await self._call(
            HEAD, lambda view: message.ProposeChange(view, kind, identifier, base, list(changes)), timeout_us
        )
        proposed = typing.cast(message.ProposeChangeResponse, response)  # the only answer to a ProposeChange
        if proposed.code:
            self.counters.refused += 1
            code = typing.cast("errors.ErrorCode", proposed.code)  # the head answers with these codes only
            raise errors.ServiceError(code, proposed.text, errors.ExecutionOutcome(proposed.execution))
        return proposed

    async def _call(
        self,
        chain_index: int,
        make_request: collections.abc.Callable[[int], message.ProposeChange | message.ReadRequest],
        timeout_us: int,
    ) -> message.Message:
        """Send the request that `make_request` builds for the current view to the replica at a chain index."""
        view = self.parts.consensus.view
        if view is None:
            raise errors.ServiceError("no_chain", "No view is agreed yet.")
        self.refuse_if_cut_off()
        voter = self.parts.voter_of(view.chain[chain_index])
        request = make_request(view.number)
        try:
            answer: defer.Deferred[message.Message]
            if voter.id == self.parts.consensus.own_voter.id:
                answer = shield(defer.ensureDeferred(self.parts.chain.answer(request)))
            else:
                answer = defer.ensureDeferred(self.parts.peers.call(voter.host, voter.port, request, timeout_us))
            response: message.Message = await self.parts.runtime.within(answer, timeout_us)
        except (wire.ConnectionBrokenError, scheduler.DeadlineError) as error:
            if isinstance(error, wire.ConnectionBrokenError) and not error.sent:
                raise errors.ServiceError("no_chain", "The chain's machine can't be reached.") from error
            raise errors.ServiceError(
                "unknown_outcome",
                "No answer came in time.",
                errors.ExecutionOutcome.MAY_HAVE_RUN,
            ) from error
        return response
