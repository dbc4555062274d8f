"""The command line that runs a simulated worker or a simulated platform as a process."""

from __future__ import annotations

import collections.abc
import contextlib
import pathlib
import sys

import defopt
import loguru

from benchmarks import default_reactor, stand_in_platform, stand_in_worker
from iriswheel.cli import load_generator
from iriswheel.runtime import scheduler
from iriswheel.transport import http_server

BACKLOG = 512  # connections that wait in the listening socket's queue

MakeHandler = collections.abc.Callable[[scheduler.Runtime, load_generator.EventSink], http_server.Handler]


def serve(make_handler: MakeHandler, port: int, events: str) -> None:
    """Run an HTTP server until the process is killed; its port is the first line on standard output.

    Args:
        make_handler: Makes the function that answers the requests.
        port: The port; 0 lets the operating system choose.
        events: The path of the event log; an empty path means none.
    """
    loguru.logger.remove()
    loguru.logger.add(sys.stderr, level="WARNING")
    reactor = default_reactor.load()
    runtime = scheduler.Runtime(reactor)
    with contextlib.ExitStack() as stack:
        out = stack.enter_context(pathlib.Path(events).open("a", buffering=1)) if events else None
        handle = make_handler(runtime, load_generator.Events(out))
        server = http_server.Server(runtime, handle)
        listening = reactor.listenTCP(port, server, interface="127.0.0.1", backlog=BACKLOG)
        print(listening.getHost().port, flush=True)
        reactor.run()


def worker(*, identifier: str, port: int = 0, events: str = "") -> None:
    """Run a simulated worker.

    :param identifier: its name
    :param port: its port; 0 lets the operating system choose
    :param events: file for its event log
    """
    serve(lambda runtime, sink: stand_in_worker.Worker(runtime, identifier, sink).handle, port, events)


def platform(*, port: int = 0, events: str = "") -> None:
    """Run a simulated platform.

    :param port: its port; 0 lets the operating system choose
    :param events: file for its event log
    """

    def make_handler(runtime: scheduler.Runtime, sink: load_generator.EventSink) -> http_server.Handler:
        made = stand_in_platform.Platform(runtime, sink)
        runtime.spawn(made.poll_nodes(), stand_in_platform.log)
        return made.handle

    serve(make_handler, port, events)


if __name__ == "__main__":
    defopt.run([worker, platform])
