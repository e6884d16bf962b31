"""Routes: forwards opaque requests to backend servers and relays their responses."""
