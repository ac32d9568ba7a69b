"""Recorded request outcomes and error-budget burn rates."""
