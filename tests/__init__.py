"""The tests of iriswheel; run them with `python -m pytest`."""
