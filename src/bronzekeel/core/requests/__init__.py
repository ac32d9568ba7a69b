"""Schedule requests on upstreams, at most once, and report their outcomes to callers."""
