"""How a process is set up, run and ended: logs, ports, signals, options read again.

A role loads only what it needs, here and not while this module loads: a process often starts
while requests wait for it, and the time that it spends on loading is time in which it does not serve.
"""

from __future__ import annotations

import collections.abc
import enum
import signal
import sys
import typing

import loguru
from twisted.internet import defer, error

from iriswheel.runtime import options, scheduler, units
from iriswheel.transport import http_server, wire

if typing.TYPE_CHECKING:
    from twisted.internet import epollreactor, tcp

    from iriswheel.control import core
    from iriswheel.dataplane import edge_protocol
    from iriswheel.node import node


LAST_BYTES_TIMEOUT_US = 500 * units.MILLISECOND_US  # for the last bytes of a node's answers
PEER_BACKLOG = 512  # connections that wait to be accepted, by port
HTTP_BACKLOG = 1024
READY_BACKLOG = 128
READY_CONNECTION_LIMIT = 64

ReadOptions: typing.TypeAlias = collections.abc.Callable[[], options.Options]

log = loguru.logger.bind(part="main")


class ExitCode(enum.IntEnum):
    """With what a process ends, where it does not end well."""

    COMPLAINTS = 1  # a checker found a fault in a log
    BAD_INPUT = 2
    NO_START = 3
    REFUSED = 4  # the call did not run
    UNKNOWN = 5  # the call may have run
    INTERRUPTED = 130


def set_logs(level: str) -> None:
    """Logs go to standard error: time, level, part of the program, message."""
    loguru.logger.remove()
    loguru.logger.configure(extra={"part": "main"})
    line_format = "{time:YYYY-MM-DD HH:mm:ss.SSS} {level:<7} {extra[part]}: {message}"
    loguru.logger.add(sys.stderr, level=level, format=line_format)


def fail(code: ExitCode, lines: collections.abc.Iterable[str]) -> typing.NoReturn:
    """Print the reasons to standard error, one line each, and exit."""
    for line in lines:
        print(f"iriswheel: {line}", file=sys.stderr)
    sys.exit(code)


def install_reactor() -> epollreactor.EPollReactor:
    """Make and install the process's reactor, which is loaded here and not while this module loads.

    Twisted's reactors time their calls by the time of day, so that a clock set back by some
    seconds would hold up every timer of the process for as long. This one goes by the clock
    since boot, as `scheduler.Runtime` does.
    """
    from twisted.internet import epollreactor, main

    class SteadyReactor(epollreactor.EPollReactor):
        """An epoll reactor whose timers follow the clock since boot."""

        seconds = staticmethod(lambda: scheduler.boottime() / units.SECOND_US)

    reactor = SteadyReactor()
    main.installReactor(reactor)
    return reactor


def run(
    reactor: epollreactor.EPollReactor,
    process_options: options.Options,
    stop: collections.abc.Callable[[], collections.abc.Coroutine[typing.Any, typing.Any, object]],
    reload_options: collections.abc.Callable[[], object],
) -> None:
    """Run the reactor until a signal; SIGTERM and SIGINT stop it in good order, SIGHUP has the options read again.

    Args:
        reactor: of the process.
        process_options: for the log.
        stop: ends the work of the process; the reactor stops once that is done, or has failed.
        reload_options: called on SIGHUP.
    """
    stopping = False

    def on_termination(*_: object) -> None:
        nonlocal stopping
        if not stopping:
            stopping = True
            reactor.callFromThread(lambda: defer.ensureDeferred(stop()).addBoth(lambda _: reactor.stop()))

    def on_hangup(*_: object) -> None:
        reactor.callFromThread(reload_options)

    def install_handlers() -> None:
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, on_termination)
        signal.signal(signal.SIGHUP, on_hangup)

    reactor.callWhenRunning(install_handlers)
    log.info(
        "{} {} listens on {}:{}, HTTP on {}:{}.",
        process_options.role,
        process_options.name,
        process_options.host,
        process_options.port,
        *process_options.front_address(),
    )
    reactor.run(installSignalHandlers=False)


def bind(
    reactor: epollreactor.EPollReactor,
    process_options: options.Options,
    peers: wire.ConnectionFactory,
    http: http_server.Server,
    ready: http_server.Server | None = None,
) -> tcp.Port:
    """Bind the ports, or exit where one can't be bound; the options then hold the real ones.

    Returns:
        The port where HTTP is served.
    """
    host = process_options.host
    try:
        peer_port = reactor.listenTCP(process_options.port, peers, interface=host, backlog=PEER_BACKLOG)
        process_options.port = peer_port.getHost().port
        front_host, front_port = process_options.front_address()
        front: tcp.Port = reactor.listenTCP(front_port, http, interface=front_host, backlog=HTTP_BACKLOG)
        if not process_options.front:
            process_options.http_port = front.getHost().port
        if process_options.ready and ready is not None:
            ready_host, ready_port = options.parse_address(process_options.ready)
            reactor.listenTCP(ready_port, ready, interface=ready_host, backlog=READY_BACKLOG)
    except error.CannotListenError as cause:
        fail(ExitCode.NO_START, [f"The port can't be had: {cause}"])
    return front


def _own_handler(process: core.Core) -> http_server.Handler:
    return process.handle


def run_core(
    process_options: options.Options,
    path: str,
    read_options: ReadOptions,
    make_handler: collections.abc.Callable[[core.Core], http_server.Handler] = _own_handler,
) -> None:
    """Run a core with these options.

    Args:
        process_options: checked.
        path: of the options file, which is watched for changes.
        read_options: reads the options again.
        make_handler: gives what answers HTTP.
    """
    from iriswheel.control import core
    from iriswheel.runtime import storage

    set_logs(process_options.log_level)
    reactor = install_reactor()
    disk = storage.Disk(process_options.data, reactor)
    try:
        disk.open()
        runtime = scheduler.Runtime(reactor)
        process = core.Core(runtime, disk, process_options)
    except storage.DiskError as cause:
        fail(ExitCode.NO_START, [str(cause)])
    http = http_server.Server(runtime, make_handler(process), connection_limit=process_options.connections)
    bind(reactor, process_options, wire.ConnectionFactory(runtime, process.serve, log), http)
    process.start()
    watch = options.OptionsWatch(runtime, path, read_options, process.reload_options)
    runtime.spawn(watch.run(), log)
    run(reactor, process_options, process.stop, watch.reload)
    disk.close()


def run_node(
    process_options: options.Options,
    path: str,
    read_options: ReadOptions,
    ready: collections.abc.Callable[[node.Node], http_server.Handler] | None = None,
    formats: edge_protocol.EdgeProtocol | None = None,
) -> None:
    """Run a node with these options.

    Args:
        process_options: checked.
        path: of the options file, which is watched for changes.
        read_options: reads the options again.
        ready: gives what answers at the address at which only readiness is served; by default as at the front.
        formats: of clients, workers and the platform; by default iriswheel's own.
    """
    from iriswheel.node import node

    set_logs(process_options.log_level)
    reactor = install_reactor()
    runtime = scheduler.Runtime(reactor)
    process = node.Node(runtime, process_options, formats)
    server = http_server.Server(
        runtime,
        process.gateway.handle,
        connection_limit=process_options.connections,
        error_format=process.edge_protocol,
        limits=lambda: process.follower.limits,
    )
    runtime.spawn(server.close_overdue_heads(), log)
    handle_ready = process.gateway.handle if ready is None else ready(process)
    front = bind(
        reactor,
        process_options,
        wire.ConnectionFactory(runtime, process.serve, log),
        server,
        http_server.Server(runtime, handle_ready, connection_limit=READY_CONNECTION_LIMIT),
    )
    process.start(process_options.port, process_options.front_address()[1])
    watch = options.OptionsWatch(runtime, path, read_options, process.reload_options)
    runtime.spawn(watch.run(), log)

    async def stop() -> None:
        await process.stop()
        front.stopListening()
        await server.finish(LAST_BYTES_TIMEOUT_US)

    run(reactor, process_options, stop, watch.reload)
