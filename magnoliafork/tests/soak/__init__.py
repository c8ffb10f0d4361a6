"""Randomized faults against the real program in separate processes."""
