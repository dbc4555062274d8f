"""The reactor that the code under test runs on: it implements the methods of Twisted's reactor that are used."""

from __future__ import annotations

import functools
import typing

from twisted.internet import address

from iriswheel.runtime import units
from simulation import network_model, virtual_timer

if typing.TYPE_CHECKING:
    from simulation import process_model, world

FIRST_EPHEMERAL_PORT = 40_000


class Port:
    """A listening port, as a reactor's `listenTCP` returns it."""

    def __init__(self, reactor: Reactor, port: int, factory: network_model.ListeningFactory) -> None:
        self.reactor, self.port, self.factory = reactor, port, factory

    def getHost(self) -> address.IPv4Address:
        """The address that this port listens on."""
        return address.IPv4Address("TCP", self.reactor.process.host.address, self.port)


class Reactor:
    """The reactor of one simulated process: the clock and the sockets that Twisted code asks for."""

    def __init__(self, process: process_model.SimulatedProcess) -> None:
        self.process = process
        self.next_port = FIRST_EPHEMERAL_PORT

    def clock(self) -> int:
        """The time in microseconds that timers are due by: monotonic, as in `service.install_reactor`.

        A test replaces it by the time of day to show that the checks detect timers that follow its jumps.
        """
        return self.process.world.time

    def seconds(self) -> float:
        """The time in seconds that timers are due by."""
        return self.clock() / units.SECOND_US

    def callLater(
        self, seconds: float, function: world.Callback, *arguments: object, **keywords: object
    ) -> virtual_timer.Timer:
        """Call a function after a number of seconds, unless the process has ended by then."""
        due_at = self.clock() + int(seconds * units.SECOND_US)
        if keywords:
            function, arguments = functools.partial(function, *arguments, **keywords), ()
        timer = virtual_timer.Timer(self.process.world, due_at, function, arguments)
        timer.process = self.process
        timer.schedule()
        return timer

    def listenTCP(
        self,
        port: int,
        factory: network_model.ListeningFactory,
        backlog: int = 50,  # noqa: ARG002 - Twisted's endpoints pass it by name
        interface: str = "",  # noqa: ARG002 - Twisted's endpoints pass it by name
    ) -> Port:
        """Accept connections on a port; port 0 stands for any free one."""
        if port == 0:
            self.next_port += 1
            port = self.next_port
        factory.doStart()
        self.process.ports[port] = factory
        return Port(self, port, factory)

    def connectTCP(
        self,
        host: str,
        port: int,
        factory: network_model.ConnectingFactory,
        timeout: float = 30,
        bindAddress: None = None,  # noqa: ARG002 - Twisted's endpoints pass it by name
    ) -> network_model.Connector:
        """Open a connection to an address; the factory is told whether that succeeded."""
        return network_model.Connector(self.process, host, port, factory, timeout)
