"""HTTP clients of the external systems: engines, plain services and the platform."""
