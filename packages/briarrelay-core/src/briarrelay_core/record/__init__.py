"""The record of what was done."""
