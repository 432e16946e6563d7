"""Stand-ins of the tests with real processes: the platform, targets, callers and the operator."""
