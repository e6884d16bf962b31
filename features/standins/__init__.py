"""Stand-ins for the users' platform, written from its protocol pages."""
