"""Stand-ins for the platform, the fabric, callers and upstreams, for demos and tests."""
