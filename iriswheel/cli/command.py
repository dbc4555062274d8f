"""The command line: one program, with a subcommand for each role and each tool."""

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
    """The answer of a core to an operator."""

    status: int  # of HTTP
    document: Document


def read_options(role: str, path: str, flags: collections.abc.Mapping[str, typing.Any]) -> options_reader.Options:
    """The checked options of a process; with mistakes in them, print these and exit."""
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
    """Run a core, which keeps the configuration, with a data folder.

    :param options: options file (TOML); flags go over it
    :param name: this machine's name
    :param host: IP number to listen on and to be reached at
    :param port: port for iriswheel's own processes
    :param http_port: port for operators
    :param zone: zone of this machine
    :param seeds: IP:port of the three core machines; the first starts a new fleet
    :param data: data folder
    :param log_level: DEBUG, INFO, WARNING or ERROR
    """
    flags = dict(
        name=name, host=host, port=port, http_port=http_port, zone=zone, seeds=seeds, data=data, log_level=log_level
    )
    service.run_core(read_options("core", options, flags), options, lambda: options_reader.read("core", options, flags))


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
    """Run a node, which takes the requests of clients.

    :param options: options file (TOML); flags go over it
    :param name: this node's name; a newer process of that name replaces the one before
    :param host: IP number to listen on and to be reached at
    :param port: port for iriswheel's own processes; 0 lets the system pick
    :param http_port: port for clients; 0 lets the system pick
    :param zone: zone of this node
    :param seeds: IP:port of core machines
    :param platform: IP:port at which the platform lists the workers
    :param log_level: DEBUG, INFO, WARNING or ERROR
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
    service.run_node(read_options("node", options, flags), options, lambda: options_reader.read("node", options, flags))


async def send_request(
    runtime: scheduler.Runtime, cores: list[str], method: str, path: str, document: object = None
) -> Answer:
    """Send a call to the first core that can be reached.

    Args:
        runtime: for the connections.
        cores: IP:port of the cores' HTTP ports, tried in turn.
        method: of HTTP.
        path: of the request.
        document: the body, as JSON values; None for no body.

    Raises:
        ValueError: where the answer broke off or is no JSON.
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
            raise ValueError("the answer broke off")
        return Answer(response.code, json.loads(raw))
    return Answer(503, {"code": "no_chain", "verdict": "not_run", "text": "No core machine can be reached."})


def call_core(cores: list[str], method: str, path: str, document: object = None) -> None:
    """Call a core, print its answer as JSON, and exit by whether the call ran."""
    service.set_logs("ERROR")
    for core_address in cores:
        try:
            options_reader.parse_address(core_address)
        except ValueError:
            service.fail(service.ExitCode.BAD_INPUT, [f"--core: {core_address!r} is no IP:port"])
    reactor = service.install_reactor()
    answers: list[Answer] = []

    async def call() -> None:
        try:
            answers.append(await send_request(scheduler.Runtime(reactor), cores, method, path, document))
        except Exception as error:  # whatever went wrong after sending, the request may have run
            text = f"No answer: {error}"
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
    """Read a JSON file; where that fails, say why and exit."""
    try:
        with open(path) as file:  # noqa: PTH123 - Path("") would be the current folder
            content: object = json.load(file)
    except OSError as error:
        service.fail(service.ExitCode.BAD_INPUT, [f"{path}: {error.strerror}"])
    except ValueError as error:
        service.fail(service.ExitCode.BAD_INPUT, [f"{path}: not JSON: {error}"])
    return content


def check(blueprint_file: str) -> None:
    """Check a configuration file and say all that is wrong with it.

    :param blueprint_file: the configuration, as JSON
    """
    try:
        items = configuration.flatten(read_json(blueprint_file))
    except configuration.InvalidConfigurationError as error:
        service.fail(service.ExitCode.BAD_INPUT, error.errors)
    print(f"{blueprint_file}: {len(items)} items, no mistakes.")


def plan(file: str, *, core: list[str], patch: bool = False, base: int | None = None) -> None:
    """Send a configuration or a JSON Patch and get a plan of what would change.

    :param file: the configuration, or the patch, as JSON
    :param core: IP:port of core machines' HTTP ports, tried in turn
    :param patch: the file is a JSON Patch (RFC 6902)
    :param base: the version that the change was made for; refused where it has moved
    """
    document = {"patch" if patch else "blueprint": read_json(file)}
    if base is not None:
        document["base"] = base
    call_core(core, "POST", "/plans", document)


def confirm(plan_id: str, *, core: list[str]) -> None:
    """Confirm a plan; it is in force everywhere shortly after the answer.

    Saying it again gives the same answer and changes nothing more.

    :param plan_id: the id that the plan came with
    :param core: IP:port of core machines' HTTP ports, tried in turn
    """
    call_core(core, "POST", f"/plans/{plan_id}/confirm", {})


def change(file: str, *, number: int, built_on: int, core: list[str]) -> None:
    """Have a change taken under a number of your own, in one step and without a plan.

    The file holds a whole configuration, or {"upsert": {"routes": {...}}, "remove": {"routes": [...]}}.
    Saying the same again gives the same answer and changes nothing more.

    :param file: the change, as JSON
    :param number: your number for what stands after it, above the one in place
    :param built_on: the number in place that it is made for; 0 before the first
    :param core: IP:port of core machines' HTTP ports, tried in turn
    """
    document = read_json(file)
    if isinstance(document, dict) and document and set(document) <= {"upsert", "remove"}:
        content = document
    else:
        content = {"blueprint": document}
    call_core(core, "POST", "/changes", {"number": number, "built_on": built_on, **content})


def evacuate(zone: str, *, core: list[str]) -> None:
    """Have no new request sent to the workers of a zone, from the answer on; requests under way go on.

    Saying it again changes nothing more.

    :param zone: the zone, as the platform's worker list names it
    :param core: IP:port of core machines' HTTP ports, tried in turn
    """
    call_core(core, "PUT", f"/evacuations/{urllib.parse.quote(zone, safe='')}")


def readmit(zone: str, *, core: list[str]) -> None:
    """Take an evacuation back: requests go to the zone's workers again.

    :param zone: the zone; one that is not evacuated stays as it is
    :param core: IP:port of core machines' HTTP ports, tried in turn
    """
    call_core(core, "DELETE", f"/evacuations/{urllib.parse.quote(zone, safe='')}")


def show(what: str = "blueprint", *, core: list[str]) -> None:
    """Read the configuration back, or a plan by its id, the evacuated zones, or the state of a process.

    :param what: configuration, evacuations, state, or a plan's id
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
    """Send a mix of requests to nodes and report what came of them; SIGINT ends it early.

    :param nodes: IP:port of nodes' HTTP ports
    :param platform: IP:port of a platform that names the ready nodes (the stand-in does)
    :param seconds: how long to go on
    :param long_rate: long prompts per second
    :param short_rate: short prompts per second
    :param talks: conversations kept going
    :param path: the path to send to
    :param events: file for the event log, one JSON object a line
    :param seed: seed of the mix
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
    """Stop the reactor, and pass a failure on, which is then logged."""
    reactor.stop()
    return result


def read_logs(paths: collections.abc.Sequence[str]) -> list[Document]:
    """Merge the rows of event logs by time; where one can't be read, say why and exit."""
    rows: list[Document] = []
    truncated_paths = []
    for path in paths:
        try:
            with open(path) as file:  # noqa: PTH123 - Path("") would be the current folder
                file_rows, truncated = replay_checks.read(file)
        except OSError as error:
            service.fail(service.ExitCode.BAD_INPUT, [f"{path}: {error.strerror}"])
        except (replay_checks.DamagedLogError, UnicodeDecodeError) as error:
            service.fail(service.ExitCode.BAD_INPUT, [f"{path}: damaged: {error}"])
        rows += file_rows
        if truncated:
            truncated_paths.append(path)
    rows.sort(key=lambda row: row["at"])
    for path in truncated_paths:
        print(f"{path}: cut short; judged up to there")
    return rows


def replay(*files: str) -> typing.NoReturn:
    """Check event logs by all checkers; exit 1 where there is a complaint.

    :param files: event logs of one run, merged by their times
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
    """Check operators' calls in event logs: whether one order explains every answer; exit 1 where none does.

    :param files: event logs of one run, merged by their times
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
