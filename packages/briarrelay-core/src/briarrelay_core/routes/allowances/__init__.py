"""What a backend server may get from all instances together.

It decides whether this instance may send a server a request now, and when if not, for
the selection of servers, for attempts and for the controller: by limits that servers
name, by cold servers, and by data centres that operators evacuate.
"""
