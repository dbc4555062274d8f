"""The command line: subcommands that run a core machine or a node, call a core machine, or check event logs."""

from __future__ import annotations

import collections.abc
import contextlib
import json
import pathlib
import signal
import sys
import typing
import urllib.parse

import defopt
import loguru
import twisted.internet.error as connection_error
from twisted.internet import defer
from twisted.web import http_headers

import iriswheel.runtime.options as options_reader
import iriswheel.verification.history as operator_history
import iriswheel.verification.replay as replay_checks
from iriswheel.cli import load_generator, service
from iriswheel.configuration import configuration
from iriswheel.dataplane import dispatch
from iriswheel.runtime import scheduler, units

if typing.TYPE_CHECKING:
    from twisted.internet import epollreactor

Document: typing.TypeAlias = dict[str, typing.Any]  # a JSON object

log = loguru.logger.bind(part="main")


class Answer(typing.NamedTuple):
    """A core machine's answer to a call of an operator."""

    status: int  # HTTP status
    document: Document


def read_options(role: str, path: str, flags: collections.abc.Mapping[str, typing.Any]) -> options_reader.Options:
    """Read and check the options of a process; if there are errors, print all of them and exit."""
    try:
        return options_reader.read(role, path, flags)
    except options_reader.OptionsError as error:
        service.fail(service.ExitCode.BAD_INPUT, error.errors)


def core(
    *,
    options: str = "",
    name: str | None = None,
    host: str | None = None,
    port: int | None = None,
    http_port: int | None = None,
    zone: str | None = None,
    seeds: list[str] | None = None,
    data: str | None = None,
    log_level: str | None = None,
) -> None:
    """Run a core machine, which stores the configuration in its data folder and serves operators.

    :param options: options file (TOML); flags override it
    :param name: this machine's name
    :param host: IP address to listen on, at which the other machines reach this one
    :param port: port for connections between iriswheel's processes
    :param http_port: port for HTTP calls of operators
    :param zone: zone (failure domain) of this machine
    :param seeds: IP:port of the core machines; the first creates a new fleet if all data folders are empty
    :param data: path of the data folder
    :param log_level: lowest level to log: DEBUG, INFO, WARNING or ERROR
    """
    flags = dict(
        name=name, host=host, port=port, http_port=http_port, zone=zone, seeds=seeds, data=data, log_level=log_level
    )
    version = options_reader.file_version(options)
    service.run_core(
        read_options("core", options, flags),
        options,
        lambda: options_reader.read("core", options, flags),
        version=version,
    )


def node(
    *,
    options: str = "",
    name: str | None = None,
    host: str | None = None,
    port: int | None = None,
    http_port: int | None = None,
    zone: str | None = None,
    seeds: list[str] | None = None,
    platform: str | None = None,
    log_level: str | None = None,
) -> None:
    """Run a node, which accepts the requests of clients and forwards them to workers.

    :param options: options file (TOML); flags override it
    :param name: this node's name; a newer process of the same name replaces the older one in the fleet
    :param host: IP address to listen on, at which clients and other machines reach this node
    :param port: port for connections between iriswheel's processes; 0 for any free port
    :param http_port: port for clients; 0 for any free port
    :param zone: zone (failure domain) of this node
    :param seeds: IP:port of core machines
    :param platform: IP:port at which the platform serves the list of workers
    :param log_level: lowest level to log: DEBUG, INFO, WARNING or ERROR
    """
    flags = dict(
        name=name,
        host=host,
        port=port,
        http_port=http_port,
        zone=zone,
        seeds=seeds,
        platform=platform,
        log_level=log_level,
    )
    version = options_reader.file_version(options)
    service.run_node(
        read_options("node", options, flags),
        options,
        lambda: options_reader.read("node", options, flags),
        version=version,
    )


async def send_request(
    runtime: scheduler.Runtime, cores: list[str], method: str, path: str, document: object = None
) -> Answer:
    """Send an HTTP call to the first core machine that accepts a connection.

    Args:
        runtime: Opens the connections.
        cores: IP:port of the core machines' HTTP ports, tried in this order.
        method: The HTTP method.
        path: The path of the call.
        document: The body, as a JSON value; None for no body.

    Raises:
        ValueError: the connection was lost before the end of the answer, or the answer is not JSON.
    """
    agent = dispatch.Dispatcher(runtime).unpooled_agent
    for text in cores:
        host, port = options_reader.parse_address(text)
        body = None if document is None else dispatch.Body(json.dumps(document).encode())
        headers = http_headers.Headers({"Content-Type": ["application/json"]})
        try:
            response = await agent.request(method.encode(), f"http://{host}:{port}{path}".encode(), headers, body)
        except (connection_error.ConnectError, connection_error.TimeoutError):
            continue
        collected: defer.Deferred[bytes | None] = defer.Deferred()
        response.deliverBody(dispatch.BodyCollector(collected.callback))
        raw = await collected
        if raw is None:
            raise ValueError("The connection was lost before the end of the answer.")
        return Answer(response.code, json.loads(raw))
    return Answer(503, {"code": "no_chain", "verdict": "not_run", "text": "No core machine can be reached."})


def call_core(cores: list[str], method: str, path: str, document: object = None) -> None:
    """Call a core machine and print its answer as JSON; if the call failed, exit with REFUSED or UNKNOWN."""
    service.set_logs("ERROR")
    for core_address in cores:
        try:
            options_reader.parse_address(core_address)
        except ValueError:
            service.fail(service.ExitCode.BAD_INPUT, [f"--core: {core_address!r} is not of the form IP:port"])
    reactor = service.install_reactor()
    answers: list[Answer] = []

    async def call() -> None:
        try:
            answers.append(await send_request(scheduler.Runtime(reactor), cores, method, path, document))
        except Exception as error:  # the call was sent: after any error, the core machine may have carried it out
            text = f"No valid answer came from the core machine; the call may have run: {error}"
            answers.append(Answer(504, {"code": "unknown_outcome", "verdict": "may_have_run", "text": text}))
        reactor.stop()

    reactor.callWhenRunning(lambda: defer.ensureDeferred(call()))
    reactor.run()
    answer = answers[0]
    print(json.dumps(answer.document, indent=2))
    if answer.status != 200:
        may_have_run = answer.document.get("verdict") == "may_have_run"
        sys.exit(service.ExitCode.UNKNOWN if may_have_run else service.ExitCode.REFUSED)


def read_json(path: str) -> object:
    """Read a JSON file; if that fails, print the reason and exit."""
    try:
        with open(path) as file:  # noqa: PTH123 - Path("") would be the current folder
            content: object = json.load(file)
    except OSError as error:
        service.fail(service.ExitCode.BAD_INPUT, [f"{path}: {error.strerror}"])
    except ValueError as error:
        service.fail(service.ExitCode.BAD_INPUT, [f"{path}: the file is not valid JSON: {error}"])
    return content


def check(blueprint_file: str) -> None:
    """Check a configuration file and print every error in it.

    :param blueprint_file: the configuration, as JSON
    """
    try:
        items = configuration.flatten(read_json(blueprint_file))
    except configuration.InvalidConfigurationError as error:
        service.fail(service.ExitCode.BAD_INPUT, error.errors)
    print(f"{blueprint_file}: the configuration is valid and has {len(items)} items.")


def plan(file: str, *, core: list[str], patch: bool = False, base: int | None = None) -> None:
    """Send a configuration or a JSON Patch, and print a plan of what it would change.

    :param file: the configuration, or the patch, as JSON
    :param core: IP:port of core machines' HTTP ports, tried in turn
    :param patch: the file is a JSON Patch (RFC 6902)
    :param base: the version that the change is based on; if it is no longer the current one, the call is refused
    """
    document = {"patch" if patch else "blueprint": read_json(file)}
    if base is not None:
        document["base"] = base
    call_core(core, "POST", "/plans", document)


def confirm(plan_id: str, *, core: list[str]) -> None:
    """Confirm a plan; shortly after the answer, its configuration is in effect at all nodes.

    Confirming it again gives the same answer and changes nothing more.

    :param plan_id: the id that the answer to `plan` contains
    :param core: IP:port of core machines' HTTP ports, tried in turn
    """
    call_core(core, "POST", f"/plans/{plan_id}/confirm", {})


def change(file: str, *, number: int, built_on: int, core: list[str]) -> None:
    """Change the configuration in one step, without a plan, under a number that the operator chooses.

    The file holds a whole configuration, or {"upsert": {"routes": {...}}, "remove": {"routes": [...]}}.
    Sending the same change again gives the same answer and changes nothing more.

    :param file: the change, as JSON
    :param number: number of the configuration after the change; must be greater than the current number
    :param built_on: the current number, on which the change is based; 0 before the first change
    :param core: IP:port of core machines' HTTP ports, tried in turn
    """
    document = read_json(file)
    if isinstance(document, dict) and document and set(document) <= {"upsert", "remove"}:
        content = document
    else:
        content = {"blueprint": document}
    call_core(core, "POST", "/changes", {"number": number, "built_on": built_on, **content})


def evacuate(zone: str, *, core: list[str]) -> None:
    """Evacuate a zone: after the answer, no new requests go to its workers; requests in progress continue.

    Evacuating an evacuated zone again changes nothing.

    :param zone: the zone, as the platform's worker list names it
    :param core: IP:port of core machines' HTTP ports, tried in turn
    """
    call_core(core, "PUT", f"/evacuations/{urllib.parse.quote(zone, safe='')}")


def readmit(zone: str, *, core: list[str]) -> None:
    """Cancel the evacuation of a zone: requests go to its workers again.

    :param zone: the zone; if it is not evacuated, nothing changes
    :param core: IP:port of core machines' HTTP ports, tried in turn
    """
    call_core(core, "DELETE", f"/evacuations/{urllib.parse.quote(zone, safe='')}")


def show(what: str = "blueprint", *, core: list[str]) -> None:
    """Print the current configuration, a plan, the evacuated zones, or the state of a process.

    :param what: blueprint (the configuration), evacuations, state, or the id of a plan
    :param core: IP:port of core machines' HTTP ports (for state: of any process)
    """
    call_core(core, "GET", f"/{what}" if what in ("blueprint", "evacuations", "state") else f"/plans/{what}")


def load(
    *,
    nodes: list[str],
    platform: str = "",
    seconds: int = 20,
    long_rate: float = 4.0,
    short_rate: float = 40.0,
    talks: int = 12,
    path: str = "/v1/complete",
    events: str = "",
    seed: int = 1,
) -> None:
    """Send a mix of requests to nodes, and print how they ended; SIGINT ends it early.

    :param nodes: IP:port of nodes' HTTP ports
    :param platform: IP:port of a platform that lists the ready nodes at /nodes, as the benchmarks' stand-in does
    :param seconds: how long to send requests
    :param long_rate: requests with long prompts per second
    :param short_rate: requests with short prompts per second
    :param talks: number of concurrent conversations
    :param path: path of the requests
    :param events: file for the event log, with one JSON object per line
    :param seed: seed of the random choices
    """
    service.set_logs("ERROR")
    try:
        node_addresses = load_generator.NodeAddresses([options_reader.parse_address(text) for text in nodes])
        platform_address = options_reader.parse_address(platform) if platform else None
    except ValueError as error:
        service.fail(service.ExitCode.BAD_INPUT, [f"nodes, platform: {error}"])
    reactor = service.install_reactor()
    runtime = scheduler.Runtime(reactor, seed=seed)
    if platform_address:
        runtime.spawn(node_addresses.follow(runtime, *platform_address), log)
    with contextlib.ExitStack() as files:
        out = files.enter_context(pathlib.Path(events).open("w")) if events else None
        mix = load_generator.LoadMix(path, seconds * units.SECOND_US, long_rate, short_rate, conversations=talks)
        generator = load_generator.LoadGenerator(runtime, node_addresses, mix, load_generator.Events(out))
        reactor.callWhenRunning(_end_on_signals, generator)
        reactor.callWhenRunning(lambda: defer.ensureDeferred(generator.run()).addBoth(_stop, reactor))
        reactor.run()
    print(json.dumps(generator.report(), indent=2))


def _end_on_signals(generator: load_generator.LoadGenerator) -> None:
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: generator.end())


def _stop(result: object, reactor: epollreactor.EPollReactor) -> object:
    """Stop the reactor; returns the result, so that Twisted logs it if it is a failure."""
    reactor.stop()
    return result


def read_logs(paths: collections.abc.Sequence[str]) -> list[Document]:
    """Merge the rows of event logs by time; if a log can't be read, print the reason and exit."""
    rows: list[Document] = []
    truncated_paths = []
    for path in paths:
        try:
            with open(path) as file:  # noqa: PTH123 - Path("") would be the current folder
                file_rows, truncated = replay_checks.read(file)
        except OSError as error:
            service.fail(service.ExitCode.BAD_INPUT, [f"{path}: {error.strerror}"])
        except (replay_checks.DamagedLogError, UnicodeDecodeError) as error:
            service.fail(service.ExitCode.BAD_INPUT, [f"{path}: the event log is damaged: {error}"])
        rows += file_rows
        if truncated:
            truncated_paths.append(path)
    rows.sort(key=lambda row: row["at"])
    for path in truncated_paths:
        print(f"{path}: the last line is incomplete; the log is checked without it")
    return rows


def replay(*files: str) -> typing.NoReturn:
    """Check event logs with all checkers; exit with code 1 if there is a complaint.

    :param files: event logs of one run, which are merged by time
    """
    rows = read_logs(files)
    complaints = replay_checks.judge(rows)
    for name, texts in complaints.items():
        for text in texts:
            print(f"{name}: {text}")
    for line in replay_checks.recovery_lines(rows):
        print(line)
    print(
        f"{len(rows)} events, {len(replay_checks.CHECKERS)} checkers, {sum(map(len, complaints.values()))} complaints"
    )
    sys.exit(service.ExitCode.COMPLAINTS if complaints else 0)


def history(*files: str) -> typing.NoReturn:
    """Check that the operators' calls in event logs are linearizable; exit with code 1 if they are not.

    :param files: event logs of one run, which are merged by time
    """
    rows = read_logs(files)
    complaints = operator_history.complaints(rows)
    for text in complaints:
        print(text)
    print(f"{operator_history.call_count(rows)} calls, {len(complaints)} complaints")
    sys.exit(service.ExitCode.COMPLAINTS if complaints else 0)


def main() -> None:
    """Run the subcommand that the command line names."""
    try:
        defopt.run([core, node, load, check, plan, confirm, change, evacuate, readmit, show, replay, history])
    except KeyboardInterrupt:
        sys.exit(service.ExitCode.INTERRUPTED)
