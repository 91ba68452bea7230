"""Decisions while more is offered than fits: estimates, refusals and shares."""
