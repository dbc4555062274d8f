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

import iriswheel.machine as machine
import iriswheel.options as options
import iriswheel.web as web
import iriswheel.wire as wire

if typing.TYPE_CHECKING:
    import twisted.internet.epollreactor as epollreactor
    import twisted.internet.tcp as tcp


FINISH_US = 500 * machine.MILLI  # for the last bytes of a node's answers
BAD_INPUT, NO_START = 2, 3

log = loguru.logger.bind(part="main")


def set_logs(level: str) -> None:
    """Logs go to standard error: a time, the part's prefix, a short sentence.

    Example: `set_logs("INFO")`
    """
    loguru.logger.remove()
    loguru.logger.configure(extra={"part": "main"})
    form = "{time:YYYY-MM-DD HH:mm:ss.SSS} {level:<7} {extra[part]}: {message}"
    loguru.logger.add(sys.stderr, level=level, format=form)


def fail(code: int, lines: list[str]) -> typing.NoReturn:
    """Say why on standard error, one line each, and exit.

    Example: `fail(2, ["seeds: missing"])`
    """
    for line in lines:
        print(f"iriswheel: {line}", file=sys.stderr)
    sys.exit(code)


def the_reactor() -> epollreactor.EPollReactor:
    """The process's reactor, first loaded here and not while this module loads.

    Twisted's reactors time their calls by the time of day, so that a clock set back by some
    seconds would hold up every timer of the process for as long. This one goes by the clock
    since boot, as `machine.Machine` does.

    Example: `the_reactor().run()`
    """
    import twisted.internet.epollreactor as epollreactor
    import twisted.internet.main as main

    class SteadyReactor(epollreactor.EPollReactor):
        """An epoll reactor whose timers follow the clock since boot."""

        seconds = staticmethod(lambda: machine.boottime() / machine.SECOND)

    reactor = SteadyReactor()
    main.installReactor(reactor)
    return reactor


def run(
    reactor: typing.Any,
    o: options.Options,
    stop: collections.abc.Callable[..., object],
    again: collections.abc.Callable[..., object] = lambda: None,
) -> None:
    """Run the reactor until a signal; SIGTERM and SIGINT stop it in good order, SIGHUP has the options read again.

    Example: `run(reactor, o, node.stop)`
    """
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
    reactor: typing.Any, o: options.Options, peers: wire.Listener, http: web.Server, ready: web.Server | None = None
) -> tcp.Port:
    """Bind the ports; the options then hold the real ones. Returns the port where HTTP is served.

    Example: `bind(reactor, o, listener, server)`
    """
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
    door: collections.abc.Callable[..., object] = lambda proc: proc.handle,
) -> None:
    """Run a core machine with these options; reread() reads them again from the file at path.

    Example: `run_core(o, "core.toml", lambda: options.read("core", "core.toml", {}))`
    """
    import iriswheel.core as core
    import iriswheel.store as store

    set_logs(o.log_level)
    reactor = the_reactor()
    disk = store.Disk(o.data, reactor)
    try:
        disk.open()
        mach = machine.Machine(reactor)
        proc = core.Core(mach, disk, o)
    except store.DiskError as e:
        fail(NO_START, [str(e)])
    bind(reactor, o, wire.Listener(mach, proc.serve, log), web.Server(mach, door(proc), room=o.connections))
    proc.start()
    watch = options.Watch(mach, path, reread, proc.renew)
    mach.spawn(watch.run(), log)
    run(reactor, o, proc.stop, watch.again)
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

    Example: `run_node(o, "node.toml", lambda: options.read("node", "node.toml", {}))`
    """
    import iriswheel.node as node

    set_logs(o.log_level)
    reactor = the_reactor()
    mach = machine.Machine(reactor)
    proc = node.Node(mach, o, **parts)
    handle = proc.door.handle if ready is None else ready(proc)
    server = web.Server(
        mach, proc.door.handle, room=o.connections, formats=proc.outer, limits=lambda: proc.follower.limits
    )
    mach.spawn(server.look(), log)
    front = bind(reactor, o, wire.Listener(mach, proc.serve, log), server, web.Server(mach, handle, room=64))
    proc.start(o.port, o.front_address()[1])
    watch = options.Watch(mach, path, reread, proc.renew)
    mach.spawn(watch.run(), log)

    async def stop() -> None:
        await proc.stop()
        front.stopListening()
        await server.finish(FINISH_US)

    run(reactor, o, stop, watch.again)
