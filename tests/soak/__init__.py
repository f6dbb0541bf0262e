"""Randomized soak test of real processes, with faults injected from outside."""
