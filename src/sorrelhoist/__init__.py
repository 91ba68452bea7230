"""A serving layer for prompts of very unlike lengths."""

from .__version__ import __version__
from .exceptions import SorrelhoistError

__all__ = ["SorrelhoistError", "__version__"]
