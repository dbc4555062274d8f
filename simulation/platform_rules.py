"""Judges an event log of the users' side by the rules of their platform.

    python -m simulation.platform_rules day.events

Only what clients, workers, operators and the platform saw is looked at. Each rule is a function that yields
complaints; `examine` runs them all. Rows are those that simulation/clients/, simulation/workers/ and
simulation/site/ write.
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
    """Complaints by rule; rules without one are left out.

    >>> examine([])
    {}
    """
    log = event_log.Log(rows)
    complaints = {name: list(rule(log)) for name, rule in RULES.items()}
    return {name: lines for name, lines in complaints.items() if lines}


def main(*, log: str) -> typing.NoReturn:
    """Judge an event log.

    :param log: the log's file
    """
    complaints = examine([json.loads(line) for line in pathlib.Path(log).read_text().splitlines()])
    for name, lines in complaints.items():
        for line in lines:
            print(f"{name}: {line}")
    sys.exit(1 if complaints else 0)


if __name__ == "__main__":
    defopt.run(main)
