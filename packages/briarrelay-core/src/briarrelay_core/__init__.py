"""Decisions of the briarrelay serving layer.

Nothing in this package opens a socket or a file, reads a clock or writes a log.
Typed messages and the time go in, typed effects come out.
"""
