"""Lifecycle of prompts, from the request to the final outcome."""
