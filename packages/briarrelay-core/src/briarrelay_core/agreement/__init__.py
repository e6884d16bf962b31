"""What is decided by the order of the platform's log."""
