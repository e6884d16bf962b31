"""Bytes captured from real processes, used as seeds to fuzz the decoders."""
