"""Simulated callers of the fleet: clients, the virtual address that they connect to, applications and operators."""
