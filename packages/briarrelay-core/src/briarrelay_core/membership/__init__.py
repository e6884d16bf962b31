"""Membership of instances and the messages between peers."""
