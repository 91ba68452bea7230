"""The entry role: HTTP for callers and operators, admission, routing and retries."""
