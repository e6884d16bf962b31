"""Audit record of requests and changes."""
