"""Stand-ins for the platform's store, servers and clients, for tests and the demo."""
