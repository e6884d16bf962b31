"""Where prompts go, when, and who waits."""
