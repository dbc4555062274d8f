"""The documentation refers only to files, commands, classes, constants and tests that exist.

docs/incidents/ is not checked, because its pages describe the code at the time of each incident.
"""

from __future__ import annotations

import ast
import collections
import pathlib
import re

import pytest

ROOT = pathlib.Path(__file__).parent.parent
PACKAGES = ("iriswheel", "platform", "simulation", "benchmarks", "tests")
FOLDERS = (*PACKAGES, "docs", "deploy", "examples", "journal")
PAGES = [
    ROOT / "README.md",
    ROOT / "CONTRIBUTING.md",
    ROOT / "DEVELOPERS.md",
    *(page for page in sorted((ROOT / "docs").rglob("*.md")) if page.parent.name != "incidents"),
]


class Names:
    """The names that the Python files define: classes with their members and bases, functions, variables."""

    def __init__(self) -> None:
        self.members: collections.defaultdict[str, set[str]] = collections.defaultdict(set)
        self.bases: collections.defaultdict[str, set[str]] = collections.defaultdict(set)
        self.functions: set[str] = set()
        self.variables: set[str] = set()
        for package in PACKAGES:
            for path in sorted((ROOT / package).rglob("*.py")):
                self._read(ast.parse(path.read_text()))

    def _read(self, tree: ast.Module) -> None:
        for node in ast.walk(tree):
            if isinstance(node, ast.ClassDef):
                self.bases[node.name] |= {ast.unparse(base).split(".")[-1] for base in node.bases}
                self.members[node.name] |= set(defined(node))
            elif isinstance(node, ast.FunctionDef | ast.AsyncFunctionDef):
                self.functions.add(node.name)
            elif isinstance(node, ast.Name) and isinstance(node.ctx, ast.Store):
                self.variables.add(node.id)

    def has_member(self, class_name: str, member: str) -> bool:
        """Whether a class of that name, or one of its base classes, has the member."""
        if member in self.members.get(class_name, ()):
            return True
        return any(self.has_member(base, member) for base in self.bases.get(class_name, ()))


def defined(tree: ast.ClassDef) -> list[str]:
    """The names of a class's methods, fields and attributes."""
    names = []
    for node in ast.walk(tree):
        if isinstance(node, ast.FunctionDef | ast.AsyncFunctionDef):
            names.append(node.name)
        elif isinstance(node, ast.Attribute) and isinstance(node.ctx, ast.Store):
            names.append(node.attr)
        elif isinstance(node, ast.Name) and isinstance(node.ctx, ast.Store):
            names.append(node.id)
    return names


@pytest.fixture(scope="module")
def names() -> Names:
    return Names()


def code_spans(page: pathlib.Path) -> list[str]:
    return re.findall(r"`([^`\n]+)`", page.read_text())


@pytest.mark.parametrize("page", PAGES, ids=lambda page: str(page.relative_to(ROOT)))
class TestPage:
    def test_links_lead_to_files(self, page: pathlib.Path) -> None:
        targets = re.findall(r"\]\(([^)#:]+)(?:#[^)]*)?\)", page.read_text())
        assert [target for target in targets if not (page.parent / target).exists()] == []

    def test_paths_exist(self, page: pathlib.Path) -> None:
        paths = [span for span in code_spans(page) if re.fullmatch(rf"({'|'.join(FOLDERS)})/[\w./*-]+", span)]
        assert [path for path in paths if not list(ROOT.glob(path.rstrip("/")))] == []

    def test_commands_name_modules(self, page: pathlib.Path) -> None:
        modules = re.findall(rf"python3? -m ((?:{'|'.join(PACKAGES)})[\w.]*)", page.read_text())
        files = [ROOT / module.replace(".", "/") for module in modules]
        assert [file for file in files if not file.with_suffix(".py").exists() and not file.is_dir()] == []

    def test_classes_have_the_members_that_are_named(self, page: pathlib.Path, names: Names) -> None:
        spans = re.findall(r"`(?:[\w.]*\.)?([A-Z]\w*[a-z]\w*)\.(\w+)(?:\(\))?`", page.read_text())
        assert [f"{owner}.{member}" for owner, member in spans if not names.has_member(owner, member)] == []

    def test_constants_and_tests_exist(self, page: pathlib.Path, names: Names) -> None:
        spans = code_spans(page)
        constants = {span.split(".")[-1] for span in spans if re.fullmatch(r"(\w+\.)?[A-Z]+(_[A-Z]+)*_US", span)}
        tests = {span for span in spans if re.fullmatch(r"test_\w+[a-z]", span)}
        assert sorted(constants - names.variables) == []
        assert sorted(tests - names.functions - {path.stem for path in (ROOT / "tests").glob("*.py")}) == []
