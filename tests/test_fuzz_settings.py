"""Whatever a settings file contains, reading it gives options or raises OptionsError, and nothing else."""

import contextlib
import pathlib
import tempfile
from collections.abc import Callable
from typing import Any

import hypothesis
import pytest
import settings
from hypothesis import strategies

from iriswheel.runtime import options
from tests import fuzzing

GOOD_SETTINGS = {
    "node": '"n1"',
    "bind_ip": '"10.0.0.1"',
    "zone": '"a"',
    "port_range": "[7300, 7315]",
    "seed_nodes": '["10.0.0.2:8262", "10.0.0.1:8262"]',
    "bind_addrs": '{front = "10.0.0.1:80", ready = "10.0.0.1:81"}',
    "data_dir": '"/data"',
    "bootstrap": "true",
    "tolerance": "{machines = 1}",
    "provider_api": '{address = "10.0.0.3:80", rate_per_s = 40}',
    "bounds": "{grace_s = 8, retry_ratio = 0.2}",
    "constraints": "{file_limit = 1000}",
}
UNUSUAL_VALUES = [
    "inf",
    "-inf",
    "nan",
    "-1",
    "0",
    "1.5",
    "9e99",
    "99999999999999999999",
    "true",
    '""',
    '"x"',
    '"10.0.0.1"',
    '"a:b"',
    '":"',
    "[]",
    "[1]",
    '["x"]',
    "[[]]",
    "{}",
    "{a=1}",
    "{machines=inf}",
    "{machines=-9}",
    "{grace_s=inf}",
    "{grace_s=nan}",
    "{retry_window_s=1e300}",
    "{file_limit=inf}",
    "{address=1}",
    "{rate_per_s=[]}",
    "{front=[]}",
    '{control="x"}',
    "1979-05-27",
    "07:32:00",
    '"\\u0000"',
]


class TestSettingsFiles(fuzzing.LoggedErrors):
    """Reading a settings or options file gives `Options` or raises `OptionsError`."""

    def read(self, raw: bytes) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "settings.toml"
            path.write_bytes(raw)
            for role in ("node", "core"):
                for read in (settings.read, lambda role, path: options.read(role, path, {})):
                    self.check(read, role, str(path))

    def check(self, read: Callable[..., Any], role: str, path: str) -> None:
        with contextlib.suppress(options.OptionsError):
            assert isinstance(read(role, path), options.Options)

    @fuzzing.QUICK
    @hypothesis.given(
        strategies.dictionaries(
            strategies.sampled_from(sorted(GOOD_SETTINGS)), strategies.sampled_from(UNUSUAL_VALUES), max_size=3
        ),
        strategies.sets(strategies.sampled_from(sorted(GOOD_SETTINGS)), max_size=2),
    )
    def test_unusual_values_and_missing_keys_break_no_task(self, unusual: dict[str, str], missing: set[str]) -> None:
        document = {name: value for name, value in {**GOOD_SETTINGS, **unusual}.items() if name not in missing}
        self.read("".join(f"{name} = {value}\n" for name, value in document.items()).encode())

    def test_each_unusual_value_of_each_key_breaks_no_task(self) -> None:
        for name in GOOD_SETTINGS:
            for value in UNUSUAL_VALUES:
                document = {**GOOD_SETTINGS, name: value}
                self.read("".join(f"{key} = {text}\n" for key, text in document.items()).encode())

    def test_a_rate_that_is_not_finite_is_refused(self, tmp_path: pathlib.Path) -> None:
        path = tmp_path / "settings.toml"
        for rate in ("nan", "inf"):
            document = {**GOOD_SETTINGS, "provider_api": f'{{address = "10.0.0.3:80", rate_per_s = {rate}}}'}
            path.write_text("".join(f"{key} = {text}\n" for key, text in document.items()))
            with pytest.raises(options.OptionsError):
                settings.read("node", str(path))

    @fuzzing.QUICK
    @hypothesis.given(strategies.binary(max_size=60))
    def test_a_file_of_any_bytes_breaks_no_task(self, raw: bytes) -> None:
        self.read(raw)

    def test_a_deeply_nested_file_breaks_no_task(self) -> None:
        self.read(b"a = " + b"[" * 50_000 + b"]" * 50_000)
