"""Benchmarks that measure the load balancer against baselines and lower bounds."""
