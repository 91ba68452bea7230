"""Memory that a gateway holds for callers and endpoints, and its limits."""
