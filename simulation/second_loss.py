"""Simulated runs in which a second core machine is lost at a chosen step of the repair after a first loss.

    python -m simulation.second_loss --cores 3 --seeds 5
    python -m simulation.second_loss --cores 5 --firsts WIPED --steps SEATED --seconds GONE --first-seed 2

A core machine is lost, or replaced as planned. When the repair of this first loss reaches the chosen step, a second
loss is injected. Meanwhile two operators together send a change every 150 ms. The `Target` selects the machines of
the second loss. All targets but STRESS stay within the deployment's tolerance, where a machine counts as lost until
the settle time after its return is over.
"""

from __future__ import annotations

import collections
import collections.abc
import multiprocessing
import sys
import time
import typing

import defopt
import loguru
import msgspec

import simulation.site.site as simulated_site
from iriswheel.consensus import decisions
from iriswheel.runtime import units
from simulation import host_model, platform_names, platform_rules, process_model, second_loss_cases
from simulation.site import shapes

if typing.TYPE_CHECKING:
    import simulation.clients.operator as operators
    from iriswheel.transport import message
    from simulation import server_model

POLL_S = 0.001  # between two checks of an awaited condition
LEAD_S = 3  # from the start of the site to the first change
OPERATOR_GAP_US = 300 * units.MILLISECOND_US  # between the changes of each operator; the two operators alternate
REPAIR_TIMEOUT_S = 12  # time limit for a repair to reach a step, and for the core to be complete after the second loss
RESTART_S = 1  # from a power loss to the restart
TERM_DELAY_S = 1  # from the start of a planned replacement to the SIGTERM of the replaced machine
TERM_GRACE_S = 8  # from SIGTERM to SIGKILL
MAX_SECOND_LOSS_DELAY_S = 0.005  # the second loss follows the step within this time
CHANGE_TIMEOUT_S = 20
SLOW_SYNC_US = 150 * units.MILLISECOND_US
PAUSE_S = 2  # simulated time before the first loss, and before and after the operators stop
READ_BACK_S = 30  # time limit for reading the configuration back
TRAFFIC_SHARE = 0.01  # of the usual load, as the workers are not under test

ZONES = ("osborne", "malaga", "kewdale")

log = loguru.logger.bind(part="site")


class Outcome(msgspec.Struct, frozen=True):
    """The result of a run."""

    case: second_loss_cases.Case
    complaints: list[str]
    acknowledged: int
    reached_us: int | None  # from the first loss to the chosen step
    first_change_us: int | None  # from the second loss to the first acknowledgement of a change that was sent after it
    complete_us: int | None  # from the second loss to the complete chain whose tail holds the read lease


class WaitTimeoutError(Exception):
    """An awaited condition did not hold within its time limit."""


def shape(cores: int) -> shapes.Shape:
    """Return a deployment with a number of core machines, one node and one worker.

    >>> shape(5).tolerated_losses
    2
    """
    return shapes.Shape(
        nodes=[ZONES[0]],
        cores=[ZONES[index % len(ZONES)] for index in range(cores)],
        workers=[ZONES[0]],
        rate=1.0,
        kinds=(shapes.LONG, shapes.SHORT),
        retry_slack=50,
        tolerated_losses=cores // 2,
    )


class Run:
    """A run in progress."""

    def __init__(self, case: second_loss_cases.Case) -> None:
        self.case = case
        self.site = simulated_site.Site(case.seed, seconds=0, load=TRAFFIC_SHARE)
        self.site.shape = shape(case.cores)
        self.rng = self.site.rng
        self.replacement = ""  # the name of the core that takes the place of the first lost one
        self.leaving: set[str] = set()  # machines whose replacement has started and that are about to be stopped
        # The process of the first lost core; its replacement may have the same name.
        self.first_lost_process: process_model.SimulatedProcess | None = None
        self.reached_us: int | None = None
        self.leased_at: int | None = None
        self.acknowledged: list[tuple[int, int]] = []  # (sent, answered) of each acknowledged change
        self.operating = True

    # ---- operators ---------------------------------------------------------------------

    async def change_repeatedly(self, operator: operators.Operator, wait_us: int, version_gap: int) -> None:
        """Send changes one after the other until the run ends."""
        site = self.site
        await site.operator_runtime.sleep(wait_us)
        while self.operating:
            sent, base = site.world.time, site.configurations.version
            document = site.configurations.next_change("idle").document
            document[platform_names.CONFIGURATION["version"]] += version_gap
            status = await operator.put(document, base, seconds=CHANGE_TIMEOUT_S)
            if status == 200:
                self.acknowledged.append((sent, site.world.time))
                site.configurations.adopt_newer(document)
            else:
                site.configurations.adopt_newer(await operator.read())
            await site.operator_runtime.sleep(OPERATOR_GAP_US)

    def first_change_after(self, at: int) -> int | None:
        """Return the earliest acknowledgement of a change that was sent after a time, or None."""
        return min((answered for sent, answered in self.acknowledged if sent > at), default=None)

    def wait_for_change(self, at: int) -> int:
        """Advance until a change that was sent after a time is acknowledged; return when it was acknowledged."""
        self.wait(lambda: self.first_change_after(at) is not None, "no change was acknowledged")
        return min(answered for sent, answered in self.acknowledged if sent > at)

    # ---- losses ------------------------------------------------------------------------

    def lose(self, name: str, loss: second_loss_cases.Loss) -> str:
        """Inject the loss of a machine; return the name of its replacement."""
        match loss:
            case second_loss_cases.Loss.WIPED:
                self.site.faults.power_off(name, RESTART_S, wipe=True)
                return name
            case second_loss_cases.Loss.GONE:
                self.site.faults.replace_core(name)
                return self.site.core_membership_changes[-1].name
            case second_loss_cases.Loss.PLANNED:
                return self.replace_planned(name)

    def replace_planned(self, name: str) -> str:
        """Start an empty machine at another address, then stop the old one; return the new one's name."""
        site = self.site
        new = site.faults.register_replacement_core(name)
        site.start_core(new)
        site.faults.note_repair(new)
        self.leaving.add(name)
        site.schedule(TERM_DELAY_S, self.terminate, name)
        return new

    def terminate(self, name: str) -> None:
        """Stop a machine for good by SIGTERM, and let all processes reload their settings."""
        site, old = self.site, self.site.cores.pop(name)
        site.note_core_membership_changes([name])
        site.faults.note_fault(name, "term")
        for other in [*site.nodes, *site.cores]:
            site.reload(other)

        def end(_: object = None) -> None:
            if old.process.alive:
                old.process.kill()

        old.runtime.spawn(old.stop(), log).addBoth(end)
        site.schedule(TERM_GRACE_S, end)

    def slow_disk(self, name: str) -> None:
        """Slow a machine's disk down, even if the machine has not started yet."""
        host, zone = self.site.places[name]
        if host not in self.site.world.machines:
            host_model.Host(self.site.world, host, zone).power = False
        disk = self.site.world.machines[host]
        disk.disk_condition, disk.slow_disk_delay_us = "slow", SLOW_SYNC_US

    # ---- steps -------------------------------------------------------------------------

    def live_cores(self) -> list[server_model.SimulatedCore]:
        """Return the core machines whose processes are running."""
        return [core for core in self.site.cores.values() if core.process.alive]

    def newest_view(self) -> message.View | None:
        """Return the newest view that a running core machine knows, or None."""
        views = [core.consensus.view for core in self.live_cores() if core.consensus.view is not None]
        return max(views, key=lambda view: view.number, default=None)

    def replacement_core(self) -> server_model.SimulatedCore | None:
        """Return the replacement of the first lost core once its process has started, or None."""
        core = self.site.cores.get(self.replacement)
        return (
            core
            if core is not None
            and core.process is not self.first_lost_process
            and core.process.name == self.replacement
            else None
        )

    def has_reached(self, step: second_loss_cases.Step) -> bool:
        """Whether the repair has reached a step."""
        core, view = self.replacement_core(), self.newest_view()
        if core is None or view is None:
            return False
        identifier, incarnation = core.consensus.own_voter.id, core.runtime.incarnation
        chained = any(member.id == identifier and member.incarnation == incarnation for member in view.chain)
        match step:
            case second_loss_cases.Step.SEEN:
                others = [other for other in self.live_cores() if other is not core]
                reached = any(identifier in other.consensus.heartbeats for other in others)
            case second_loss_cases.Step.SEATED:
                reached = any(voter.id == identifier for voter in view.voters)
            case second_loss_cases.Step.CHAINED:
                reached = chained
            case second_loss_cases.Step.REFILLED:
                received = core.chain.log.last_index > 0 or len(core.chain.receiver.incoming.content) > 0
                reached = chained and received
            case second_loss_cases.Step.SYNCED:
                reached = chained and decisions.is_synced(core.consensus.record)
            case second_loss_cases.Step.LEASED:
                reached = chained and self.tail_is_leased(view)
            case second_loss_cases.Step.ACKNOWLEDGED:
                reached = self.has_acknowledged_after_lease()
        return reached

    def has_acknowledged_after_lease(self) -> bool:
        """Whether a change was acknowledged that was sent after the repair reached the step LEASED."""
        if self.leased_at is None and self.has_reached(second_loss_cases.Step.LEASED):
            self.leased_at = self.site.world.time
        return self.leased_at is not None and self.first_change_after(self.leased_at) is not None

    def tail_is_leased(self, view: message.View) -> bool:
        """Whether the tail of a view holds the read lease."""
        return any(core.consensus.view == view and core.consensus.holds_lease() for core in self.live_cores())

    def is_repaired(self) -> bool:
        """Whether all core machines are synced members of the newest chain, and its tail holds the read lease."""
        view, cores = self.newest_view(), self.site.cores.values()
        members = {(core.consensus.own_voter.id, core.runtime.incarnation) for core in cores if core.process.alive}
        if view is None or members != {(member.id, member.incarnation) for member in view.chain}:
            return False
        synced = all(core.consensus.view == view and decisions.is_synced(core.consensus.record) for core in cores)
        return synced and len(members) == self.case.cores and self.tail_is_leased(view)

    def wait(
        self, condition: collections.abc.Callable[[], object], what: str, seconds: float = REPAIR_TIMEOUT_S
    ) -> None:
        """Advance until a condition holds.

        Raises:
            WaitTimeoutError: The condition does not hold within the time limit; `what` describes the failure.
        """
        end = self.site.world.time + int(seconds * units.SECOND_US)
        while not condition():
            if self.site.world.time >= end:
                raise WaitTimeoutError(f"{what} for {seconds} s")
            self.site.advance(POLL_S)

    # ---- the run -----------------------------------------------------------------------

    def second_targets(self) -> list[str]:
        """Choose the machines of the second loss and return their names."""
        names, tolerated = sorted(self.site.cores), self.site.shape.tolerated_losses
        others = [name for name in names if name != self.replacement and name not in self.leaving]
        match self.case.target:
            case second_loss_cases.Target.SAME:
                return [self.replacement]
            case second_loss_cases.Target.OTHER:
                return [self.rng.choice(others)]
            case second_loss_cases.Target.SETTLED:
                return self.rng.sample(names, tolerated)
            case second_loss_cases.Target.STRESS:
                return self.rng.sample(others, tolerated)

    def repair(self) -> None:
        """Inject the first loss, and advance until its repair reaches the step of the case."""
        name = self.rng.choice(sorted(self.site.cores))
        self.first_lost_process = self.site.cores[name].process
        started_at, step = self.site.world.time, self.case.step
        self.replacement = self.lose(name, self.case.first)
        if self.case.slow_disk:
            self.slow_disk(self.replacement)
        if self.case.target is second_loss_cases.Target.SETTLED:
            self.wait(lambda: self.replacement_core() is not None, f"the replacement {self.replacement} did not start")
            self.site.advance(self.site.settle_s())
        else:
            self.wait(lambda: self.has_reached(step), f"the replacement {self.replacement} was not {step.value}")
        self.reached_us = self.site.world.time - started_at

    def play(self) -> Outcome:
        """Play the case and check the rules of the platform on its event log."""
        site = self.site
        site.begin(lead=LEAD_S)
        site.operator_runtime.spawn(self.change_repeatedly(site.operator, 0, 0), log)
        site.operator_runtime.spawn(self.change_repeatedly(site.rival, OPERATOR_GAP_US // 2, 10), log)
        site.advance(PAUSE_S)
        complaints: list[str] = []
        first_change_us = complete_us = None
        try:
            self.repair()
            site.advance(self.rng.uniform(0, MAX_SECOND_LOSS_DELAY_S))
            second_loss_at = site.world.time
            for name in self.second_targets():
                self.lose(name, self.case.second)
            self.wait(self.is_repaired, "the chain was not complete after the second loss")
            complete_us = site.world.time - second_loss_at
            first_change_us = self.wait_for_change(second_loss_at) - second_loss_at
            if first_change_us > REPAIR_TIMEOUT_S * units.SECOND_US:
                complaints.append(f"no change was acknowledged for {first_change_us // units.MILLISECOND_US} ms")
        except WaitTimeoutError as error:
            complaints.append(str(error))
        self.finish()
        complaints += [
            f"{rule}: {line}" for rule, lines in platform_rules.examine(site.event_log.rows).items() for line in lines
        ]
        return Outcome(self.case, complaints, len(self.acknowledged), self.reached_us, first_change_us, complete_us)

    def finish(self) -> None:
        """Stop the operators, and read the configuration back."""
        site = self.site
        site.advance(PAUSE_S)
        self.operating = False
        site.advance(PAUSE_S)
        site.read_back(READ_BACK_S)
        site.event_log.put(site.world.time, "ended")


def play(case: second_loss_cases.Case) -> Outcome:
    """Play one case in this process."""
    loguru.logger.remove()
    return Run(case).play()


def report(outcomes: list[Outcome]) -> list[str]:
    """Return a line for each target: runs, complaints, and the time to the first change and to the complete chain.

    >>> report([])
    []
    """
    groups = collections.defaultdict(list)
    for outcome in outcomes:
        groups[outcome.case.cores, outcome.case.target].append(outcome)
    lines = []
    for (cores, target), group in groups.items():
        failed = sum(bool(outcome.complaints) for outcome in group)
        changes = sorted(outcome.first_change_us for outcome in group if outcome.first_change_us is not None)
        complete = sorted(outcome.complete_us for outcome in group if outcome.complete_us is not None)
        lines.append(
            f"{cores} cores, {target.value}: {len(group)} runs, {failed} with complaints; "
            f"{sum(outcome.acknowledged for outcome in group)} changes acknowledged; "
            f"first change after {median_and_worst(changes)}; complete after {median_and_worst(complete)}"
        )
    return lines


def report_steps(outcomes: list[Outcome]) -> list[str]:
    """Return a line for each kind of first loss: the times until its repair reached each step.

    >>> report_steps([])
    []
    """
    lines = []
    for first in second_loss_cases.Loss:
        found = []
        for step in second_loss_cases.Step:
            group = [outcome for outcome in outcomes if outcome.case.first is first and outcome.case.step is step]
            times = sorted(
                outcome.reached_us
                for outcome in group
                if outcome.reached_us is not None and outcome.case.target is not second_loss_cases.Target.SETTLED
            )
            found += [f"{step.value} {median_and_worst(times)}"] if times else []
        lines += [f"{first.value}: " + ", ".join(found)] if found else []
    return lines


def median_and_worst(times: list[int]) -> str:
    """Return the median and the maximum of sorted times in microseconds, as a text in milliseconds.

    >>> median_and_worst([1_000, 2_000, 9_000])
    '2 ms (worst 9 ms)'
    """
    if not times:
        return "no run"
    median_ms, worst_ms = times[len(times) // 2] // units.MILLISECOND_US, times[-1] // units.MILLISECOND_US
    return f"{median_ms} ms (worst {worst_ms} ms)"


def main(
    *,
    cores: int = 3,
    seeds: int = 1,
    first_seed: int = 1,
    firsts: collections.abc.Sequence[second_loss_cases.Loss] = tuple(second_loss_cases.Loss),
    steps: collections.abc.Sequence[second_loss_cases.Step] = tuple(second_loss_cases.Step),
    seconds: collections.abc.Sequence[second_loss_cases.Loss] = tuple(second_loss_cases.Loss),
    targets: collections.abc.Sequence[second_loss_cases.Target] = tuple(second_loss_cases.Target),
    slow_disk: bool = False,
    processes: int = 2,
) -> typing.NoReturn:
    """Play the chosen cases; print the complaints of each failed run with the options that repeat it.

    :param cores: number of core machines, 3 or 5
    :param seeds: number of seeds for each case
    :param first_seed: the first seed
    :param firsts: the kinds of the first loss
    :param steps: the steps of the repair at which the second loss is injected
    :param seconds: the kinds of the second loss
    :param targets: the choices of machines of the second loss
    :param slow_disk: whether the replacement's disk is slow
    :param processes: number of processes that play runs
    """
    chosen = second_loss_cases.cases(
        cores,
        range(first_seed, first_seed + seeds),
        firsts=firsts,
        steps=steps,
        seconds=seconds,
        targets=targets,
        slow_disk=slow_disk,
    )
    started_at, outcomes = time.monotonic(), []
    with multiprocessing.Pool(processes, maxtasksperchild=16) as pool:
        for outcome in pool.imap_unordered(play, chosen):
            outcomes.append(outcome)
            for line in outcome.complaints[:3]:
                print(f"FAILED {outcome.case.options()}: {line}", flush=True)
    print("\n".join(report(outcomes) + report_steps(outcomes)))
    print(f"{len(outcomes)} runs, {time.monotonic() - started_at:.0f} s elapsed")
    sys.exit(1 if any(outcome.complaints for outcome in outcomes) else 0)


if __name__ == "__main__":
    defopt.run(main)
