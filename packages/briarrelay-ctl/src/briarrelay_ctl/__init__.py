"""briarrelayctl, the operators' command."""
