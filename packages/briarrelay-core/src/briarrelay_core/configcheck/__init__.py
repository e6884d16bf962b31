"""Checks of a configuration before it is published.

Decides what of a configuration is invalid, can never match or contradicts itself, and
what publishing it changes, for the operators who are about to send it.
"""
