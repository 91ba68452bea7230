"""A front door that forwards requests unchanged to endpoints that it chooses.

Where no agent stands before the endpoints, each gateway places work itself and
tells the other gateways of it.
"""
