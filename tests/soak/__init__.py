"""Randomized soak: the real program as separate processes, with faults injected from outside."""
