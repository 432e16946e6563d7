"""Stand-ins for the review: the platform, targets, requesters and the operator, on loopback."""
