"""The agent role: the gatekeeper beside one endpoint."""
