"""Explain from logs what became of one flow."""
