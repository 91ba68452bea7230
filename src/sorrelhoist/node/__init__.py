"""What both roles share: membership, configuration, metrics, logs, dumps."""
