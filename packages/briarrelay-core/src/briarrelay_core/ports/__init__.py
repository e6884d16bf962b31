"""Messages between the core and outside systems, with one module for each system."""
