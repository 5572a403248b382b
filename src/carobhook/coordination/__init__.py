"""Coordination layer: decision functions, and the tasks that run them."""
