"""Code shared by the roles: membership, configuration, metrics, logs, dumps."""
