"""Fault soak: real processes, faults from outside, promises checked as it runs."""
