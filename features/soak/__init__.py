"""Fault soak: injects faults around real processes and checks what callers get."""
