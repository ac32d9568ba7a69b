"""Decide which generation of the text is in force."""
