"""Record and check fingerprints of simulated runs, to show that a refactoring leaves their behaviour unchanged.

    python -m simulation.fingerprint record tests/data/behaviour.json
    python -m simulation.fingerprint check tests/data/behaviour.json --jobs 8
    python -m simulation.fingerprint check tests/data/behaviour.json --only day
    python -m simulation.fingerprint renew tests/data/behaviour.json --only second_loss
    python -m simulation.fingerprint show tests/data/behaviour.json "scene calm magnolia 1"

The key of a run is a line of words: its part (scene, day or second_loss), its name, and its parameters. Its
fingerprint holds a digest of its event log, and the number and total size of the writes to the simulated network. The
order of those writes is left out: in a few days (such as cut_node) it depends on the runs that the same process has
played before.

The file also holds a table of renames. A rename that changes no behaviour is entered there: `runs` maps a recorded
word of a key to the present one (or "part word", where it holds for one part only); `kinds`, `fields` and `values`
map a present event kind, field name or text value to the recorded one. A changed time, order, field or message size
has no entry, as it is a change of behaviour. To find the first event that differs, compare the output of `show` here
and in a checkout of the commit at which the file was recorded.
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

DIGEST_LENGTH = 16  # hex digits
MARK_LENGTH = 4  # hex digits
MARKS = 8  # per event log
RUNS_PER_PROCESS = 8
HASH_SEED = "0"  # fixed, as some messages list configuration items in the iteration order of a set of strings

Names = observed_runs.Names
Row = observed_runs.Row


class Fingerprint(msgspec.Struct, frozen=True):
    """The fingerprint of one run."""

    run: str  # key of the run
    rows: int  # events in the event log
    log: str  # digest of the event log
    marks: str  # short digests of growing prefixes of the event log, to locate the first difference
    writes: int  # to the simulated network
    size: int  # total bytes of all writes


class Record(msgspec.Struct, frozen=True):
    """The content of a file of fingerprints."""

    names: Names
    runs: list[Fingerprint]


def recorded_value(value: object, names: Names) -> object:
    """Return a value of an event with each renamed text replaced by the recorded one.

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
    """Return an event as one line of JSON with recorded names and sorted fields.

    >>> canonical({"kind": "begun", "at": 5}, Names(kinds={"begun": "started"}))
    '{"at":5,"kind":"started"}'
    """
    mapped = {names.fields.get(key, key): recorded_value(value, names) for key, value in row.items()}
    if "kind" in row:
        mapped["kind"] = names.kinds.get(row["kind"], row["kind"])
    return json.dumps(mapped, sort_keys=True, separators=(",", ":"))


def mark_places(rows: int) -> list[int]:
    """Return the lengths of the prefixes of an event log for which a mark is kept.

    >>> mark_places(80), mark_places(3)
    ([10, 20, 30, 40, 50, 60, 70, 80], [0, 0, 1, 1, 1, 2, 2, 3])
    """
    return [rows * part // MARKS for part in range(1, MARKS + 1)]


def log_marks(lines: list[str], places: list[int]) -> str:
    """Return the short digests of the prefixes of a log, joined to one text.

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
    """Return the fingerprint of an observed run."""
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
    """Describe the rows between two marks in which a log first differs from the recorded one."""
    places = mark_places(recorded.rows)
    present = log_marks([canonical(row, names) for row in rows], places)
    start = 0
    for index, place in enumerate(places):
        piece = slice(index * MARK_LENGTH, (index + 1) * MARK_LENGTH)
        if present[piece] != recorded.marks[piece]:
            times = [row.get("at") for row in rows[start:place]] or ["the end"]
            return f"first differs in rows {start + 1} to {place}, time {times[0]} to {times[-1]}"
        start = place
    return f"no difference in the {recorded.rows} recorded rows, but there are {len(rows)} now"


def differences(recorded: Fingerprint, names: Names) -> list[str]:
    """Play a recorded run again, and return descriptions of all differences."""
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
    """Read a file of fingerprints."""
    return msgspec.json.decode(pathlib.Path(path).read_bytes(), type=Record)


def encode_record(record: Record) -> str:
    """Return the text of a file of fingerprints, with each run on a line of its own.

    >>> encode_record(Record(Names(), [])).count("names")
    1
    """
    runs = ",\n".join(msgspec.json.encode(run).decode() for run in record.runs)
    return f'{{"names": {msgspec.json.encode(record.names).decode()},\n"runs": [\n{runs}\n]}}\n'


def _record_one(run: str) -> Fingerprint | str:
    try:
        return fingerprint(run, observed_runs.observe(run, Names()), Names())
    except Exception as error:  # the error is printed with the run's key, and the run is not recorded
        return f"NOT RECORDED {run}: {error!r}"


def _check_one(job: tuple[Fingerprint, Names]) -> tuple[str, list[str]]:
    try:
        return job[0].run, differences(*job)
    except Exception as error:  # a run that can't be played any more counts as different
        return job[0].run, [f"raised {error!r}"]


def _renew_one(job: tuple[str, Names]) -> Fingerprint:
    run, names = job
    return fingerprint(run, observed_runs.observe(run, names), names)


@contextlib.contextmanager
def _pool(jobs: int) -> collections.abc.Iterator[typing.Any]:
    count = jobs or max(1, (os.cpu_count() or 2) // 2)
    with multiprocessing.Pool(count, maxtasksperchild=RUNS_PER_PROCESS) as pool:
        yield pool


def record(file: str, *, jobs: int = 0) -> None:
    """Play all runs and write their fingerprints, with an empty table of renames.

    :param file: the file to write
    :param jobs: number of processes; 0 for half of the processor cores
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
    """Play the recorded runs again and print all differences; the exit code is 1 if there are any.

    :param file: the file of recorded fingerprints
    :param only: check only the runs whose keys begin with these words, such as a part: scene, day or second_loss
    :param jobs: number of processes; 0 for half of the processor cores
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
    print(f"{len(chosen)} runs checked, {failed} differ; {time.monotonic() - started_at:.0f} s elapsed")
    sys.exit(1 if failed else 0)


def renew(file: str, *, only: str = "", jobs: int = 0) -> None:
    """Play recorded runs again, after an intended change of behaviour, and store their present fingerprints.

    All other runs and the table of renames stay as they are. The file is written after each run, so that the command
    may be stopped at any time.

    :param file: the file of recorded fingerprints
    :param only: renew only the runs whose keys begin with these words, such as a part: scene, day or second_loss
    :param jobs: number of processes; 0 for half of the processor cores
    """
    recorded = read(file)
    runs = {run.run: run for run in recorded.runs}
    chosen = [(run.run, recorded.names) for run in recorded.runs if f"{run.run} ".startswith(only)]
    changed = 0
    with _pool(jobs) as pool:
        for run in pool.imap_unordered(_renew_one, chosen):
            changed += runs[run.run] != run
            runs[run.run] = run
            pathlib.Path(file).write_text(encode_record(Record(recorded.names, list(runs.values()))))
    print(f"{len(chosen)} runs played, {changed} changed")


def show(file: str, run: str) -> None:
    """Print the event log of a run in the form that is digested, to compare it with that of another version.

    :param file: the file of recorded fingerprints, for its table of renames
    :param run: the recorded key of the run
    """
    names = read(file).names
    for row in observed_runs.observe(run, names).rows:
        print(canonical(row, names))


def fix_hash_seed() -> None:
    """Restart this program with the hash seed of the recording, unless it has this one already."""
    if os.environ.get("PYTHONHASHSEED") != HASH_SEED:
        arguments = [sys.executable, "-m", "simulation.fingerprint", *sys.argv[1:]]
        os.execve(sys.executable, arguments, {**os.environ, "PYTHONHASHSEED": HASH_SEED})


if __name__ == "__main__":
    fix_hash_seed()
    defopt.run([record, check, renew, show])
