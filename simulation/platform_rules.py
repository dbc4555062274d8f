"""Checks an event log of a simulated run by the rules of the users' platform.

    python -m simulation.platform_rules day.events

The rules go only by what clients, workers, operators and the platform observed, and not by the fleet's internal state.
Each rule is a function that yields one complaint per violation; `examine` runs them all. The rows of the log are those
that simulation/clients/, simulation/workers/ and simulation/site/ write.
"""

from __future__ import annotations

import collections.abc
import json
import pathlib
import sys
import typing

import defopt

import simulation.rules.log as event_log
from simulation.rules import answers, cold_workers, configuration, evacuations, routing, tallies

Rule = collections.abc.Callable[[event_log.Log], collections.abc.Iterator[str]]

RULES: dict[str, Rule] = dict(
    mixed=answers.mixed,
    unasked=answers.unasked,
    twice=answers.twice,
    refused=answers.refused,
    denied=routing.denied,
    route=routing.route,
    drain=routing.drain,
    lost=answers.lost,
    config=configuration.config,
    linearizable=configuration.linearizable,
    acks=configuration.acks,
    budget=routing.budget,
    order=answers.order,
    recover=answers.recover,
    failback=cold_workers.failback,
    tally_twice=tallies.twice,
    tally_stale=tallies.stale,
    tally_lost=tallies.lost,
    evac=evacuations.evac,
    evac_lost=evacuations.evac_lost,
    evac_acks=evacuations.evac_acks,
)


def examine(rows: event_log.Rows) -> dict[str, list[str]]:
    """Run all rules on the rows of an event log, and return the complaints by rule; kept rules are left out.

    >>> examine([])
    {}
    """
    log = event_log.Log(rows)
    complaints = {name: list(rule(log)) for name, rule in RULES.items()}
    return {name: lines for name, lines in complaints.items() if lines}


def main(*, log: str) -> typing.NoReturn:
    """Check an event log, and print all complaints.

    :param log: the file of the event log
    """
    complaints = examine([json.loads(line) for line in pathlib.Path(log).read_text().splitlines()])
    for name, lines in complaints.items():
        for line in lines:
            print(f"{name}: {line}")
    sys.exit(1 if complaints else 0)


if __name__ == "__main__":
    defopt.run(main)
