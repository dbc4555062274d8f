"""Pytest plugins for all tests: those in tests/, and the doctests of the packages."""

pytest_plugins = ["tests.known_red", "pytester"]
