"""Reservation and release of engine memory for long prompts."""
