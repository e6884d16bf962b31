"""What instances do for each other.

Decides which requests an instance hands to a peer, and which services it no longer
reaches itself; for the request controller, and for the digests of the peers.
"""
