"""The entry role: callers' and operators' HTTP, admission, routing, retries."""
