"""Load-balancing gateway that forwards requests unchanged to endpoints.

It serves sites where no agent runs in front of the endpoints: each gateway places
requests itself and reports its load to the other gateways.
"""
