"""Diagnosis of a flow's outcome from collected logs."""
