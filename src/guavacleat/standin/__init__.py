"""Stand-ins for the platform's object store and the model engines, for tests and the demo."""
