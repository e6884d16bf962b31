"""Admission, fair queueing, dispatch and engine selection of prompts."""
