"""How a process is set up, run and ended: logs, ports, signals, options read again.

A role loads only what it needs, here and not while this module loads: a process often starts
in the middle of things, and what it loads is time in which it does not serve.
"""

from __future__ import annotations

import collections.abc
import signal
import sys
import typing

import loguru
import twisted.internet.defer as defer
import twisted.internet.error as error

import iriswheel.runtime.options as options
import iriswheel.runtime.scheduler as scheduler
import iriswheel.runtime.units as units
import iriswheel.transport.http_server as http_server
import iriswheel.transport.wire as wire

if typing.TYPE_CHECKING:
    import twisted.internet.epollreactor as epollreactor
    import twisted.internet.tcp as tcp


FINISH_US = 500 * units.MILLISECOND_US  # for the last bytes of a node's answers
BAD_INPUT, NO_START = 2, 3

log = loguru.logger.bind(part="main")


def set_logs(level: str) -> None:
    """Logs go to standard error: a time, the part's prefix, a short sentence."""
    loguru.logger.remove()
    loguru.logger.configure(extra={"part": "main"})
    form = "{time:YYYY-MM-DD HH:mm:ss.SSS} {level:<7} {extra[part]}: {message}"
    loguru.logger.add(sys.stderr, level=level, format=form)


def fail(code: int, lines: list[str]) -> typing.NoReturn:
    """Say why on standard error, one line each, and exit."""
    for line in lines:
        print(f"iriswheel: {line}", file=sys.stderr)
    sys.exit(code)


def the_reactor() -> epollreactor.EPollReactor:
    """The process's reactor, first loaded here and not while this module loads.

    Twisted's reactors time their calls by the time of day, so that a clock set back by some
    seconds would hold up every timer of the process for as long. This one goes by the clock
    since boot, as `machine.Machine` does.
    """
    import twisted.internet.epollreactor as epollreactor
    import twisted.internet.main as main

    class SteadyReactor(epollreactor.EPollReactor):
        """An epoll reactor whose timers follow the clock since boot."""

        seconds = staticmethod(lambda: scheduler.boottime() / units.SECOND_US)

    reactor = SteadyReactor()
    main.installReactor(reactor)
    return reactor


def run(
    reactor: typing.Any,
    o: options.Options,
    stop: collections.abc.Callable[..., object],
    again: collections.abc.Callable[..., object] = lambda: None,
) -> None:
    """Run the reactor until a signal; SIGTERM and SIGINT stop it in good order, SIGHUP has the options read again."""
    stopping = []

    def on_signal(*_: int) -> None:
        if not stopping:
            stopping.append(True)
            reactor.callFromThread(lambda: defer.ensureDeferred(stop()).addBoth(lambda _: reactor.stop()))

    def on_hangup(*_: typing.Any) -> None:
        reactor.callFromThread(again)

    reactor.callWhenRunning(lambda: [signal.signal(s, on_signal) for s in (signal.SIGTERM, signal.SIGINT)])
    reactor.callWhenRunning(lambda: signal.signal(signal.SIGHUP, on_hangup))
    log.info("{} {} listens on {}:{}, HTTP on {}:{}.", o.role, o.name, o.host, o.port, *o.front_address())
    reactor.run(installSignalHandlers=False)


def bind(
    reactor: typing.Any,
    o: options.Options,
    peers: wire.Listener,
    http: http_server.Server,
    ready: http_server.Server | None = None,
) -> tcp.Port:
    """Bind the ports; the options then hold the real ones. Returns the port where HTTP is served."""
    try:
        o.port = reactor.listenTCP(o.port, peers, interface=o.host, backlog=512).getHost().port
        host, port = o.front_address()
        front = reactor.listenTCP(port, http, interface=host, backlog=1024)
        if not o.front:
            o.http_port = front.getHost().port
        if o.ready and ready is not None:
            host, port = options.address(o.ready)
            reactor.listenTCP(port, ready, interface=host, backlog=128)
        return front
    except error.CannotListenError as e:
        fail(NO_START, [f"The port can't be had: {e}"])


def run_core(
    o: options.Options,
    path: str,
    reread: collections.abc.Callable[..., object],
    make_handler: collections.abc.Callable[..., object] = lambda process: process.handle,
) -> None:
    """Run a core machine with these options; reread() reads them again from the file at path."""
    import iriswheel.control.core as core
    import iriswheel.runtime.storage as storage

    set_logs(o.log_level)
    reactor = the_reactor()
    disk = storage.Disk(o.data, reactor)
    try:
        disk.open()
        runtime = scheduler.Runtime(reactor)
        process = core.Core(runtime, disk, o)
    except storage.DiskError as e:
        fail(NO_START, [str(e)])
    bind(
        reactor,
        o,
        wire.Listener(runtime, process.serve, log),
        http_server.Server(runtime, make_handler(process), connection_limit=o.connections),
    )
    process.start()
    watch = options.Watch(runtime, path, reread, process.renew)
    runtime.spawn(watch.run(), log)
    run(reactor, o, process.stop, watch.again)
    disk.close()


def run_node(
    o: options.Options,
    path: str,
    reread: collections.abc.Callable[..., object],
    ready: None = None,
    **parts: typing.Any,
) -> None:
    """Run a light node with these options; reread() reads them again from the file at path.

    `ready(proc)` makes the handler of the address at which only readiness is told.
    """
    import iriswheel.node.node as node

    set_logs(o.log_level)
    reactor = the_reactor()
    runtime = scheduler.Runtime(reactor)
    process = node.Node(runtime, o, **parts)
    handle = process.gateway.handle if ready is None else ready(process)
    server = http_server.Server(
        runtime,
        process.gateway.handle,
        connection_limit=o.connections,
        formats=process.outer,
        limits=lambda: process.follower.limits,
    )
    runtime.spawn(server.close_late_heads(), log)
    front = bind(
        reactor,
        o,
        wire.Listener(runtime, process.serve, log),
        server,
        http_server.Server(runtime, handle, connection_limit=64),
    )
    process.start(o.port, o.front_address()[1])
    watch = options.Watch(runtime, path, reread, process.renew)
    runtime.spawn(watch.run(), log)

    async def stop() -> None:
        await process.stop()
        front.stopListening()
        await server.finish(FINISH_US)

    run(reactor, o, stop, watch.again)
