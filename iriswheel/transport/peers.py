"""A process's connections to other processes, by address: opened on first use and kept open."""

from __future__ import annotations

import typing

from iriswheel.runtime import scheduler, units
from iriswheel.transport import memory_budget, wire

if typing.TYPE_CHECKING:
    import collections.abc

    import loguru

    from iriswheel.transport import message

IDLE_TIMEOUT_US = 10 * units.SECOND_US  # time without messages after which a connection is closed

Address: typing.TypeAlias = tuple[str, int]  # host, port


class Peers:
    """The connections that this process opened to other processes.

    Args:
        runtime: clock and reactor of this process.
        serve: handles the messages that other processes send on these connections.
        log: takes the warnings and errors of the connections.
        memory: the budget for what all connections of this process hold.

    >>> import loguru
    >>> Peers(scheduler.Runtime(None, now=lambda: 0), lambda connection, content: None, loguru.logger).connections
    {}
    """

    def __init__(
        self,
        runtime: scheduler.Runtime,
        serve: wire.MessageHandler,
        log: loguru.Logger,
        memory: memory_budget.MemoryBudget | None = None,
    ) -> None:
        self.runtime = runtime
        self.serve = serve
        self.log = log
        self.memory = memory or memory_budget.MemoryBudget()
        self.connections: dict[Address, wire.Connection] = {}
        self.opening: dict[Address, scheduler.Signal] = {}  # woken once the attempt to connect has ended

    async def connection_to(self, host: str, port: int) -> wire.Connection:
        """Return the connection to an address, and open it if there is none; concurrent calls share one attempt.

        Raises:
            ConnectionBrokenError: The connection can't be opened.
        """
        address = (host, port)
        connection = self.connections.get(address)
        if connection is not None and connection.up:
            return connection
        if address in self.opening:
            return await self._wait_for_attempt(address)
        attempt_ended = self.opening[address] = scheduler.Signal()
        try:
            connection = await wire.connect(self.runtime, host, port, self.serve, self.log, memory=self.memory)
            self.connections[address] = connection
        finally:
            del self.opening[address]
            attempt_ended.wake()
        return connection

    async def _wait_for_attempt(self, address: Address) -> wire.Connection:
        await self.opening[address].wait()
        connection = self.connections.get(address)
        if connection is None or not connection.up:
            raise wire.ConnectionBrokenError(sent=False)
        return connection

    async def call(self, host: str, port: int, content: message.Message, timeout_us: int) -> typing.Any:  # noqa: ANN401 - each caller knows the type of the answer to its message
        """Send a message to an address and wait for its answer; raises as `connection_to` and `Connection.call`."""
        connection = await self.connection_to(host, port)
        return await connection.call(content, timeout_us)

    async def tell(self, host: str, port: int, content: message.Message) -> None:
        """Send a message that needs no answer; it is dropped if the connection can't be opened."""
        try:
            connection = await self.connection_to(host, port)
        except wire.ConnectionBrokenError:
            return
        connection.tell(content)

    def close_idle(self) -> None:
        """Close the connections without messages for IDLE_TIMEOUT_US, since each costs both sides its keep-alives.

        >>> import loguru
        >>> Peers(scheduler.Runtime(None, now=lambda: 0), lambda connection, content: None, loguru.logger).close_idle()
        """
        for address in [known for known, connection in self.connections.items() if connection.is_idle(IDLE_TIMEOUT_US)]:
            self.connections.pop(address).close()

    def close_all_except(self, addresses: collections.abc.Set[Address]) -> None:
        """Close the connections to all addresses except these.

        >>> import loguru
        >>> peers = Peers(scheduler.Runtime(None, now=lambda: 0), lambda connection, content: None, loguru.logger)
        >>> peers.close_all_except(set())
        """
        for address in [known for known in self.connections if known not in addresses]:
            self.connections.pop(address).close()
