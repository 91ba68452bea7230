"""Agent role: runs beside one endpoint and controls admission to it."""
