"""What the users' platform speaks: names, formats and calls. Nothing here decides."""
