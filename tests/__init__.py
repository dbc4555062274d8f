"""The tests: `python -m pytest`."""
