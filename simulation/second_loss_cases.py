"""The cases of `simulation.second_loss`: both kinds of loss, the repair step between them, and the machines lost."""

from __future__ import annotations

import collections.abc
import enum
import itertools

import msgspec


class Loss(enum.Enum):
    """How a core machine is lost."""

    WIPED = "wiped"  # it loses power and its disk, and restarts at its address
    GONE = "gone"  # it is lost for good; an empty machine starts at another address
    PLANNED = "planned"  # an empty machine starts at another address, then the old one gets SIGTERM


class Step(enum.Enum):
    """A step of the repair, given by the state of the core that replaces the lost one (the replacement)."""

    SEEN = "seen"  # another core has received its heartbeat
    SEATED = "seated"  # it is a voter of an agreed view
    CHAINED = "chained"  # it is in the chain of an agreed view
    REFILLED = "refilled"  # it has received the first snapshot chunk or log entries
    SYNCED = "synced"  # it is synced in the view
    LEASED = "leased"  # the tail of its chain has the read lease
    ACKNOWLEDGED = "acknowledged"  # a change was acknowledged that was sent after LEASED was reached


class Target(enum.Enum):
    """The machines of the second loss."""

    SAME = "same"  # the replacement, which still counts as lost
    OTHER = "other"  # one random other machine; only where the deployment tolerates two losses
    SETTLED = "settled"  # as many random machines as are tolerated, the settle time after the replacement's start
    STRESS = "stress"  # as many other machines as are tolerated, while the replacement still counts as lost


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
        """Return the command-line options that play only this case.

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
    """Return the cases of a deployment.

    SETTLED cases do not depend on the step, so there is only one of them for each pair of losses.

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
