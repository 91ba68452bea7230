"""Serving layer for language models, for prompts that differ widely in length."""

from .__version__ import __version__
from .exceptions import SorrelhoistError

__all__ = ["SorrelhoistError", "__version__"]
