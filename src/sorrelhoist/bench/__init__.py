"""The load tool, the demonstration and the policy experiments."""
