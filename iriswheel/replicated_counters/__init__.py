"""Replicated counters: each add counts once, and every machine accepts adds, also cut off from the others."""
