"""A chat from its request to its one final answer."""
