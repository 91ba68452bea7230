"""Placement of requests on endpoints: demand, load, strategies and the queue."""
