"""Fingerprints of the behaviour of every simulated run, to show that a refactoring changes none.

    python -m simulation.fingerprint record tests/data/behaviour.json
    python -m simulation.fingerprint check tests/data/behaviour.json --jobs 8
    python -m simulation.fingerprint check tests/data/behaviour.json --only day
    python -m simulation.fingerprint show tests/data/behaviour.json "scene calm magnolia 1"

A run has a key of words: its part, its name, and what else it is played with. Its fingerprint holds a digest of
its event log, and how many writes of how many bytes went to the simulated network. The order of those writes is left
out: in a few days (cut_node) it differs with what the same process played before.

The file of fingerprints has a table of names beside them. A rename that changes no behaviour is entered there:
`runs` maps a recorded word of a key to the present one (or "part word", for one part alone); `kinds`, `fields` and
`values` map the present event kind, field and text of a log to the recorded one. A changed time, order, field or
size of a message has no entry: it is a changed behaviour. To see the first row that differs, compare what `show`
prints here and in a checkout of the commit at which the file was recorded.
"""

import collections.abc
import contextlib
import hashlib
import json
import multiprocessing
import os
import pathlib
import sys
import time
import typing

import defopt
import msgspec

from simulation import observed_runs

DIGEST_LENGTH = 16
MARK_LENGTH = 4
MARKS = 8
RUNS_PER_PROCESS = 8
HASH_SEED = "0"  # some messages list configuration items in the order of a set of strings

Names = observed_runs.Names
Row = observed_runs.Row


class Fingerprint(msgspec.Struct, frozen=True):
    """What identifies the behaviour of one run."""

    run: str
    rows: int  # of the event log
    log: str
    marks: str  # short digests of the log's beginnings, to find the first difference
    writes: int
    size: int  # bytes of all writes


class Record(msgspec.Struct, frozen=True):
    """The content of a file of fingerprints."""

    names: Names
    runs: list[Fingerprint]


def recorded_value(value: object, names: Names) -> object:
    """A value of an event with each text that was renamed as it was recorded.

    >>> recorded_value({"why": ["Late", 1]}, Names(values={"Late": "TooLate"}))
    {'why': ['TooLate', 1]}
    """
    if isinstance(value, str):
        return names.values.get(value, value)
    if isinstance(value, dict):
        return {key: recorded_value(inner, names) for key, inner in value.items()}
    if isinstance(value, (list, tuple)):
        return [recorded_value(inner, names) for inner in value]
    return value


def canonical(row: Row, names: Names) -> str:
    """An event as one line that does not depend on what was renamed, nor on the order of its fields.

    >>> canonical({"kind": "begun", "at": 5}, Names(kinds={"begun": "started"}))
    '{"at":5,"kind":"started"}'
    """
    mapped = {names.fields.get(key, key): recorded_value(value, names) for key, value in row.items()}
    if "kind" in row:
        mapped["kind"] = names.kinds.get(row["kind"], row["kind"])
    return json.dumps(mapped, sort_keys=True, separators=(",", ":"))


def mark_places(rows: int) -> list[int]:
    """How many rows the beginnings hold of which a mark is kept.

    >>> mark_places(80), mark_places(3)
    ([10, 20, 30, 40, 50, 60, 70, 80], [0, 0, 1, 1, 1, 2, 2, 3])
    """
    return [rows * part // MARKS for part in range(1, MARKS + 1)]


def log_marks(lines: list[str], places: list[int]) -> str:
    """Short digests of the beginnings of a log.

    >>> len(log_marks(["a", "b"], [1, 2]))
    8
    """
    state, start, found = hashlib.sha256(), 0, []
    for place in places:
        state.update("".join(f"{line}\n" for line in lines[start:place]).encode())
        start = place
        found.append(state.hexdigest()[:MARK_LENGTH])
    return "".join(found)


def fingerprint(run: str, observed: observed_runs.Observed, names: Names) -> Fingerprint:
    """The fingerprint of what a run left."""
    lines = [canonical(row, names) for row in observed.rows]
    text = "".join(f"{line}\n" for line in lines)
    traffic = observed.traffic
    return Fingerprint(
        run=run,
        rows=len(lines),
        log=hashlib.sha256(text.encode()).hexdigest()[:DIGEST_LENGTH],
        marks=log_marks(lines, mark_places(len(lines))),
        writes=traffic.writes,
        size=traffic.size,
    )


def first_difference(recorded: Fingerprint, rows: list[Row], names: Names) -> str:
    """Where a log leaves the recorded one, as near as the recorded marks tell."""
    places = mark_places(recorded.rows)
    present = log_marks([canonical(row, names) for row in rows], places)
    start = 0
    for index, place in enumerate(places):
        piece = slice(index * MARK_LENGTH, (index + 1) * MARK_LENGTH)
        if present[piece] != recorded.marks[piece]:
            times = [row.get("at") for row in rows[start:place]] or ["the end"]
            return f"first differs in rows {start + 1} to {place}, time {times[0]} to {times[-1]}"
        start = place
    return f"the {recorded.rows} recorded rows are alike, there are {len(rows)} now"


def differences(recorded: Fingerprint, names: Names) -> list[str]:
    """Play a recorded run again: what differs."""
    observed = observed_runs.observe(recorded.run, names)
    present = fingerprint(recorded.run, observed, names)
    found = []
    if present.log != recorded.log or present.rows != recorded.rows:
        found.append(f"event log: {first_difference(recorded, observed.rows, names)}")
    same_size = present.size == recorded.size
    if present.writes != recorded.writes or not same_size:
        found.append(
            f"network: {recorded.writes} writes of {recorded.size} bytes recorded, "
            f"{present.writes} of {present.size} now"
        )
    return found


# ---- the command ---------------------------------------------------------------------------


def read(path: str) -> Record:
    """The fingerprints and names of a file."""
    return msgspec.json.decode(pathlib.Path(path).read_bytes(), type=Record)


def encode_record(record: Record) -> str:
    """The text of a file of fingerprints, one run a line.

    >>> encode_record(Record(Names(), [])).count("names")
    1
    """
    runs = ",\n".join(msgspec.json.encode(run).decode() for run in record.runs)
    return f'{{"names": {msgspec.json.encode(record.names).decode()},\n"runs": [\n{runs}\n]}}\n'


def _record_one(run: str) -> Fingerprint | str:
    try:
        return fingerprint(run, observed_runs.observe(run, Names()), Names())
    except Exception as error:  # told with the run's key, and the run is left out
        return f"NOT RECORDED {run}: {error!r}"


def _check_one(job: tuple[Fingerprint, Names]) -> tuple[str, list[str]]:
    try:
        return job[0].run, differences(*job)
    except Exception as error:  # a run that can't be played any more differs
        return job[0].run, [f"raised {error!r}"]


@contextlib.contextmanager
def _pool(jobs: int) -> collections.abc.Iterator[typing.Any]:
    count = jobs or max(1, (os.cpu_count() or 2) // 2)
    with multiprocessing.Pool(count, maxtasksperchild=RUNS_PER_PROCESS) as pool:
        yield pool


def record(file: str, *, jobs: int = 0) -> None:
    """Play all runs and write their fingerprints, with an empty table of names.

    :param file: where to write them
    :param jobs: processes to use; half of the cores where 0
    """
    with _pool(jobs) as pool:
        results = pool.map(_record_one, observed_runs.keys(), chunksize=1)
    runs = [result for result in results if isinstance(result, Fingerprint)]
    for result in results:
        if isinstance(result, str):
            print(result)
    pathlib.Path(file).write_text(encode_record(Record(Names(), runs)))
    print(f"{len(runs)} runs recorded")


def check(file: str, *, only: str = "", jobs: int = 0) -> None:
    """Play the recorded runs again; print what differs, and exit with 1 if anything does.

    :param file: the recorded fingerprints
    :param only: the one part to check: scene, day or second_loss; or the beginning of a key
    :param jobs: processes to use; half of the cores where 0
    """
    recorded, started_at, failed = read(file), time.monotonic(), 0
    chosen = [(run, recorded.names) for run in recorded.runs if f"{run.run} ".startswith(only)]
    if not chosen:
        sys.exit(f"fingerprint: no recorded run begins with {only!r}")
    with _pool(jobs) as pool:
        for run, found in pool.imap_unordered(_check_one, chosen):
            failed += bool(found)
            for line in found:
                print(f"DIFFERS {run}: {line}", flush=True)
    print(f"{len(chosen)} runs checked, {failed} differ; {time.monotonic() - started_at:.0f} s on the clock")
    sys.exit(1 if failed else 0)


def show(file: str, run: str) -> None:
    """Print the event log of a run as it is digested, to compare it with that of another version.

    :param file: the recorded fingerprints, for the table of names
    :param run: the run's recorded key
    """
    names = read(file).names
    for row in observed_runs.observe(run, names).rows:
        print(canonical(row, names))


def fix_hash_seed() -> None:
    """Start this program again with the recorded hash seed, where it has another."""
    if os.environ.get("PYTHONHASHSEED") != HASH_SEED:
        arguments = [sys.executable, "-m", "simulation.fingerprint", *sys.argv[1:]]
        os.execve(sys.executable, arguments, {**os.environ, "PYTHONHASHSEED": HASH_SEED})


if __name__ == "__main__":
    fix_hash_seed()
    defopt.run([record, check, show])
