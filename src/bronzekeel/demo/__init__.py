"""Demo of the whole system in one process, with counts taken at callers and upstreams."""
