"""Health of upstreams from the outcomes of requests, with health endpoints as a hint."""
