"""Decides how prompts share engines with the streams that are generated there.

It decides for the placement of every prompt: which engines stay free for long reads,
how likely a pause stays within its limit, and which reads all instances must know.
"""
