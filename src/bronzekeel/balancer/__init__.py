"""Run one balancer: settings, start-up, HTTP status and shutdown."""
