"""Small stand-ins of the platform, of engines and of consumers for the cases."""
