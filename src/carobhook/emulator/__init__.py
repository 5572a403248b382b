"""Emulates the servers of a service under a load on virtual time, to measure decisions."""
