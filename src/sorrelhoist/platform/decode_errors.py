"""Errors to which odd values lead when they are decoded."""

DECODE_ERRORS = (
    LookupError,
    TypeError,
    ValueError,
    AttributeError,
    # Numbers that are too large for a float, and values that are nested too deeply.
    OverflowError,
    RecursionError,
)
