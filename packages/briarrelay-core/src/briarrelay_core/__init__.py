"""Core logic of the briarrelay serving layer, without I/O.

No module in this package opens a socket or a file, reads a clock or writes a log. The
input is typed messages and the current time, the output is typed effects that the host
process performs.
"""
