"""The tests: `python -m tests`."""
