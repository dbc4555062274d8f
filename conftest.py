"""What holds for all tests: those of tests/ and the doctests of the packages."""

pytest_plugins = ["tests.known_red", "pytester"]
