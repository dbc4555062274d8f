"""The plugin for known failures: only the listed tests may fail, and only as long as they fail."""

import pytest

from tests import known_red

HERE = "test_sample.py::Sample::"
SAMPLE = """
import unittest

class Sample(unittest.TestCase):
    def test_good(self):
        self.assertEqual(2, 1 + 1)

    def test_bad(self):
        self.assertEqual(3, 1 + 1)

    def test_breaks(self):
        raise OSError("no such thing")

    def test_sub(self):
        for k in range(2):
            with self.subTest(k=k):
                self.assertEqual(0, k)

    def test_skipped(self):
        raise unittest.SkipTest("not here")
"""
FAILING = ["test_bad", "test_breaks", "test_sub"]
IN_ONE_PROCESS, IN_TWO_PROCESSES = "0", "2"


class SampleRunner:
    """Runs tests of the sample file with the plugin, in a pytest process of their own."""

    def __init__(self, pytester: pytest.Pytester) -> None:
        self.pytester = pytester
        pytester.makepyfile(test_sample=SAMPLE)
        pytester.makeconftest(f'pytest_plugins = ["{known_red.__name__}"]')

    def __call__(self, tests: list[str], listed: str = "", processes: str = IN_ONE_PROCESS) -> tuple[bool, str]:
        """Run tests with this content of the list; returns whether the run passed, and its output."""
        (self.pytester.path / known_red.FILE_NAME).write_text(listed)
        names = [HERE + name for name in tests]
        result = self.pytester.runpytest_subprocess("-p", "no:cacheprovider", "-n", processes, *names)
        return result.ret == pytest.ExitCode.OK, result.stdout.str() + result.stderr.str()


@pytest.fixture
def run_sample(pytester: pytest.Pytester, pytestconfig: pytest.Config, monkeypatch: pytest.MonkeyPatch) -> SampleRunner:
    """The runner for tests of the sample file."""
    monkeypatch.syspath_prepend(pytestconfig.rootpath)
    monkeypatch.setenv("PYTHONPATH", str(pytestconfig.rootpath))
    return SampleRunner(pytester)


def test_without_a_list_a_passing_test_passes_the_run(run_sample: SampleRunner) -> None:
    assert run_sample(["test_good"])[0]


@pytest.mark.parametrize("name", FAILING)
def test_without_a_list_a_failing_test_fails_the_run(run_sample: SampleRunner, name: str) -> None:
    assert not run_sample(["test_good", name])[0], name


@pytest.mark.parametrize("processes", [IN_ONE_PROCESS, IN_TWO_PROCESSES])
@pytest.mark.parametrize("name", FAILING)
def test_a_listed_failure_passes_the_run_and_its_cause_is_printed(
    run_sample: SampleRunner, name: str, processes: str
) -> None:
    good, text = run_sample(["test_good", name], f"{HERE}{name} | the sum is off | 7\n", processes)
    assert good, text
    assert f"{HERE}{name} fails: the sum is off (7)" in text
    assert "1 known to fail\n" in text
    assert "1 passed" in text.splitlines()[-1]
    assert " failed" not in text.splitlines()[-1]


def test_a_failure_that_is_not_listed_fails_the_run(run_sample: SampleRunner) -> None:
    assert not run_sample(["test_bad", "test_breaks"], f"{HERE}test_bad | the sum is off | 7")[0]


@pytest.mark.parametrize("processes", [IN_ONE_PROCESS, IN_TWO_PROCESSES])
@pytest.mark.parametrize("name", ["test_good", "test_skipped"])
def test_a_listed_test_that_does_not_fail_fails_the_run(run_sample: SampleRunner, name: str, processes: str) -> None:
    good, text = run_sample([name], f"{HERE}{name} | the sum is off | 7", processes)
    assert not good
    assert f"{HERE}{name} did not fail" in text


@pytest.mark.parametrize("processes", [IN_ONE_PROCESS, IN_TWO_PROCESSES])
def test_a_listed_test_that_does_not_exist_fails_the_run(run_sample: SampleRunner, processes: str) -> None:
    good, text = run_sample(["test_good"], "test_none.py::Sample::test_b | gone | 7", processes)
    assert not good
    assert "does not exist" in text


@pytest.mark.parametrize("processes", [IN_ONE_PROCESS, IN_TWO_PROCESSES])
def test_a_listed_test_that_was_not_selected_is_printed_and_does_not_fail_the_run(
    run_sample: SampleRunner, processes: str
) -> None:
    good, text = run_sample(["test_good"], f"{HERE}test_bad | the sum is off | 7", processes)
    assert good, text
    assert f"{HERE}test_bad was not run: the sum is off (7)" in text


@pytest.mark.parametrize("processes", [IN_ONE_PROCESS, IN_TWO_PROCESSES])
def test_a_listed_test_that_a_marker_leaves_out_does_not_fail_the_run(run_sample: SampleRunner, processes: str) -> None:
    run_sample.pytester.makeini("[pytest]\naddopts = -m 'not large'\nmarkers = large")
    marked = SAMPLE.replace("    def test_bad", "    @pytest.mark.large\n    def test_bad")
    run_sample.pytester.makepyfile(test_sample=f"import pytest\n{marked}")
    good, text = run_sample(["test_good", "test_bad"], f"{HERE}test_bad | the sum is off | 7", processes)
    assert good, text


@pytest.mark.parametrize("listed", ["tests.test_a", "a | b", "a | | c", "a | b | c\na | b | c"])
def test_a_malformed_line_fails_the_run(run_sample: SampleRunner, listed: str) -> None:
    good, text = run_sample(["test_good"], listed)
    assert not good, listed
    assert "is not `node id | cause | issue`" in text


def test_more_than_three_lines_fail_the_run(run_sample: SampleRunner) -> None:
    good, text = run_sample(["test_good"], "".join(f"{HERE}{name} | off | 7\n" for name in (*FAILING, "test_good")))
    assert not good
    assert "3 at most" in text


def test_more_than_three_tests_are_listed_only_for_an_issue_that_does_not_count(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    lines = [f"tests/test_a.py::test_{number} | cause | 52" for number in range(9)]
    with pytest.raises(ValueError, match="9 tests are listed"):
        known_red.parse("\n".join(lines))
    monkeypatch.setattr(known_red, "UNCOUNTED_ISSUES", frozenset({"52"}))
    assert len(known_red.parse("\n".join(lines))) == 9
    with pytest.raises(ValueError, match="4 tests are listed"):
        known_red.parse("\n".join(line.replace("52", "25") for line in lines[:4]))
