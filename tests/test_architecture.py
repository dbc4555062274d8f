"""The architecture page refers only to modules, classes and functions that exist."""

import importlib
import pathlib
import re

import pytest

PAGE = pathlib.Path(__file__).parent.parent / "docs" / "architecture.md"
SUBSYSTEMS = {path.name for path in (PAGE.parent.parent / "iriswheel").iterdir() if path.is_dir()}


def named() -> list[str]:
    """The dotted names in the page's code spans that begin with the name of a subsystem of iriswheel."""
    spans = re.findall(r"`([a-z_]+(?:\.\w+)+)`", PAGE.read_text())
    return sorted({span for span in spans if span.split(".")[0] in SUBSYSTEMS})


def test_the_page_names_more_than_thirty_objects() -> None:
    assert len(named()) > 30


@pytest.mark.parametrize("name", named())
def test_what_the_page_names_exists(name: str) -> None:
    parts = name.split(".")
    module = importlib.import_module(".".join(["iriswheel", *parts[:2]]))
    found = module
    for part in parts[2:]:
        found = getattr(found, part)
