"""Detect which balancers are live, from heartbeats and the platform's list of hosts."""
