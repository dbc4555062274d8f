"""Sets up, runs and stops a process: log output, ports, signals, and reloading of options.

Each role imports the modules that it needs in its own function, not at the head of this file: a process often starts
while requests wait for it, and it does not serve while it imports modules of the other role.
"""

from __future__ import annotations

import collections.abc
import enum
import gc
import sys
import typing

import loguru
from twisted.internet import defer, error

from iriswheel.configuration import configuration
from iriswheel.runtime import allocator, log_output, options, scheduler, start_wait, units
from iriswheel.runtime.process_signals import process_signals
from iriswheel.transport import http_server, listening_port, memory_budget, read_turns, wire, work_turns

if typing.TYPE_CHECKING:
    from twisted.internet import epollreactor, tcp

    from iriswheel.control import core
    from iriswheel.dataplane import edge_protocol
    from iriswheel.node import node
    from iriswheel.runtime import storage
    from iriswheel.transport import peers


LAST_BYTES_TIMEOUT_US = 500 * units.MILLISECOND_US  # longest wait until a stopping node's last answers are sent
PEER_BACKLOG = 512  # TCP listen backlog of the port for iriswheel's processes
HTTP_BACKLOG = 1024  # TCP listen backlog of each HTTP port
READY_CONNECTION_LIMIT = 64  # open connections on the port for readiness polls
READY_LIMITS = configuration.Limits(body_bytes=1024)  # of calls on that port, which have no use for a body
JSON_WEIGHT = 12  # bytes of memory for each byte of a JSON document, with its values
# New objects of a core machine between two searches for garbage: one change of the configuration makes ten thousands.
GARBAGE_THRESHOLD = 20_000

ReadOptions: typing.TypeAlias = collections.abc.Callable[[], options.Options]

log = loguru.logger.bind(part="main")


class ExitCode(enum.IntEnum):
    """The exit codes of a process that failed."""

    COMPLAINTS = 1  # a checker found a fault in an event log
    BAD_INPUT = 2  # wrong options, settings or input files
    NO_START = 3  # a port or the data folder is not available
    REFUSED = 4  # a core machine did not carry out the call
    UNKNOWN = 5  # a core machine may have carried out the call
    INTERRUPTED = 130  # SIGINT


def set_logs(level: str) -> None:
    """Write log lines of this level and above to standard error: time, level, part of the program, message.

    A process that was started with its standard error closed writes none, and lines that nobody reads are dropped.
    """
    loguru.logger.remove()
    log_output.forward_twisted_events()
    loguru.logger.configure(extra={"part": "main"})
    line_format = "{time:YYYY-MM-DD HH:mm:ss.SSS} {level:<7} {extra[part]}: {message}"
    if sys.stderr is not None:
        loguru.logger.add(log_output.LogOutput(sys.stderr.fileno()), level=level, format=line_format)


def fail(code: ExitCode, lines: collections.abc.Iterable[str]) -> typing.NoReturn:
    """Write the reasons to standard error, one line each, and exit."""
    if sys.stderr is not None:
        output = log_output.LogOutput(sys.stderr.fileno())
        for line in lines:
            output.write(f"iriswheel: {line}\n")
    sys.exit(code)


def install_reactor() -> epollreactor.EPollReactor:
    """Create and install the process's reactor, whose module is imported only here.

    Twisted's reactors schedule timers by the time of day, so setting the system clock back by some seconds would delay
    every timer of the process by as much. This reactor uses the clock since boot, as `scheduler.Runtime` does.
    """
    from twisted.internet import epollreactor, main

    class SteadyReactor(epollreactor.EPollReactor):
        """An epoll reactor whose timers use the clock since boot."""

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
    """Run the reactor until SIGTERM or SIGINT, which stop the process gracefully; SIGHUP reloads the options.

    Args:
        reactor: The process's reactor.
        process_options: The process's options; its role, name and addresses are logged.
        stop: Ends the work of the process; the reactor stops once this has finished or failed.
        reload_options: Called on SIGHUP.
    """
    reload_is_due = False

    def on_stop() -> None:
        reactor.callFromThread(lambda: defer.ensureDeferred(stop()).addBoth(lambda _: reactor.stop()))

    def on_reload() -> None:  # a series of SIGHUP causes one reload
        nonlocal reload_is_due
        if not reload_is_due:
            reload_is_due = True
            reactor.callFromThread(reload)

    def reload() -> None:
        nonlocal reload_is_due
        reload_is_due = False
        reload_options()

    reactor.callWhenRunning(process_signals.hand_over, on_stop, on_reload)
    log.info(
        "{} {} listens on {}:{}, HTTP on {}:{}.",
        process_options.role,
        process_options.name,
        process_options.host,
        process_options.port,
        *process_options.front_address(),
    )
    reactor.run(installSignalHandlers=False)
    process_signals.ignore_from_now_on()
    log.info("The process has stopped and ends.")


def bind(
    reactor: epollreactor.EPollReactor,
    process_options: options.Options,
    peer_factory: wire.ConnectionFactory,
    http: http_server.Server,
    ready: http_server.Server | None = None,
) -> tcp.Port:
    """Bind the ports, and write their numbers into the options.

    A port that is taken, for example by a predecessor that still drains, is waited for; the process exits where it
    can't be bound within the option `start_wait_us`.

    Returns:
        The HTTP port.
    """
    try:
        return start_wait.wait_for(
            lambda: _bind_all(reactor, process_options, peer_factory, http, ready),
            error.CannotListenError,
            process_options.start_wait_us,
        )
    except error.CannotListenError as cause:
        fail(ExitCode.NO_START, [f"The process can't listen on a port and does not start: {cause}"])


def _bind_all(
    reactor: epollreactor.EPollReactor,
    process_options: options.Options,
    peer_factory: wire.ConnectionFactory,
    http: http_server.Server,
    ready: http_server.Server | None,
) -> tcp.Port:
    """Bind all ports, or none if one of them can't be bound."""
    bound: list[tcp.Port] = []

    def listen(port: int, factory: wire.ConnectionFactory | http_server.Server, host: str, backlog: int) -> tcp.Port:
        bound.append(listening_port.listen(reactor, port, factory, host=host, backlog=backlog))
        return bound[-1]

    front_host, front_port = process_options.front_address()
    try:
        peer_port = listen(process_options.port, peer_factory, process_options.host, PEER_BACKLOG)
        front = listen(front_port, http, front_host, HTTP_BACKLOG)
        if process_options.ready and ready is not None:
            ready_host, ready_port = options.parse_address(process_options.ready)
            listen(ready_port, ready, ready_host, HTTP_BACKLOG)
    except error.CannotListenError:
        for port in bound:
            port.stopListening()
        reactor.runUntilCurrent()  # closes them, which the reactor would do only once it runs
        raise
    process_signals.begin_serving()
    process_options.port = peer_port.getHost().port
    if not process_options.front:
        process_options.http_port = front.getHost().port
    return front


def _peer_factory(process: core.Core | node.Node, process_options: options.Options) -> wire.ConnectionFactory:
    """The factory of the port for iriswheel's processes, whose connections share one budget with those opened here."""
    return wire.ConnectionFactory(
        process.runtime,
        process.serve,
        log,
        memory=process.peers.memory,
        connection_limit=process_options.peer_connections,
    )


def _default_handler(process: core.Core) -> http_server.Handler:
    return process.handle


def _initial_addresses(disk: storage.Disk, process_options: options.Options) -> list[peers.Address]:
    """The core machines of the first start, if this is it or a restart soon after it."""
    if process_options.found:
        return process_options.seed_list()
    try:
        return [options.parse_address(address) for address in disk.initial_addresses()]
    except ValueError:
        return []


def _load_core(runtime: scheduler.Runtime, disk: storage.Disk, process_options: options.Options) -> core.Core:
    """Open the data folder and load what it holds; exit where that fails for longer than the option `start_wait_us`."""
    from iriswheel.control import core
    from iriswheel.runtime import storage

    def load() -> core.Core:
        disk.open()
        try:
            return core.Core(runtime, disk, process_options, _initial_addresses(disk, process_options))
        except storage.DiskError:
            disk.close()
            raise

    try:
        return start_wait.wait_for(load, storage.DiskError, process_options.start_wait_us)
    except storage.DiskError as cause:
        fail(ExitCode.NO_START, [str(cause)])


def run_core(
    process_options: options.Options,
    path: str,
    read_options: ReadOptions,
    *,
    version: options.FileVersion,
    make_handler: collections.abc.Callable[[core.Core], http_server.Handler] = _default_handler,
) -> None:
    """Run a core machine until it is stopped.

    Args:
        process_options: The options, already checked.
        path: The path of the options file, which is watched for changes.
        read_options: Reads the options again.
        version: The version of the options file that the options were read from.
        make_handler: Makes the HTTP handler of the core machine; by default the core machine's own.
    """
    from iriswheel.runtime import storage

    set_logs(process_options.log_level)
    allocator.return_large_blocks()
    gc.set_threshold(GARBAGE_THRESHOLD)
    reactor = install_reactor()
    disk = storage.Disk(process_options.data, reactor)
    runtime = scheduler.Runtime(reactor)
    process = _load_core(runtime, disk, process_options)
    http = http_server.Server(
        runtime,
        make_handler(process),
        connection_limit=process_options.connections,
        memory=memory_budget.MemoryBudget(process_options.client_memory_bytes),
        body_weight=JSON_WEIGHT,
        work=work_turns.WorkTurns(runtime),
    )
    runtime.spawn(http.close_overdue_heads(), log)
    bind(reactor, process_options, _peer_factory(process, process_options), http)
    process.start()
    watch = options.OptionsWatch(runtime, path, read_options, process.reload_options, version)
    runtime.spawn(watch.run(), log)
    run(reactor, process_options, process.stop, watch.reload)
    disk.close()


def run_node(
    process_options: options.Options,
    path: str,
    read_options: ReadOptions,
    *,
    version: options.FileVersion,
    ready: collections.abc.Callable[[node.Node], http_server.Handler] | None = None,
    formats: edge_protocol.EdgeProtocol | None = None,
) -> None:
    """Run a node until it is stopped.

    Args:
        process_options: The options, already checked.
        path: The path of the options file, which is watched for changes.
        read_options: Reads the options again.
        version: The version of the options file that the options were read from.
        ready: Makes the HTTP handler of the address for readiness polls; by default one that answers status calls.
        formats: The edge protocol towards clients, workers and the platform; by default iriswheel's own.
    """
    from iriswheel.node import node

    set_logs(process_options.log_level)
    allocator.return_large_blocks()
    reactor = install_reactor()
    runtime = scheduler.Runtime(reactor)
    process = node.Node(runtime, process_options, formats)
    memory = memory_budget.MemoryBudget(process_options.client_memory_bytes)
    turns = read_turns.ReadTurns(runtime)
    server = http_server.Server(
        runtime,
        process.gateway.handle,
        connection_limit=process_options.connections,
        upstream_count=process.gateway.forwarder.connections.open_count,
        error_format=process.edge_protocol,
        limits=lambda: process.follower.limits,
        memory=memory,
        turns=turns,
    )
    runtime.spawn(server.close_overdue_heads(), log)
    handle_ready = process.gateway.status_calls.handle if ready is None else ready(process)
    ready_server = http_server.Server(
        runtime,
        handle_ready,
        connection_limit=READY_CONNECTION_LIMIT,
        limits=lambda: READY_LIMITS,
        memory=memory,
        turns=turns,
    )
    runtime.spawn(ready_server.close_overdue_heads(), log)
    front = bind(reactor, process_options, _peer_factory(process, process_options), server, ready_server)
    process.start(process_options.port, process_options.front_address()[1])
    watch = options.OptionsWatch(runtime, path, read_options, process.reload_options, version)
    runtime.spawn(watch.run(), log)

    async def stop() -> None:
        await process.stop()
        front.stopListening()
        await server.finish(LAST_BYTES_TIMEOUT_US)

    run(reactor, process_options, stop, watch.reload)
