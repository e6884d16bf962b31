"""Bytes captured from real processes, from which decoders are fuzzed."""
