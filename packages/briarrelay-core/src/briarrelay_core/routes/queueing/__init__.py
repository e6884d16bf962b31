"""Decides which waiting requests are refused, and when their callers may return.

The decisions answer shortage: more work arrives than backend servers finish in time.
They keep engines for callers who can still use a response.
"""
