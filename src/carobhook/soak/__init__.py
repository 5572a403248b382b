"""Randomized fault injection into real instance processes on loopback."""
