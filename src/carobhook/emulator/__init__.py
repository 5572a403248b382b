"""Simulates the backend servers of a service under load, to compare scheduling policies."""
