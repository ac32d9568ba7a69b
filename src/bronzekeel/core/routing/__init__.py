"""Steer flows by a connection id that both of their ends echo."""
