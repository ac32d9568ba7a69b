"""Translate the users' platform: its names, formats and calls.  Nothing is decided here."""
