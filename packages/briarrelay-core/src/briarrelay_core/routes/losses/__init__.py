"""What the loss of a connection to a backend server shows.

Decides whether the path from this instance was lost, or the server may have crashed.
"""
