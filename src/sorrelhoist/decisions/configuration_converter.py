"""Strict conversion of plain data to documents, without implicit type casts."""

import math
from typing import Any, Literal, get_args, get_origin

import cattrs

MAX_INTEGER = 2**53 - 1
TYPE_NAMES = {
    str: "a text, in quotes where it looks like a number",
    int: "a whole number",
    float: "a number",
    bool: "true or false",
}


def _structure_number(value: object, target: type) -> object:
    if isinstance(value, bool) or not isinstance(value, (int, target)):
        raise TypeError(f"{value!r} is not {TYPE_NAMES[target]}.")
    if isinstance(value, float) and not math.isfinite(value):
        raise ValueError(f"{value!r} is not a finite number.")
    if abs(value) > MAX_INTEGER:  # type: ignore[arg-type]
        raise ValueError(f"{value!r} is too large.")
    return target(value)


def _structure_exact(value: object, target: type) -> object:
    if type(value) is not target:
        raise TypeError(f"{value!r} is not {TYPE_NAMES[target]}.")
    if isinstance(value, str) and not _is_encodable(value):
        raise ValueError(f"{value!r} is not valid Unicode.")
    return value


def _is_encodable(text: str) -> bool:
    try:
        text.encode()
    except UnicodeEncodeError:
        return False
    return True


def _structure_choice(value: object, target: Any) -> object:
    choices = get_args(target)
    if value not in choices:
        raise TypeError(f"{value!r} is not one of {', '.join(choices)}.")
    return value


def make_converter(forbid_extra_keys: bool) -> cattrs.Converter:
    """Return a converter that either rejects or ignores unknown keys."""
    converter = cattrs.Converter(forbid_extra_keys=forbid_extra_keys)
    for number in (int, float):
        converter.register_structure_hook(number, _structure_number)
    for exact in (str, bool):
        converter.register_structure_hook(exact, _structure_exact)
    converter.register_structure_hook_func(
        lambda target: get_origin(target) is Literal, _structure_choice
    )

    def structure_list(value: object, target: Any) -> object:
        if not isinstance(value, list):
            raise TypeError(f"{value!r} is not a list.")
        item_type = get_args(target)[0]
        items: list[object] = converter.structure(value, list[item_type])  # type: ignore[valid-type]
        return tuple(items)

    converter.register_structure_hook_func(
        lambda target: get_origin(target) is tuple, structure_list
    )
    return converter
