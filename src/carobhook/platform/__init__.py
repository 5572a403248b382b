"""Adapter to the users' platform: its names, formats and calls. It makes no decisions."""
