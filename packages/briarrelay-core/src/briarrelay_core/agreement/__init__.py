"""State that every instance derives from the order of records in the platform's log.

A fold holds the state of one log stream. Each instance applies the same records in
offset order, so that all instances come to the same state without a coordinator.
"""
