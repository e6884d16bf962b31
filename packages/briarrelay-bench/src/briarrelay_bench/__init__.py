"""Stand-ins for what briarrelay serves, load, and measurements."""
