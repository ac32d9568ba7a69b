"""Stand-ins of the users' platform, targets and consumers for the cases of this review."""
