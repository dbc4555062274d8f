"""Replicated counters: each add counts once, and each core machine accepts adds even while it is partitioned."""
