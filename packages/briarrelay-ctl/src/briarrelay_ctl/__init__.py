"""briarrelayctl, the command-line tool for operators."""
