"""Randomized fault tests of real instance processes on loopback, checked from outside."""
