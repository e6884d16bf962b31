"""Who lives, who leaves, and what peers tell each other."""
