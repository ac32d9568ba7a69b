"""Hold the generated messages of the callers' and upstreams' protocol."""
