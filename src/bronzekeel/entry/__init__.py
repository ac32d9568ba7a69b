"""Daemon of the balancer that steers packets by connection ids."""
