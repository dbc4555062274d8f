"""Simulated races of two changes while core machines fail, each followed by a restart of the whole fleet.

    python -m simulation.refused_changes --seeds 50
    python -m simulation.refused_changes --first-seed 7 --seeds 1
    python -m simulation.refused_changes --seeds 50 --wide

In each round two operators submit different changes of the same base. Faults of core machines are timed so that one
change is stored by a part of the machines only and the other one wins. Then processes of the fleet are lost and start
again, in an order drawn from the seed, and every node is watched: a change that is refused, now or later, must never be
in force anywhere, no node may go back to an older change, and the newest acknowledged change must come into force.
With the option `wide` core machines are also stopped in order, and nodes that live are frozen over a restart.
"""

from __future__ import annotations

import collections.abc
import functools
import itertools
import sys
import typing

import defopt
import loguru
from twisted.internet import defer

from iriswheel.cli import command
from iriswheel.runtime import units
from simulation import addresses, seed_runs, simulated_cluster
from simulation.scenarios import actions

ROUNDS = 3
STEP_S = 0.005  # simulated time between two looks at the nodes
REQUEST_TIMEOUT_US = 1 * units.SECOND_US
RETRY_DELAY_US = 100 * units.MILLISECOND_US
ANSWER_TIMEOUT_S = 25  # for a clear answer to a change while a majority of the core machines runs
RECOVERY_S = 12  # the users' bound, from the restart of all processes until the newest change is in force on all nodes
SETTLE_S = 4  # the users' bound, after which a machine that came back no longer counts as lost
MAX_FAULT_DELAY_S = 0.06  # from the submission of a change to the loss of the head
DOWN_S = (0.3, 1.2)  # limits of the time from the loss of a process to its restart

ACCEPTED, REFUSED, NO_ANSWER = 200, 409, 504  # HTTP statuses
FAULTS = ("kill", "power", "freeze", "cut", "cut from cores")
WIDE_FAULTS = (*FAULTS, "stop")
RESTARTS = ("all by kill", "all by power", "cores and some nodes", "nodes only")

log = loguru.logger.bind(part="races")


class Submitted(typing.NamedTuple):
    """A change that an operator submitted, and the HTTP status of the clear answer to it."""

    number: int
    status: int


class Observer:
    """Looks at the change that is in force on each node, and collects complaints."""

    def __init__(self, cluster: simulated_cluster.SimulatedCluster) -> None:
        self.cluster = cluster
        self.complaints: list[str] = []
        self.refused: set[int] = set()  # numbers of refused changes
        self._seen_on: dict[int, str] = {}  # number of a change -> the first node on which it was in force
        self._newest: dict[str, int] = {}  # incarnation of a node -> the newest number that was in force on it

    def advance(self, seconds: float) -> None:
        """Advance simulated time, and look at the nodes every STEP_S."""
        end = self.cluster.world.time + int(seconds * units.SECOND_US)
        while self.cluster.world.time < end:
            self.cluster.advance(STEP_S)
            self.look()

    def advance_until(self, condition: collections.abc.Callable[[], bool], seconds: float) -> bool:
        """Advance until a condition holds; returns False if it does not within a number of seconds."""
        end = self.cluster.world.time + int(seconds * units.SECOND_US)
        while not condition():
            if self.cluster.world.time >= end:
                return False
            self.advance(STEP_S)
        return True

    def look(self) -> None:
        """Compare the change in force on each node with those seen and refused so far."""
        for name, node in self.cluster.nodes.items():
            number = self.in_force(name)
            if number is None:
                continue
            self._seen_on.setdefault(number, name)
            newest = self._newest.get(node.runtime.incarnation, 0)
            if number < newest:
                self._complain(f"{name} went back from change {newest} to change {number}")
            self._newest[node.runtime.incarnation] = max(number, newest)
        for number in self.refused & self._seen_on.keys():
            self._complain(f"change {number} was refused, and was in force on {self._seen_on[number]}")

    def in_force(self, name: str) -> int | None:
        """The number of the change that is in force on a node; None without a configuration."""
        node = self.cluster.nodes[name]
        route = node.follower.routes.get("probe")
        return None if route is None or not node.process.alive else int(route.path.rsplit("/", 1)[1])

    def _complain(self, complaint: str) -> None:
        if complaint not in self.complaints:
            self.complaints.append(complaint)


class RaceRun:
    """One simulated run: some rounds, each with a race of two changes and a restart of processes."""

    def __init__(self, seed: int, *, wide: bool = False) -> None:
        self.wide = wide
        self.fault_kinds = WIDE_FAULTS if wide else FAULTS
        self.cluster = simulated_cluster.SimulatedCluster(
            seed,
            "magnolia",
            long_rate=0,
            short_rate=0,
            conversations=0,
            cores=3 + 2 * (seed % 2),
            seats=3 + 2 * (seed % 2),
        )
        self.rng = self.cluster.rng
        self.cluster.probing = False
        self.observer = Observer(self.cluster)
        self.current = 0  # number of the newest acknowledged change
        self.last_number = 0  # number of the newest submitted change
        self.failed: dict[str, str] = {}  # core machine -> its fault, until it is repaired

    def play(self) -> list[str]:
        """Play all rounds, and return the complaints."""
        self.cluster.begin()
        self._submit_alone()
        for _ in range(ROUNDS):
            if not self._play_round():
                break
        return self.observer.complaints

    # ---- changes -----------------------------------------------------------------------

    def _new_change(self) -> dict[str, typing.Any]:
        self.last_number += 1
        route = {"path": f"/p/{self.last_number}", "pool": self.cluster.pool}
        return {"number": self.last_number, "built_on": self.current, "upsert": {"routes": {"probe": route}}}

    def _submit_alone(self) -> None:
        """Submit one change without any fault, so that each route has a number to start with."""
        self._submit_until_clear(self._new_change(), sorted(self.cluster.cores))

    async def _call(self, document: dict[str, typing.Any], core: str) -> int:
        """Submit a change to one core machine; returns the HTTP status, NO_ANSWER without one."""
        address = f"{self.cluster.places[core].host}:{addresses.HTTP_PORT}"
        runtime = self.cluster.operator_runtime
        sending = defer.ensureDeferred(command.send_request(runtime, [address], "POST", "/changes", document))
        try:
            answer = await runtime.within(sending, REQUEST_TIMEOUT_US)
        except Exception:
            return NO_ANSWER
        return answer.status

    async def _call_until_clear(
        self, document: dict[str, typing.Any], cores: list[str], answers: list[Submitted]
    ) -> None:
        """Submit a change to one core machine after the other until one accepts or refuses it."""
        for core in itertools.cycle(cores):
            status = await self._call(document, core)
            if status in (ACCEPTED, REFUSED):
                answers.append(Submitted(document["number"], status))
                return
            await self.cluster.operator_runtime.sleep(RETRY_DELAY_US)

    def _submit_until_clear(self, document: dict[str, typing.Any], cores: list[str]) -> bool:
        """Submit a change until it is accepted or refused, and record the answer; returns False without one."""
        answers: list[Submitted] = []
        self.cluster.operator_runtime.spawn(self._call_until_clear(document, cores, answers), log)
        if not self.observer.advance_until(lambda: bool(answers), ANSWER_TIMEOUT_S):
            self.observer.complaints.append(f"change {document['number']} got no clear answer")
            return False
        submitted = answers[0]
        if submitted.status == REFUSED:
            self.observer.refused.add(submitted.number)
        else:
            self.current = max(self.current, submitted.number)
        return True

    # ---- a round -----------------------------------------------------------------------

    def _play_round(self) -> bool:
        """Play one round; returns False if it can't go on."""
        head = self.cluster.head()
        if head is None or not self._is_chain_complete():
            self.observer.complaints.append("the chain was not complete at the begin of a round")
            return False
        head_name = head.options.name
        others = [name for name in sorted(self.cluster.cores) if name != head_name]
        blocked = self.rng.sample(others, (len(others) + 1) // 2 if self.rng.random() < 0.3 else 1)
        first, second = self._new_change(), self._new_change()
        for name in blocked:
            self._fail(name, self.rng.choice(self.fault_kinds))
        self.cluster.operator_runtime.spawn(self._call(first, head_name), log)
        self.observer.advance(self.rng.random() * MAX_FAULT_DELAY_S)
        self._fail(head_name, self.rng.choice(self.fault_kinds))
        self.observer.advance(self.rng.uniform(*DOWN_S))
        for name in blocked:
            self._repair(name)
        if not all(
            self._submit_until_clear(change, self.rng.sample(others, len(others))) for change in (second, first)
        ):
            return False
        if self.rng.random() < 0.3:
            self._repair(head_name)
            self.observer.advance(self.rng.random() * SETTLE_S)
        self._restart_processes(head_name)
        return self._await_recovery()

    def _is_chain_complete(self) -> bool:
        """Whether all core machines are replicas of the newest chain, waiting a while for it."""
        cores = self.cluster.cores

        def is_complete() -> bool:
            tail = self.cluster.tail()
            view = tail.consensus.view if tail is not None else None
            return view is not None and {replica.id for replica in view.chain} == {
                core.consensus.own_voter.id for core in cores.values()
            }

        return self.observer.advance_until(is_complete, RECOVERY_S)

    # ---- faults --------------------------------------------------------------------------

    def _fail(self, name: str, fault: str) -> None:
        self.failed[name] = fault
        process = self.cluster.cores[name].process
        match fault:
            case "kill":
                process.kill()
            case "power":
                process.host.fail()
            case "freeze":
                process.freeze()
            case "stop":
                self._stop(name)
            case "cut":
                actions.cut_off(self.cluster, name)
            case "cut from cores":
                self.cluster.world.cut([self.cluster.places[name].host], self.cluster.hosts("cores"))

    def _stop(self, name: str) -> None:
        """Stop a core machine in order, and kill it where it stays on because it is needed."""
        core = self.cluster.cores[name]
        core.runtime.spawn(core.stop(), log).addBoth(lambda _: core.process.kill())

    def _repair(self, name: str) -> None:
        fault = self.failed.pop(name, "")
        if fault == "stop":
            self.cluster.cores[name].process.kill()
        if fault in ("kill", "power", "stop"):
            self._start(name)
        elif fault == "freeze":
            self.cluster.cores[name].process.wake()
        elif fault:
            self._heal()

    def _heal(self) -> None:
        """Remove all cuts but those of the machines that stay cut off."""
        self.cluster.world.heal()
        for name, fault in self.failed.items():
            if fault.startswith("cut"):
                self._fail(name, fault)

    def _start(self, name: str) -> None:
        if name in self.cluster.cores:
            self.cluster.start_core(name, *self.cluster.places[name])
        else:
            self.cluster.start_node(name, *self.cluster.places[name])

    # ---- restart ---------------------------------------------------------------------------

    def _restart_processes(self, old_head: str) -> None:
        """Lose a part or all of the processes, and start them again one by one.

        The old head, whose disk may hold the refused change, comes back first, last or in between. At most one disk is
        lost: of three core machines the old head's, which counts as lost already, and of five any.
        """
        kind = self.rng.choice(RESTARTS)
        names = self._processes_to_restart(kind)
        if self.wide:
            self._freeze_nodes([name for name in self.cluster.nodes if name not in names])
        for name in names:
            process = self.cluster.servers()[name].process
            if name in self.cluster.cores:
                self.failed.pop(name, None)
            if kind == "all by power":
                process.host.fail()
            else:
                process.kill()
        self._heal()
        self._lose_disk(names, old_head)
        order = self.rng.choice(["first", "last", "any"])
        delays = {name: self.rng.uniform(*DOWN_S) for name in names}
        if old_head in delays and order != "any":
            delays[old_head] = DOWN_S[0] if order == "first" else DOWN_S[1]
        for name, delay in delays.items():
            at = self.cluster.world.time + int(delay * units.SECOND_US)
            self.cluster.world.push(at, functools.partial(self._start, name))
        self.observer.advance(DOWN_S[1])
        for name in list(self.failed):
            self.observer.advance(self.rng.random())
            self._repair(name)

    def _freeze_nodes(self, names: list[str]) -> None:
        """Freeze some nodes that live on, each for a time of its own."""
        for name in names:
            process = self.cluster.nodes[name].process
            process.freeze()
            wake_at = self.cluster.world.time + int(self.rng.random() * SETTLE_S * units.SECOND_US)
            self.cluster.world.push(wake_at, process.wake)

    def _processes_to_restart(self, kind: str) -> list[str]:
        cores, nodes = sorted(self.cluster.cores), sorted(self.cluster.nodes)
        match kind:
            case "cores and some nodes":
                return cores + self.rng.sample(nodes, len(nodes) // 2)
            case "nodes only":
                return nodes
            case _:
                return cores + nodes

    def _lose_disk(self, names: list[str], old_head: str) -> None:
        candidates = [name for name in names if name in self.cluster.cores]
        if not candidates or self.rng.random() < 0.6:
            return
        name = self.rng.choice(candidates) if len(self.cluster.cores) > 3 else old_head
        self.cluster.cores[name].process.host.synced.clear()

    def _await_recovery(self) -> bool:
        """Wait until the newest acknowledged change is in force on all nodes."""

        def is_in_force() -> bool:
            return all(self.observer.in_force(name) == self.current for name in self.cluster.nodes)

        if not self.observer.advance_until(is_in_force, RECOVERY_S):
            missing = [name for name in self.cluster.nodes if self.observer.in_force(name) != self.current]
            self.observer.complaints.append(
                f"change {self.current} was not in force after {RECOVERY_S} s on {', '.join(missing)}"
            )
            return False
        self.observer.advance(SETTLE_S)
        return True


def play(seed: int, *, wide: bool = False) -> seed_runs.Outcome[int]:
    """Play one seed in this process."""
    loguru.logger.remove()
    complaints = RaceRun(seed, wide=wide).play()
    return seed_runs.Outcome(seed, {"races": complaints} if complaints else {}, {}, 0.0)


def main(*, seeds: int = 50, first_seed: int = 1, wide: bool = False, processes: int = 2) -> typing.NoReturn:
    """Play the seeds, and print the complaints of each failed one with the command that repeats it.

    :param seeds: number of seeds
    :param first_seed: the first seed
    :param wide: stop core machines in order too, and freeze nodes over a restart
    :param processes: number of processes that play runs
    """
    outcomes = list(
        seed_runs.play_all(
            functools.partial(play, wide=wide),
            range(first_seed, first_seed + seeds),
            lambda seed: f"seed {seed}",
            lambda seed: (
                f"python -m simulation.refused_changes --first-seed {seed} --seeds 1{' --wide' if wide else ''}"
            ),
            processes,
        )
    )
    failed = sum(bool(outcome.complaints) for outcome in outcomes)
    print(f"{len(outcomes)} runs, {failed} with complaints")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    defopt.run(main)
