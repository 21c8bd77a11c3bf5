"""Connections that belong to a team: the decision, its policies under load, and the pool."""
