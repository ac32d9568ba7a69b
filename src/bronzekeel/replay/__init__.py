"""Replay events through the decision logic of several balancers in virtual time."""
