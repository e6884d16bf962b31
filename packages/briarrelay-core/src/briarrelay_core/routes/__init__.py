"""Routes: opaque requests carried to backend servers and their answers back."""
