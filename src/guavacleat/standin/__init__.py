"""Stand-ins for the platform's systems, for tests and the demo: object API and model engine."""
