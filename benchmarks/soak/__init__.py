"""A soak of real processes: clients on kept connections, and overlapping series of signals, restarts and changes.

python -m benchmarks.soak --seeds 50
python -m benchmarks.soak --first-seed 7 --seeds 1 --nodes 100 --seconds 60
"""
