"""Typed messages between the core and each outside system, one module a port."""
