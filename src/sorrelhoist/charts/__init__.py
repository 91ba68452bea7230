"""State charts in YAML, interpreted by `sismic`."""
