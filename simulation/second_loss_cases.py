"""The cases of `simulation.second_loss`: how cores are lost, at which step of a repair, and which ones."""

from __future__ import annotations

import collections.abc
import enum
import itertools

import msgspec


class Loss(enum.Enum):
    """How a core machine is lost."""

    WIPED = "wiped"  # its power and its disk; it restarts at its address
    GONE = "gone"  # for good; an empty machine comes at another address
    PLANNED = "planned"  # an empty machine comes at another address, then the old one gets SIGTERM


class Step(enum.Enum):
    """A step of the repair, by the state of the core that replaces the lost one."""

    SEEN = "seen"  # a voter has received its heartbeat
    SEATED = "seated"  # it is a voter of an agreed view
    CHAINED = "chained"  # it is in the chain of an agreed view
    REFILLED = "refilled"  # it has received the first snapshot chunk or log entries
    SYNCED = "synced"  # it is synced in the view
    LEASED = "leased"  # the tail of its chain has the read lease
    ACKNOWLEDGED = "acknowledged"  # a change was acknowledged that was sent after that


class Target(enum.Enum):
    """Who is struck by the second loss."""

    SAME = "same"  # the replacement, which still counts as lost
    OTHER = "other"  # one other machine: within the tolerance where two losses are tolerated
    SETTLED = "settled"  # as many as are tolerated, at random, the settle time after the replacement's start
    STRESS = "stress"  # as many others as are tolerated at once, while the replacement still counts as lost


STRESS_STEPS = (Step.SYNCED, Step.LEASED, Step.ACKNOWLEDGED)


class Case(msgspec.Struct, frozen=True):
    """One run: the deployment, both losses, the step between them, and the seed."""

    cores: int
    first: Loss
    step: Step
    target: Target
    second: Loss
    seed: int
    slow_disk: bool = False  # of the replacement, so that its catch-up takes longer

    def options(self) -> str:
        """The options that play this case alone.

        >>> Case(3, Loss.WIPED, Step.SEEN, Target.SAME, Loss.GONE, 1).options()
        '--cores 3 --firsts WIPED --steps SEEN --seconds GONE --targets SAME --first-seed 1'
        """
        slow = " --slow-disk" if self.slow_disk else ""
        losses = f"--firsts {self.first.name} --steps {self.step.name} --seconds {self.second.name}"
        return f"--cores {self.cores} {losses} --targets {self.target.name} --first-seed {self.seed}{slow}"


def cases(
    cores: int,
    seeds: collections.abc.Iterable[int],
    *,
    firsts: collections.abc.Sequence[Loss] = tuple(Loss),
    steps: collections.abc.Sequence[Step] = tuple(Step),
    seconds: collections.abc.Sequence[Loss] = tuple(Loss),
    targets: collections.abc.Sequence[Target] = tuple(Target),
    slow_disk: bool = False,
) -> list[Case]:
    """The cases of a deployment; those that strike when all is settled again do not depend on the step.

    >>> len(cases(3, [1])), len(cases(5, [1]))
    (99, 162)
    """
    out = []
    for seed, first, step, target, second in itertools.product(seeds, firsts, steps, targets, seconds):
        if target is Target.OTHER and cores // 2 < 2:
            continue
        if target is Target.STRESS and step not in STRESS_STEPS:
            continue
        if target is Target.SETTLED and step is not Step.ACKNOWLEDGED:
            continue
        out.append(Case(cores, first, step, target, second, seed, slow_disk))
    return out
