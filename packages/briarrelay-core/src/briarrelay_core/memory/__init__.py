"""Engine memory set aside for long prompts, and given back."""
